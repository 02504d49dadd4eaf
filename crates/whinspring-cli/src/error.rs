//! Errors of commands, each with a hint on what to do.

use {
    crate::exit::Exit,
    snafu::Snafu,
    std::{io, net::SocketAddr, path::PathBuf},
    whinspring::{ini::Fault, name::Name, plan},
};

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    Unreadable { path: PathBuf, source: io::Error },
    /// A file cannot be written.
    #[snafu(display("cannot write to {}: {source}; check the path", path.display()))]
    Unwritable { path: PathBuf, source: io::Error },
    /// A configuration or declaration file is invalid.
    #[snafu(display("{} is invalid", path.display()))]
    InvalidFile {
        path: PathBuf,
        /// All faults found in the file.
        faults: Vec<Fault>,
    },
    /// No address of the platform is given.
    #[snafu(display(
        "no platform given; use --platform IP:PORT, WHINSPRING_PLATFORM or --config FILE"
    ))]
    NoPlatform,
    /// An environment variable is not an address or a list of addresses.
    #[snafu(display("{variable} is `{value}`; expected IP:PORT, such as 10.0.0.2:8500"))]
    InvalidVariable { variable: &'static str, value: String },
    /// No address of a node is given.
    #[snafu(display("no node given; use --node IP:PORT, WHINSPRING_NODE or --config FILE"))]
    NoNode,
    /// The plan, its confirmation or its abort is refused.
    #[snafu(display("{source}"), context(false))]
    Refused { source: plan::Error },
    /// A call to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Platform { source: whinspring_platform::Error },
    /// A record of the platform cannot be decoded.
    #[snafu(display("cannot decode record {key}: {source}"))]
    InvalidRecord {
        /// The record, as `kind/name`.
        key: Name,
        source: whinspring_wire::error::Error,
    },
    /// It is not known whether a write took effect.
    #[snafu(display(
        "the platform did not respond: the change may or may not have been stored; \
         check with `whinspring plans`"
    ))]
    OutcomeUnknown,
    /// A node gave no valid response.
    #[snafu(display("no valid response from node {addr}: {reason}; try another node"))]
    NodeUnavailable { addr: SocketAddr, reason: String },
    /// The request or key is in no log or node that was searched.
    #[snafu(display("found no {what}; {hint}"))]
    NotFound {
        /// What was searched for.
        what: String,
        hint: &'static str,
    },
}

impl Error {
    /// Returns the documented number of the error, if it has one.
    pub fn number(&self) -> Option<u16> {
        match self {
            Self::Refused { source } => Some(source.number()),
            _ => None,
        }
    }

    pub fn exit_code(&self) -> Exit {
        match self {
            Self::Refused {
                source: plan::Error::Conflict { .. } | plan::Error::WrongState { .. },
            } => Exit::Conflict,
            Self::Refused { .. } => Exit::Refused,
            Self::Platform { .. } | Self::InvalidRecord { .. } | Self::OutcomeUnknown => {
                Exit::NoPlatform
            }
            Self::NodeUnavailable { .. } | Self::NotFound { .. } => Exit::NoNode,
            Self::Unreadable { .. }
            | Self::Unwritable { .. }
            | Self::InvalidFile { .. }
            | Self::NoPlatform
            | Self::InvalidVariable { .. }
            | Self::NoNode => Exit::Usage,
        }
    }
}
