//! The memory that the requests of all callers may take together.
//!
//! Each request that arrives has a [`MemoryLease`], which grows with the
//! bytes that have arrived, not with those that its head announces: a caller
//! that announces a large body and sends nothing takes nothing. The lease
//! lasts until the request is over.
//!
//! If a lease cannot grow, a request that is still arriving is refused.
//! [`RequestMemory`] decides which one. None of it was sent to an upstream,
//! so the refusal may say that the request has not run.
//!
//! * `requests` has the decisions, without I/O and without a clock.
//! * `lease` shares them among the tasks of a process.

mod lease;
mod requests;

pub use self::{
    lease::{MemoryLease, MemoryPool, MemoryShortage},
    requests::{
        GrowthOutcome, RequestMemory, SMALL_REQUEST_BYTES, STALL_TIMEOUT,
    },
};
