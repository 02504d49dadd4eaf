//! Errors of starting and controlling a fleet.

use {
    hyper::StatusCode,
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Error of starting or controlling a fleet.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file in the fleet's directory could not be read or written.
    #[snafu(display(
        "cannot access files in the fleet's directory; check its permissions and free space"
    ))]
    Dir {
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A program could not be executed.
    #[snafu(display("cannot start {}; run cargo build --release --workspace", program.display()))]
    Program {
        /// Path of the program.
        program: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A process exited or was not ready in time.
    #[snafu(display("{name} exited or was not ready in time; its output ends with:\n{output}"))]
    NotReady {
        /// Name of the process.
        name: String,
        /// Last lines of the process's output.
        output: String,
    },
    /// A signal could not be sent to a process.
    #[snafu(display("cannot send a signal to {name}; the process may have exited"))]
    Signal {
        /// Name of the process.
        name: String,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// No free port was found within the allowed number of attempts.
    #[snafu(display("found no free loopback port; close programs that listen on many ports"))]
    NoPort,
    /// A call to the platform stand-in failed or timed out.
    #[snafu(display("call to the platform stand-in failed; see its output in platform.log"))]
    Platform {
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The platform stand-in rejected a control request.
    #[snafu(display(
        "expected status 200 from the platform stand-in for {path}, got {status}; check the body"
    ))]
    Rejected {
        /// Path of the request.
        path: String,
        /// Status of the response.
        status: StatusCode,
    },
    /// The operators' client exited with an error.
    #[snafu(display("whinspring {command} failed:\n{output}"))]
    Operator {
        command: String,
        /// Standard output followed by standard error.
        output: String,
    },
    /// A service was not served through a daemon in time.
    #[snafu(display(
        "{service} not served through {daemon} in time: status {status}, code {code:?}; see logs"
    ))]
    NotServing {
        /// Name of the service.
        service: String,
        /// Name of the daemon that received the requests.
        daemon: String,
        /// HTTP status of the last response; zero if there was none.
        status: u16,
        /// Result code of the last response.
        code: Option<u16>,
    },
}
