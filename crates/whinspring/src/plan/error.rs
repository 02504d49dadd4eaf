//! Errors of proposing and confirming plans.

use {
    crate::{
        ini::Fault,
        model::PlanState,
        name::{Name, Slice},
    },
    snafu::Snafu,
};

/// Reason why an intent or a confirmation was refused; nothing was changed.
///
/// `docs/RESULTS.md` lists the error numbers.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum Error {
    #[snafu(display("no service `{service}`; `whinspring status` lists them"))]
    NoService { service: Name },
    #[snafu(display("`{service}` has no server `{server}`; `whinspring status` lists them"))]
    NoServer { service: Name, server: Name },
    #[snafu(display("the declaration is not accepted: {}", join_faults(faults)))]
    BadService { faults: Vec<Fault> },
    /// A server of this name exists already.
    #[snafu(display("`{service}` has a server `{server}` already; give another name"))]
    ServerExists { service: Name, server: Name },
    /// Another service uses the same prefix or server address.
    #[snafu(display("{what} belongs to `{other}` already; give another one"))]
    InUse {
        /// The prefix or address.
        what: String,
        /// Service that uses it.
        other: Name,
    },
    /// The property cannot change while the service is in use.
    #[snafu(display("{what} of `{service}` cannot change; {hint}"))]
    Immutable {
        service: Name,
        /// Name of the property.
        what: String,
        hint: &'static str,
    },
    #[snafu(display("`{service}` would have no active server; add or return one first"))]
    LastServer { service: Name },
    /// The new owner is not active.
    #[snafu(display("`{server}` is not active; `server return` it first or choose another"))]
    NotActive { server: Name },
    /// The slice does not exist or has no owner yet.
    #[snafu(display("`{service}` has no owned slice {}; it has {slices} slices", slice.0))]
    NoSlice {
        service: Name,
        slice: Slice,
        /// Number of slices of the service.
        slices: u32,
    },
    #[snafu(display("no request {print:016x} is under suspicion; `whinspring doctor` lists them"))]
    NoSuspect {
        /// Fingerprint of the request.
        print: u64,
    },
    /// The requested state is the current one.
    #[snafu(display("nothing to change: it is so already"))]
    NoChange,
    /// A record changed after the plan was computed.
    #[snafu(display(
        "{key} changed after the plan was made (version {base}, now {now}); \
         look at a fresh plan and confirm that"
    ))]
    Conflict {
        /// Key of the record, as `kind/name`.
        key: Name,
        /// Version that the plan was computed from.
        base: u64,
        /// Current version.
        now: u64,
    },
    /// A plan that is being executed depends on the same record.
    #[snafu(display(
        "{key} is being changed by plan {other}; when that has ended, confirm a fresh plan"
    ))]
    Busy {
        /// Key of the record, as `kind/name`.
        key: Name,
        other: Name,
    },
    /// The state of the plan does not allow the operation.
    #[snafu(display("plan {id} is {}; `whinspring plans` lists what is open", state.as_str()))]
    WrongState { id: Name, state: PlanState },
    #[snafu(display("no plan `{id}`; `whinspring plans` lists them"))]
    NoPlan { id: Name },
}

impl Error {
    /// Number and description of each error, in ascending order.
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

    /// Formats the error as the reason of a failed plan: its number and text.
    pub fn reason(&self) -> Name {
        format!("{} {self}", self.number()).into()
    }

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

fn join_faults(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("; ")
}
