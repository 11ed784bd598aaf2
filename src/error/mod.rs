//! The fixed set of error kinds and the HTTP response of each.
//!
//! Every error that a caller receives has an [`ErrorKind`]. The table in
//! [`ErrorKind::response`] determines the HTTP status, whether the request
//! was executed and when to retry. Kinds with [`ExecutionStatus::No`] may
//! only be used before the first byte of the request has been sent to an
//! upstream; the router enforces this with the type parameter of
//! [`Reservation`](crate::budget::Reservation).

mod kind;

pub use self::kind::{CallError, ErrorKind, ErrorResponse, ExecutionStatus};
