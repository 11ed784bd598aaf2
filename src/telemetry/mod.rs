//! Logs and metrics.

mod logging;
mod metrics;

pub use self::{
    logging::{LogContext, init_logging},
    metrics::RouterMetrics,
};
