//! The routing view: what an entry needs of the records to find the target of a request.
//!
//! A view is immutable. A changed record yields a new view that shares all unchanged services.
