//! What an operator wants.

use {
    crate::{
        model::{Server, ServerState, Service},
        name::{Name, Slice},
    },
    std::fmt::{self, Display, Formatter},
};

/// What an operator wants; printed as the command that asks for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Intent {
    /// The whole declaration of a service; servers are matched by name.
    Declare(Box<Service>),
    /// One more server.
    Add {
        /// Service of the server.
        service: Name,
        /// The server.
        server: Server,
    },
    /// Another state of a server: active or draining.
    SetState {
        /// Service of the server.
        service: Name,
        /// Name of the server.
        server: Name,
        /// The state wanted.
        state: ServerState,
    },
    /// A new server in place of another one, which drains.
    Replace {
        /// Service of the servers.
        service: Name,
        /// Name of the server that leaves.
        old: Name,
        /// The server that comes.
        new: Server,
    },
    /// Whether a server checks fencing terms.
    SetFenced {
        /// Service of the server.
        service: Name,
        /// Name of the server.
        server: Name,
        /// Whether it checks them.
        fenced: bool,
    },
    /// Another owner of slices.
    MoveSlices {
        /// Service of the slices.
        service: Name,
        /// The slices.
        slices: Vec<Slice>,
        /// Name of their new owner.
        to: Name,
    },
    /// An owner of their own for single keys.
    MoveKeys {
        /// Service of the keys.
        service: Name,
        /// The keys.
        keys: Vec<Name>,
        /// Name of their new owner.
        to: Name,
    },
    /// A customer's share.
    Share {
        /// Service of the share.
        service: Name,
        /// The customer.
        customer: Name,
        /// Weight of the customer against others.
        share: u32,
    },
    /// An end to the suspicion of a request.
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

/// Writes the flags of a server.
fn write_server_flags(f: &mut Formatter<'_>, server: &Server) -> fmt::Result {
    write!(f, " --addr {} --domain {}", server.addr, server.domain)?;
    write!(f, " --fenced {}", format_flag(server.fenced))?;
    write!(f, " --slots {} --conns {}", server.slots, server.conns)
}

/// Returns a flag as operators write it.
fn format_flag(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Returns a word as a shell takes it.
fn shell_quote(word: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/@+,=".contains(c);
    if !word.is_empty() && word.chars().all(plain) {
        return word.into();
    }
    format!("'{}'", word.replace('\'', "'\\''"))
}
