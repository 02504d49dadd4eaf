//! Risks of a plan.

use {
    super::active_servers,
    crate::{
        model::{ServerState, Service, Step},
        name::Name,
        plan::change::Change,
    },
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
};

/// Risk of a plan; the order of the variants is that of severity, the most severe first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Risk {
    /// The request that is no longer suspected may crash servers again.
    CrashAgain,
    /// Only one active server remains.
    OneServer,
    /// The number of active slots falls.
    LessCapacity {
        /// Slots of active servers before.
        before: u32,
        /// Slots of active servers after.
        after: u32,
    },
    /// All active servers are in one failure domain.
    OneDomain(Name),
    /// The server does not check fencing terms.
    NotFenced(Name),
    /// The server is newly active and may need to warm up.
    Cold(Name),
    /// The path prefix of the service changes.
    PrefixChange,
}

impl Display for Risk {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::CrashAgain => {
                f.write_str("if the request still crashes servers, up to two more servers are lost")
            }
            Self::OneServer => f.write_str(
                "only one active server remains: its loss makes the service unavailable",
            ),
            Self::LessCapacity { before, after } => {
                write!(f, "active slots fall from {before} to {after}: more queueing and refusals")
            }
            Self::OneDomain(domain) => {
                write!(
                    f,
                    "all active servers are in {domain}: its loss makes the service unavailable"
                )
            }
            Self::NotFenced(server) => {
                write!(
                    f,
                    "{server} does not check fencing terms: a lost holder's lease must expire"
                )
            }
            Self::Cold(server) => write!(f, "{server} may be slow until it has warmed up"),
            Self::PrefixChange => {
                f.write_str("requests with the old prefix get status 400 immediately")
            }
        }
    }
}

/// Returns the risks of a change, the most severe first.
pub(super) fn list_risks(before: Option<&Service>, change: &Change) -> Vec<Risk> {
    let mut risks = Vec::new();
    if change.steps.iter().any(|step| matches!(step, Step::Clear { .. })) {
        risks.push(Risk::CrashAgain);
    }
    if let Some(after) = &change.after
        && change.steps.iter().any(|step| matches!(step, Step::Declare(_) | Step::SetState { .. }))
    {
        risks.extend(service_risks(before, after));
    }
    risks.sort();
    risks
}

/// Returns the risks of a service in its state after the change.
fn service_risks(before: Option<&Service>, after: &Service) -> Vec<Risk> {
    let mut risks = Vec::new();
    let now = active_servers(after);
    let domains: BTreeSet<_> = now.iter().map(|id| &after.servers[id].domain).collect();
    if now.len() == 1 {
        risks.push(Risk::OneServer);
    } else if let [domain] = Vec::from_iter(domains)[..] {
        risks.push(Risk::OneDomain(domain.clone()));
    }
    if let Some(before) = before {
        risks.extend(change_risks(before, after));
    }
    for id in &now {
        let server = &after.servers[id];
        let old = before.and_then(|before| before.servers.get(id));
        let was_active = old.is_some_and(|old| old.state == ServerState::Active);
        if !server.fenced && old.is_none_or(|old| old.fenced) {
            risks.push(Risk::NotFenced(server.name.clone()));
        }
        if before.is_some() && !was_active {
            risks.push(Risk::Cold(server.name.clone()));
        }
    }
    risks
}

/// Returns the risks of changing an existing service.
fn change_risks(before: &Service, after: &Service) -> Vec<Risk> {
    let mut risks = Vec::new();
    let slots = |service: &Service| -> u32 {
        active_servers(service).iter().map(|id| service.servers[id].slots).sum()
    };
    let (old, new) = (slots(before), slots(after));
    if new < old {
        risks.push(Risk::LessCapacity { before: old, after: new });
    }
    if before.prefix != after.prefix {
        risks.push(Risk::PrefixChange);
    }
    risks
}
