//! Exit codes of the client.

use std::process::ExitCode;

/// How a command ended, as the shell sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// It was done.
    Success = 0,
    /// `doctor` found something wrong, or the plan that was followed failed or was aborted.
    Problem = 1,
    /// The command line, settings or declaration are not accepted.
    Usage = 2,
    /// The intent is refused; nothing was changed.
    Refused = 3,
    /// Another change came first; nothing was changed, and a fresh plan was made if possible.
    Conflict = 4,
    /// The platform could not be reached or did not answer as expected.
    NoPlatform = 5,
    /// No node could be reached, or none knows the answer.
    NoNode = 6,
    /// The plan that was followed had not ended in time; it goes on.
    StillRunning = 7,
}

impl Exit {
    /// Number and meaning of each exit code.
    pub const TABLE: &[(Self, &str)] = &[
        (Self::Success, "done"),
        (Self::Problem, "something is wrong, or the plan failed or was aborted"),
        (Self::Usage, "the command line, settings or declaration are not accepted"),
        (Self::Refused, "the intent is refused; nothing was changed"),
        (Self::Conflict, "another change came first; look at the fresh plan"),
        (Self::NoPlatform, "the platform could not be reached or did not answer as expected"),
        (Self::NoNode, "no node could be reached, or none knows the answer"),
        (Self::StillRunning, "the plan had not ended in time; it goes on"),
    ];
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
