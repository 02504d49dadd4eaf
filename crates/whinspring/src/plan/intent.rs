//! Operators' intents.

use {
    crate::{
        model::{Server, ServerState, Service},
        name::{Name, Slice},
    },
    std::fmt::{self, Display, Formatter},
};

/// Change that an operator asks for; displayed as the command that requests it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Intent {
    /// Declares a whole service; servers are matched by name.
    Declare(Box<Service>),
    /// Adds a server.
    Add { service: Name, server: Server },
    /// Makes a server active or draining.
    SetState { service: Name, server: Name, state: ServerState },
    /// Adds a server and drains the one that it replaces.
    Replace {
        service: Name,
        /// Name of the server to drain.
        old: Name,
        /// Server to add.
        new: Server,
    },
    /// Sets whether a server checks fencing terms.
    SetFenced { service: Name, server: Name, fenced: bool },
    /// Moves slices to another owner.
    MoveSlices {
        service: Name,
        slices: Vec<Slice>,
        /// Name of the new owner.
        to: Name,
    },
    /// Moves keys to another owner, separately from their slices.
    MoveKeys {
        service: Name,
        keys: Vec<Name>,
        /// Name of the new owner.
        to: Name,
    },
    /// Sets a customer's share.
    Share {
        service: Name,
        customer: Name,
        /// Weight of the customer; unlisted customers have 1.
        share: u32,
    },
    /// Clears a suspected request.
    ClearSuspect {
        /// Fingerprint of the request.
        print: u64,
    },
}

impl Display for Intent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Declare(service) => write!(f, "service declare {}.ini", service.name),
            Self::Add { service, server } => {
                write!(f, "server add {service} {}", server.name)?;
                write_server_flags(f, server)
            }
            Self::SetState { service, server, state } => {
                let verb = if *state == ServerState::Active { "return" } else { "drain" };
                write!(f, "server {verb} {service} {server}")
            }
            Self::Replace { service, old, new } => {
                write!(f, "server replace {service} {old} {}", new.name)?;
                write_server_flags(f, new)
            }
            Self::SetFenced { service, server, fenced } => {
                write!(f, "server fence {service} {server} {}", format_flag(*fenced))
            }
            Self::MoveSlices { service, slices, to } => {
                write!(f, "move slice {service}")?;
                for slice in slices {
                    write!(f, " {}", slice.0)?;
                }
                write!(f, " --to {to}")
            }
            Self::MoveKeys { service, keys, to } => {
                write!(f, "move key {service} --to {to} --")?;
                for key in keys {
                    write!(f, " {}", shell_quote(key))?;
                }
                Ok(())
            }
            Self::Share { service, customer, share } => {
                write!(f, "share {service} {share} -- {}", shell_quote(customer))
            }
            Self::ClearSuspect { print } => write!(f, "clear {print:016x}"),
        }
    }
}

/// Writes the properties of a server as command-line flags.
fn write_server_flags(f: &mut Formatter<'_>, server: &Server) -> fmt::Result {
    write!(f, " --addr {} --domain {}", server.addr, server.domain)?;
    write!(f, " --fenced {}", format_flag(server.fenced))?;
    write!(f, " --slots {} --conns {}", server.slots, server.conns)
}

fn format_flag(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Quotes a word for a POSIX shell if necessary.
fn shell_quote(word: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/@+,=".contains(c);
    if !word.is_empty() && word.chars().all(plain) {
        return word.into();
    }
    format!("'{}'", word.replace('\'', "'\\''"))
}
