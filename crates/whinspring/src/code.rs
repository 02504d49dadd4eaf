//! Numbered result codes.
//!
//! Each response that whinspring itself generates carries one of these codes and its class. The
//! table in `docs/RESULTS.md` tells callers and operators what to do; a test keeps both in sync.

/// What a caller may conclude about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Class {
    /// The complete response of the backend server.
    Done,
    /// No part of the request ran: the caller may retry it.
    NotRun,
    /// The request may have run: whinspring does not retry it.
    Unknown,
}

impl Class {
    /// Returns the value of the `whinspring-class` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $class:ident, $status:literal, $text:literal;)*) => {
        /// A numbered result.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            pub const fn from_number(number: u16) -> Option<Self> {
                match number {
                    $($number => Some(Self::$name),)*
                    _ => None,
                }
            }

            pub const fn class(self) -> Class {
                match self {
                    $(Self::$name => Class::$class,)*
                }
            }

            /// Returns the HTTP status sent with the code.
            ///
            /// Zero for [`Code::Done`], whose status is the backend server's own.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Returns a short description in English.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

codes! {
    /// The response of the backend server.
    Done = 100, Done, 0, "answered by the backend server";
    /// The recorded response of an earlier attempt with the same request id.
    Replayed = 101, Done, 0, "recorded answer of an earlier sending";

    /// No service matches the path.
    NoService = 400, NotRun, 404, "no service has this path";
    /// The key is missing or malformed.
    NoKey = 401, NotRun, 400, "the service needs a key and the request has none";
    /// The deadline is not a number of milliseconds within the cap.
    BadDeadline = 402, NotRun, 400, "the deadline is not a positive number of milliseconds";
    /// A request that is not idempotent has no request id.
    NoId = 403, NotRun, 400, "an unrepeatable request needs a request id";
    BadId = 404, NotRun, 400, "the request id is malformed or issued in the future";
    /// The request is malformed in another way.
    BadRequest = 405, NotRun, 400, "the request is malformed";
    /// The caller stopped sending the body, or closed the connection, before it was complete.
    BodyCut = 406, NotRun, 408, "the request body did not arrive in full";
    /// The request is known to crash backend servers.
    Crashing = 410, NotRun, 422, "this request crashed backend servers and is refused";

    /// The estimated wait exceeds the deadline.
    Overloaded = 500, NotRun, 503, "the estimated wait exceeds the deadline";
    /// The deadline passed while the request was queued.
    Expired = 501, NotRun, 503, "the deadline passed before the request was started";
    /// No server currently owns and serves the key.
    NoOwner = 502, NotRun, 503, "the key has no serving owner now";
    /// The holder, the node that holds the owning server, cannot be reached.
    NoHolder = 503, NotRun, 503, "the node that holds the owning server cannot be reached";
    /// The backend server refused the request before running it.
    Shed = 504, NotRun, 503, "the backend server refused the request before running it";
    ShuttingDown = 505, NotRun, 503, "this node is shutting down";
    RetryBudgetExhausted = 506, NotRun, 503, "the retry budget is used up";
    /// This node has not received the configuration yet.
    NotReady = 507, NotRun, 503, "this node has not learned the configuration yet";
    /// The customer of the caller exceeds its share of the capacity.
    OverShare = 508, NotRun, 429, "the customer exceeds its share";
    /// The owner of the key changed while the request was queued.
    Moved = 509, NotRun, 503, "the key moved and its new owner is not ready";
    /// The node reaches no server, and no other node can relay the request.
    NoPath = 510, NotRun, 503, "no backend server can be reached from this node";

    /// The backend server was lost while it ran the request.
    ServerLost = 600, Unknown, 502, "the backend server was lost while running the request";
    /// The connection to the holder was lost after the request was forwarded.
    HolderLost = 601, Unknown, 502, "the holder was lost after the request was handed over";
    /// The deadline passed while the request ran.
    Deadline = 602, Unknown, 504, "the deadline passed while the request was running";
    /// An earlier attempt with the same request id may have run.
    MaybeRan = 603, Unknown, 409, "an earlier sending of this request may have run";
    /// The response was truncated.
    Truncated = 604, Unknown, 502, "the answer was cut before it was whole";
}
