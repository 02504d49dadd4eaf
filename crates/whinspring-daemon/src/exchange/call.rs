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
    /// Time by which the response must be sent to the entry.
    pub deadline: Tick,
    /// The request body after the first bytes in `open`.
    pub upload: Upload,
    /// Sends the response.
    pub responder: ResponseSender,
}
