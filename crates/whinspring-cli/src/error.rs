//! Why a command failed, each with a hint on what to do.

use {
    crate::exit::Exit,
    snafu::Snafu,
    std::{io, net::SocketAddr, path::PathBuf},
    whinspring::{ini::Fault, name::Name, plan},
};

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("cannot write to {}: {source}; check the path", path.display()))]
    Unwritable {
        /// Path of the file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A file is read but not accepted.
    #[snafu(display("{} is not accepted", path.display()))]
    InvalidFile {
        /// Path of the file.
        path: PathBuf,
        /// Everything that is wrong.
        faults: Vec<Fault>,
    },
    /// No address of the platform is known.
    #[snafu(display(
        "no platform given; use --platform IP:PORT, WHINSPRING_PLATFORM or --config FILE"
    ))]
    NoPlatform,
    /// An environment variable holds no address.
    #[snafu(display("{variable} is `{value}`; write IP:PORT, such as 10.0.0.2:8500"))]
    InvalidVariable {
        /// Name of the variable.
        variable: &'static str,
        /// Its value.
        value: String,
    },
    /// No node's address is known.
    #[snafu(display("no node given; use --node IP:PORT, WHINSPRING_NODE or --config FILE"))]
    NoNode,
    /// The intent or the confirmation is refused.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// Why.
        source: plan::Error,
    },
    /// A call to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Why.
        source: whinspring_platform::Error,
    },
    /// A record of the platform is not understood.
    #[snafu(display("{key} is not understood: {source}"))]
    InvalidRecord {
        /// The record, as `kind/name`.
        key: Name,
        /// Why.
        source: whinspring_wire::error::Error,
    },
    /// It is not known whether a write took effect.
    #[snafu(display(
        "the platform gave no answer: the change may or may not have been stored; \
         look with `whinspring plans`"
    ))]
    OutcomeUnknown,
    /// A node gave no answer.
    #[snafu(display("{addr} gave no answer: {reason}; try another node"))]
    NodeUnavailable {
        /// Address of the node.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// No node knows the answer.
    #[snafu(display("no node knows {what}; {hint}"))]
    NotFound {
        /// What was asked for.
        what: String,
        /// What to do.
        hint: &'static str,
    },
}

impl Error {
    /// Returns the number of the error, if it has one.
    pub fn number(&self) -> Option<u16> {
        match self {
            Self::Refused { source } => Some(source.number()),
            _ => None,
        }
    }

    /// Returns the exit code of the error.
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
