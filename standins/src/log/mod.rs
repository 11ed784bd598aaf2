//! The platform's append-only log and its list of VMs.
//!
//! Streams live in memory and forget records after a retention time. The
//! `/admin/` calls switch outages, slowness and lost answers, and change the
//! list of VMs.

mod handler;
mod streams;

pub use self::{
    handler::{LogFaults, LogStandin},
    streams::StreamStore,
};
