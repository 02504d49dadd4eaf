//! Errors of starting and steering a fleet, each with a hint on what to do.

use {
    hyper::StatusCode,
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Why a fleet could not be started or steered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The directory for settings and logs cannot be written.
    #[snafu(display(
        "the fleet's directory cannot be written; check the space of the temporary directory"
    ))]
    Dir {
        /// What the system reported.
        source: io::Error,
    },
    /// A program cannot be started.
    #[snafu(display("{} cannot be started; run cargo build --release --workspace", program.display()))]
    Program {
        /// The program.
        program: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A process ended or did not get ready.
    #[snafu(display("{name} did not get ready; its output ends with:\n{output}"))]
    NotReady {
        /// Name of the process.
        name: String,
        /// Last lines of its output.
        output: String,
    },
    /// A process cannot be signalled.
    #[snafu(display("{name} cannot be signalled; it may have ended"))]
    Signal {
        /// Name of the process.
        name: String,
        /// What the system reported.
        source: io::Error,
    },
    /// No free port was found.
    #[snafu(display("no free port found on loopback; close programs that hold many ports"))]
    NoPort,
    /// The platform stand-in cannot be reached.
    #[snafu(display("the platform stand-in cannot be reached; see its output"))]
    Platform {
        /// What the system reported.
        source: io::Error,
    },
    /// The platform stand-in refused what it was told.
    #[snafu(display("the platform stand-in answered {status} to {path}; check the body"))]
    Rejected {
        /// Path of the call.
        path: String,
        /// Its answer.
        status: StatusCode,
    },
    /// The operators' client failed.
    #[snafu(display("whinspring {command} failed:\n{output}"))]
    Operator {
        /// Arguments of the command.
        command: String,
        /// What it printed.
        output: String,
    },
    /// A service does not answer.
    #[snafu(display(
        "{service} is not served through {daemon}: status {status}, code {code:?}; see the logs"
    ))]
    NotServing {
        /// The service.
        service: String,
        /// The daemon asked.
        daemon: String,
        /// HTTP status of the last answer; zero without one.
        status: u16,
        /// Result code of the last answer.
        code: Option<u16>,
    },
}
