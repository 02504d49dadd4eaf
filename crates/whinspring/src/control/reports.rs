//! Reports of this node's holders, repeated until the records show that they were acted on.

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

/// Time after which a report is sent again.
const REPEAT: Duration = Duration::from_millis(200);

/// Times that a report of no lasting effect is sent.
const MAX_SENT: u32 = 3;

/// What a report is about: a later one of the same kind replaces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    /// Whether a server is lost.
    Health(Name, ServerId),
    /// That a server was released.
    Server(Name, ServerId),
    /// That slices and keys were released.
    Slices(Name, ServerId),
}

/// A report that may have to be repeated.
#[derive(Debug)]
struct Report {
    /// The message.
    message: Message,
    /// When it was last sent.
    sent: Option<Tick>,
    /// How often it was sent.
    count: u32,
}

/// The reports that are not done with.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// Reports by subject.
    open: BTreeMap<Subject, Report>,
    /// When the load of each server was last sent on.
    loads: BTreeMap<(Name, ServerId), Tick>,
}

impl Reports {
    /// Takes a report of a holder; returns it if it is to be sent once and forgotten.
    pub fn add(&mut self, now: Tick, mut message: Message, replica: &Replica) -> Option<Message> {
        if let Message::Load { service, server, .. } = &message {
            let id = (service.clone(), *server);
            return self.load_due(now, id, replica).then_some(message);
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
            join(&mut message, former.message, replica);
        }
        self.open.insert(subject, Report { message, sent: None, count: 0 });
        None
    }

    /// Returns whether the load of a server is to be sent on now.
    fn load_due(&mut self, now: Tick, id: (Name, ServerId), replica: &Replica) -> bool {
        let period = report_period(replica);
        if self.loads.get(&id).is_some_and(|sent| now.since(*sent) < period) {
            return false;
        }
        self.loads.retain(|_, sent| now.since(*sent) < period * 2);
        self.loads.insert(id, now);
        true
    }

    /// Returns the reports that are due, and drops those that the records show to be done.
    pub fn due(&mut self, now: Tick, replica: &Replica) -> Vec<Message> {
        self.open.retain(|_, report| !report.done(replica));
        let mut due = Vec::new();
        for report in self.open.values_mut() {
            if report.sent.is_some_and(|sent| now.since(sent) < REPEAT) {
                continue;
            }
            report.sent = Some(now);
            report.count += 1;
            due.push(report.message.clone());
        }
        due
    }

    /// Makes every report due at once: there is a new controller.
    pub fn repeat(&mut self) {
        for report in self.open.values_mut() {
            report.sent = None;
        }
    }
}

impl Report {
    /// Returns whether the report need not be sent again.
    fn done(&self, replica: &Replica) -> bool {
        match &self.message {
            Message::ServerLost { service, server, term } => {
                term_of(replica, service, *server) > *term
            }
            Message::ServerReleased { service, server, term } => {
                term_of(replica, service, *server) != *term
            }
            Message::SlicesReleased { service, server, term, slices, keys } => {
                term_of(replica, service, *server) != *term
                    || !(slices.iter().any(|slice| still_owned(replica, service, *server, slice))
                        || keys.iter().any(|key| still_keyed(replica, service, *server, key)))
            }
            _ => self.count >= MAX_SENT,
        }
    }
}

/// Adds to a report of releases what the `former` one said and the records do not show yet.
fn join(message: &mut Message, former: Message, replica: &Replica) {
    let Message::SlicesReleased { service, server, term, slices, keys } = message else { return };
    let Message::SlicesReleased { term: before, slices: more, keys: others, .. } = former else {
        return;
    };
    if before != *term {
        return;
    }
    slices.extend(more.into_iter().filter(|slice| still_owned(replica, service, *server, slice)));
    slices.sort_unstable();
    slices.dedup();
    keys.extend(others.into_iter().filter(|key| still_keyed(replica, service, *server, key)));
    keys.sort_unstable();
    keys.dedup();
}

/// Returns the term under which a server is held, zero if it is not.
fn term_of(replica: &Replica, service: &Name, server: ServerId) -> u64 {
    let record = replica.get(&Key::new(Kind::Holders, service.clone()));
    let Some(Value::Holders(holders)) = record.and_then(|record| record.value.as_ref()) else {
        return 0;
    };
    holders.terms.get(&server).map_or(0, |holder| holder.term)
}

/// Returns whether the records still show a released slice with its former owner.
fn still_owned(replica: &Replica, service: &Name, server: ServerId, slice: &(Slice, u64)) -> bool {
    let index = slice.0.0 / crate::model::SEGMENT_SLICES;
    let record = replica.get(&Key::new(Kind::Segment, format!("{service}.{index}")));
    let Some(Value::Segment(segment)) = record.and_then(|record| record.value.as_ref()) else {
        return false;
    };
    segment.owner(slice.0).is_some_and(|owner| matches(owner, server, slice.1))
}

/// Returns whether the records still show a released key with its former owner.
fn still_keyed(replica: &Replica, service: &Name, server: ServerId, key: &(Name, u64)) -> bool {
    let prefix = format!("{service}.");
    replica.iter(Kind::Segment).filter(|record| record.key.name.starts_with(&prefix)).any(
        |record| {
            let Some(Value::Segment(segment)) = &record.value else { return false };
            segment.keys.get(&key.0).is_some_and(|owner| matches(owner, server, key.1))
        },
    )
}

/// Returns whether `owner` is this server at this epoch.
fn matches(owner: &Owner, server: ServerId, epoch: u64) -> bool {
    owner.server == server && owner.epoch == epoch
}
