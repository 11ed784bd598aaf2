//! The closed list of error kinds and the answer that belongs to each.
//!
//! A caller never sees a free-form error. It sees an [`ErrorKind`], and the
//! table in [`ErrorKind::response`] decides the HTTP status, whether the
//! request ran and when a retry makes sense. Kinds that claim
//! [`ExecutionStatus::No`] may be used only before the first byte of the request
//! has left for an upstream; the router enforces that with the type state of
//! a reservation.

mod kind;

pub use self::kind::{CallError, ErrorKind, ErrorResponse, ExecutionStatus};
