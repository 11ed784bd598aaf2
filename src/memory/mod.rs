//! The memory that the requests of all callers may take together.
//!
//! Each request that arrives has a [`MemoryLease`], which grows with the
//! bytes that have arrived: a caller that announces a large body and sends
//! little takes little. A large request has to reserve its whole size, and
//! may wait for that. The lease lasts until the request is over.
//!
//! If memory is short, a request that is still arriving is refused.
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
        GrowthOutcome, GrowthVerdict, MAX_MEMORY_WAIT, RequestMemory,
        SMALL_REQUEST_BYTES, STALL_TIMEOUT,
    },
};
