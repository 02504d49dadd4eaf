//! The holder's side of a stream.

use {
    super::{ResponseSender, Upload},
    whinspring::time::Tick,
    whinspring_wire::link::Open,
};

/// A request that arrived at the holder.
#[derive(Debug)]
pub struct Call {
    pub open: Box<Open>,
    /// When the response is due at the caller.
    pub deadline: Tick,
    /// The request body after the first bytes in `open`.
    pub upload: Upload,
    pub reply: ResponseSender,
}
