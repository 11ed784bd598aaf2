//! Logs and metrics.
//!
//! Log lines are JSON objects on standard output. [`LogPipe`] keeps writing
//! them from ever blocking a request, and [`LineQuota`] bounds them by kind.
//! `docs/OPERATIONS.md` lists the lines and their fields.

mod logging;
mod metrics;
mod pipe;
mod quota;

pub use self::{
    logging::{LogContext, flush_logging, init_logging},
    metrics::RouterMetrics,
    pipe::LogPipe,
    quota::{LineKind, LineQuota},
};
