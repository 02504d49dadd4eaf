//! Reports of this node's holders, resent until the records show that they took effect.

use {
    crate::{
        message::Message,
        model::Owner,
        name::{Name, ServerId, Slice},
        planner::load::report_period,
        record::{Key, Kind, Value},
        replica::Replica,
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Number of times a report is sent whose effect the records do not show.
const MAX_SENDS: u32 = 3;

/// Subject of a report; a later report on the same subject replaces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    /// Loss or return of a server.
    Health(Name, ServerId),
    /// Release of a server.
    Server(Name, ServerId),
    /// Release of slices and keys.
    Slices(Name, ServerId),
}

/// A report that may have to be resent.
#[derive(Debug)]
struct Report {
    message: Message,
    sent_at: Option<Tick>,
    /// Number of times it was sent.
    sends: u32,
}

/// The reports that have not taken effect yet.
#[derive(Debug, Default)]
pub(super) struct Reports {
    open: BTreeMap<Subject, Report>,
    /// When the load of each server was last forwarded.
    loads: BTreeMap<(Name, ServerId), Tick>,
}

impl Reports {
    /// Adds a report of a holder; returns it if it must be sent once and is not resent.
    pub fn add(&mut self, now: Tick, mut message: Message, replica: &Replica) -> Option<Message> {
        if let Message::Load { service, server, .. } = &message {
            let id = (service.clone(), *server);
            return self.is_load_due(now, id, replica).then_some(message);
        }
        let subject = match &message {
            Message::ServerLost { service, server, .. }
            | Message::ServerBack { service, server, .. } => {
                Subject::Health(service.clone(), *server)
            }
            Message::ServerReleased { service, server, .. } => {
                Subject::Server(service.clone(), *server)
            }
            Message::SlicesReleased { service, server, .. } => {
                Subject::Slices(service.clone(), *server)
            }
            _ => return Some(message),
        };
        if let Some(former) = self.open.remove(&subject) {
            merge_releases(&mut message, former.message, replica);
        }
        self.open.insert(subject, Report { message, sent_at: None, sends: 0 });
        None
    }

    /// Returns whether the load of a server is due to be forwarded, and records that it is.
    fn is_load_due(&mut self, now: Tick, id: (Name, ServerId), replica: &Replica) -> bool {
        let period = report_period(replica);
        if self.loads.get(&id).is_some_and(|sent_at| now.since(*sent_at) < period) {
            return false;
        }
        self.loads.retain(|_, sent_at| now.since(*sent_at) < period * 2);
        self.loads.insert(id, now);
        true
    }

    /// Returns the reports that are due, and drops those that have taken effect.
    pub fn take_due(&mut self, now: Tick, replica: &Replica) -> Vec<Message> {
        self.open.retain(|_, report| !report.is_done(replica));
        let mut due = Vec::new();
        for report in self.open.values_mut() {
            if report.sent_at.is_some_and(|sent_at| now.since(sent_at) < RESEND_INTERVAL) {
                continue;
            }
            report.sent_at = Some(now);
            report.sends += 1;
            due.push(report.message.clone());
        }
        due
    }

    /// Makes every report due at once, for a new controller.
    pub fn resend_all(&mut self) {
        for report in self.open.values_mut() {
            report.sent_at = None;
        }
    }
}

impl Report {
    /// Returns whether the report has taken effect or was sent often enough.
    fn is_done(&self, replica: &Replica) -> bool {
        match &self.message {
            Message::ServerLost { service, server, term } => {
                term_of(replica, service, *server) > *term
            }
            Message::ServerReleased { service, server, term } => {
                term_of(replica, service, *server) != *term
            }
            Message::SlicesReleased { service, server, term, slices, keys } => {
                term_of(replica, service, *server) != *term
                    || !(slices
                        .iter()
                        .any(|slice| is_slice_owned(replica, service, *server, slice))
                        || keys.iter().any(|key| is_key_owned(replica, service, *server, key)))
            }
            _ => self.sends >= MAX_SENDS,
        }
    }
}

/// Merges those releases of the `former` report into `message` that the records do not show yet.
fn merge_releases(message: &mut Message, former: Message, replica: &Replica) {
    let Message::SlicesReleased { service, server, term, slices, keys } = message else { return };
    let Message::SlicesReleased { term: before, slices: more, keys: others, .. } = former else {
        return;
    };
    if before != *term {
        return;
    }
    slices
        .extend(more.into_iter().filter(|slice| is_slice_owned(replica, service, *server, slice)));
    slices.sort_unstable();
    slices.dedup();
    keys.extend(others.into_iter().filter(|key| is_key_owned(replica, service, *server, key)));
    keys.sort_unstable();
    keys.dedup();
}

/// Returns the fencing term under which a server is held, zero if it is not held.
fn term_of(replica: &Replica, service: &Name, server: ServerId) -> u64 {
    let record = replica.get(&Key::new(Kind::Holders, service.clone()));
    let Some(Value::Holders(holders)) = record.and_then(|record| record.value.as_ref()) else {
        return 0;
    };
    holders.terms.get(&server).map_or(0, |holder| holder.term)
}

/// Returns whether the records still assign a released slice to its former owner.
fn is_slice_owned(
    replica: &Replica,
    service: &Name,
    server: ServerId,
    slice: &(Slice, u64),
) -> bool {
    let index = slice.0.0 / crate::model::SEGMENT_SLICES;
    let record = replica.get(&Key::new(Kind::Segment, format!("{service}.{index}")));
    let Some(Value::Segment(segment)) = record.and_then(|record| record.value.as_ref()) else {
        return false;
    };
    segment.owner(slice.0).is_some_and(|owner| is_owned_by(owner, server, slice.1))
}

/// Returns whether the records still assign a released key to its former owner.
fn is_key_owned(replica: &Replica, service: &Name, server: ServerId, key: &(Name, u64)) -> bool {
    let prefix = format!("{service}.");
    replica.iter(Kind::Segment).filter(|record| record.key.name.starts_with(&prefix)).any(
        |record| {
            let Some(Value::Segment(segment)) = &record.value else { return false };
            segment.keys.get(&key.0).is_some_and(|owner| is_owned_by(owner, server, key.1))
        },
    )
}

fn is_owned_by(owner: &Owner, server: ServerId, epoch: u64) -> bool {
    owner.server == server && owner.epoch == epoch
}
