//! Logs and metrics.
//!
//! Log lines are JSON objects on standard output. [`LogPipe`] keeps writing
//! them from ever blocking a request, and [`LineQuota`] bounds them by kind.
//! [`LogEvent`] is the closed list of lines, which `docs/OPERATIONS.md`
//! explains.

mod dependency;
mod events;
mod logging;
mod malformed;
mod metrics;
mod peers;
mod pipe;
mod quota;
mod records;

pub use self::{
    dependency::DependencyLog,
    events::{COMMON_FIELDS, LineFault, LogEvent, check_line},
    logging::{LogContext, flush_logging, init_logging},
    malformed::{MessageKind, malformed_count, note_malformed},
    metrics::RouterMetrics,
    peers::PeerMetrics,
    pipe::LogPipe,
    quota::{LineKind, LineQuota},
    records::note_unreadable,
};
