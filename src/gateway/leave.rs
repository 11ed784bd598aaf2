//! Which requests a gateway accepts while it shuts down.

use std::time::Duration;

use crate::catalog::CallKind;

/// For how many lifetimes of an entry answer new connections are accepted.
/// Some callers use an answer for longer than its lifetime.
const ACCEPTED_LIFETIMES: u32 = 3;

/// Part of the leave time that is reserved for the final settlements.
const SETTLE_RESERVE: Duration = Duration::from_millis(700);

/// How long after the order to leave new streams are admitted. The duration
/// of a stream is unknown, and one that starts later would be cut off.
const STREAM_ADMISSION_WINDOW: Duration = Duration::from_millis(2_800);

/// The schedule of a graceful shutdown.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use magnoliahaven::gateway::LeavePlan;
///
/// let plan = LeavePlan::new(Duration::from_secs(8), Duration::from_secs(2));
/// assert_eq!(plan.accept_window(), Duration::from_secs(6));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavePlan {
    leave_time: Duration,
    entry_lifetime: Duration,
}

impl LeavePlan {
    /// Creates the schedule of a process that exits `leave_time` after the
    /// order to leave. Callers cache its address for `entry_lifetime`.
    pub fn new(leave_time: Duration, entry_lifetime: Duration) -> LeavePlan {
        LeavePlan { leave_time, entry_lifetime }
    }

    /// Returns the time after which requests in progress are abandoned.
    pub fn work_timeout(&self) -> Duration {
        self.leave_time.saturating_sub(SETTLE_RESERVE)
    }

    /// Returns how long new connections are accepted.
    pub fn accept_window(&self) -> Duration {
        let lifetimes = self.entry_lifetime * ACCEPTED_LIFETIMES;
        lifetimes.min(self.work_timeout())
    }

    /// Returns the timeout of the final settlements.
    pub fn settle_timeout(&self) -> Duration {
        SETTLE_RESERVE / 2
    }

    /// Returns whether a request that arrives `elapsed` after the order to
    /// leave is admitted.
    ///
    /// A request that might not finish in time is rejected before it runs,
    /// so that the caller can retry at another router at once.
    pub fn admits(
        &self,
        elapsed: Duration,
        kind: CallKind,
        timeout: Duration,
    ) -> bool {
        if elapsed + timeout <= self.work_timeout() {
            return true;
        }
        kind.is_stream() && elapsed <= STREAM_ADMISSION_WINDOW
    }
}
