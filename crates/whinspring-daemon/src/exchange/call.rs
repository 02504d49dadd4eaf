//! The holder's end of a stream.

use {
    super::{ResponseSender, Upload},
    whinspring::time::Tick,
    whinspring_wire::link::Open,
};

/// A request that arrived at the holder.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub open: Box<Open>,
    /// When the caller must have an answer.
    pub deadline: Tick,
    /// The rest of the body.
    pub upload: Upload,
    /// Where the answer goes.
    pub reply: ResponseSender,
}
