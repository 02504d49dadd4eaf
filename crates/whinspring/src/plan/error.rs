//! Why an intent cannot become a plan, or a plan cannot be confirmed.

use {
    crate::{
        ini::Fault,
        model::PlanState,
        name::{Name, Slice},
    },
    snafu::Snafu,
};

/// Why an intent or a confirmation is refused; nothing was changed.
///
/// `docs/RESULTS.md` lists the numbers.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The service is not declared.
    #[snafu(display("no service `{service}`; `whinspring status` lists them"))]
    NoService {
        /// The service named.
        service: Name,
    },
    /// The service has no such server.
    #[snafu(display("`{service}` has no server `{server}`; `whinspring status` lists them"))]
    NoServer {
        /// The service.
        service: Name,
        /// The server named.
        server: Name,
    },
    /// The declaration breaks a rule.
    #[snafu(display("the declaration is not accepted: {}", join_faults(faults)))]
    BadService {
        /// Everything that is wrong.
        faults: Vec<Fault>,
    },
    /// The server exists.
    #[snafu(display("`{service}` has a server `{server}` already; give another name"))]
    ServerExists {
        /// The service.
        service: Name,
        /// The server named.
        server: Name,
    },
    /// Another service uses the path or address.
    #[snafu(display("{what} belongs to `{other}` already; give another one"))]
    InUse {
        /// What is taken.
        what: String,
        /// The service that has it.
        other: Name,
    },
    /// A property that cannot change while a service is in use.
    #[snafu(display("{what} of `{service}` cannot change; {hint}"))]
    Immutable {
        /// The service.
        service: Name,
        /// The property.
        what: String,
        /// What to do instead.
        hint: &'static str,
    },
    /// No active server would remain.
    #[snafu(display("`{service}` would have no active server; add or return one first"))]
    LastServer {
        /// The service.
        service: Name,
    },
    /// The new owner takes no keys.
    #[snafu(display("`{server}` is not active; `server return` it first or choose another"))]
    NotActive {
        /// The server named.
        server: Name,
    },
    /// The slice is not one of the service's, or has no owner yet.
    #[snafu(display("`{service}` has no owned slice {}; it has {slices} slices", slice.0))]
    NoSlice {
        /// The service.
        service: Name,
        /// The slice named.
        slice: Slice,
        /// Slices of the service.
        slices: u32,
    },
    /// The request is not under suspicion.
    #[snafu(display("no request {print:016x} is under suspicion; `whinspring doctor` lists them"))]
    NoSuspect {
        /// The fingerprint named.
        print: u64,
    },
    /// Everything is as wanted.
    #[snafu(display("nothing to change: it is so already"))]
    NoChange,
    /// A record changed after the plan was computed.
    #[snafu(display(
        "{key} changed after the plan was made (version {base}, now {now}); \
         look at a fresh plan and confirm that"
    ))]
    Conflict {
        /// The record, as `kind/name`.
        key: Name,
        /// Version that the plan was computed from.
        base: u64,
        /// Version now.
        now: u64,
    },
    /// Another plan that is carried out concerns the same record.
    #[snafu(display(
        "{key} is being changed by plan {other}; when that has ended, confirm a fresh plan"
    ))]
    Busy {
        /// The record, as `kind/name`.
        key: Name,
        /// The other plan.
        other: Name,
    },
    /// The plan is in a state in which this cannot be done.
    #[snafu(display("plan {id} is {}; `whinspring plans` lists what is open", state.as_str()))]
    WrongState {
        /// The plan.
        id: Name,
        /// Its state.
        state: PlanState,
    },
    /// There is no such plan.
    #[snafu(display("no plan `{id}`; `whinspring plans` lists them"))]
    NoPlan {
        /// The plan named.
        id: Name,
    },
}

impl Error {
    /// Number and meaning of each error, in ascending order.
    pub const TABLE: &[(u16, &str)] = &[
        (700, "the service is not declared"),
        (701, "the service has no such server"),
        (702, "the declaration breaks a rule"),
        (703, "the server exists already"),
        (704, "another service uses the path or address"),
        (705, "a property that cannot change while the service is in use"),
        (706, "no active server would remain"),
        (707, "the new owner takes no keys"),
        (708, "the slice is not one of the service's"),
        (709, "the request is not under suspicion"),
        (710, "nothing to change"),
        (720, "a record changed after the plan was made"),
        (721, "the plan is in a state in which this cannot be done"),
        (722, "there is no such plan"),
        (723, "another plan is changing a record"),
    ];

    /// Returns the error as the reason of a failed plan: its number, then its text.
    pub fn reason(&self) -> Name {
        format!("{} {self}", self.number()).into()
    }

    /// Returns the number of the error.
    pub const fn number(&self) -> u16 {
        match self {
            Self::NoService { .. } => 700,
            Self::NoServer { .. } => 701,
            Self::BadService { .. } => 702,
            Self::ServerExists { .. } => 703,
            Self::InUse { .. } => 704,
            Self::Immutable { .. } => 705,
            Self::LastServer { .. } => 706,
            Self::NotActive { .. } => 707,
            Self::NoSlice { .. } => 708,
            Self::NoSuspect { .. } => 709,
            Self::NoChange => 710,
            Self::Conflict { .. } => 720,
            Self::WrongState { .. } => 721,
            Self::NoPlan { .. } => 722,
            Self::Busy { .. } => 723,
        }
    }
}

/// Joins faults into one text.
fn join_faults(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("; ")
}
