//! Exit codes of the client.

use std::process::ExitCode;

/// The exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// `doctor` found a problem, or the plan that was followed failed or was aborted.
    Problem = 1,
    /// The command line, settings or declaration are invalid.
    Usage = 2,
    /// The intent is refused; nothing was changed.
    Refused = 3,
    /// Another change came first; nothing was changed, and a new plan was created if possible.
    Conflict = 4,
    /// The platform could not be reached or gave an invalid response.
    NoPlatform = 5,
    /// No node could be reached, or the requested information was not found.
    NoNode = 6,
    /// The plan that was followed has not ended within the time limit; it continues.
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
