//! Stand-ins for the systems around magnoliahaven, for tests and the demo.
//!
//! They are no part of the product. Each one does just enough of what the
//! real system does, and fails on demand.
//!
//! * [`log`]: the platform's append-only log and its list of VMs.
//! * [`engine`]: a model engine with continuous batching, and a plain
//!   service whose calls must not be repeated.
//! * [`naive`]: the baseline of the measures.
//! * [`measure`]: the measures of the promises.
//! * [`slopes`]: the measured slopes behind the capacity page.
//! * [`load`]: callers, for load tests and experiments.
//! * [`fleet`]: real processes on loopback, for tests and measures.

#![warn(missing_docs)]

pub mod engine;
pub mod fleet;
pub mod load;
pub mod log;
pub mod measure;
pub mod naive;
pub mod server;
pub mod slopes;
