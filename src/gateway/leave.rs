//! What a gateway that was told to leave still takes.

use std::time::Duration;

use crate::catalog::CallKind;

/// Lifetimes of an entry answer for which callers are accepted; some callers
/// keep an answer longer than they should.
const ACCEPTED_LIFETIMES: u32 = 3;

/// Time of the leave time that is kept for the last settlements.
const SETTLE_RESERVE: Duration = Duration::from_millis(700);

/// Time after the order to leave for which streams are begun. Nobody knows
/// how long a stream takes, and one that is begun late would be cut off.
const STREAM_ADMISSION_WINDOW: Duration = Duration::from_millis(2_800);

/// The schedule of a gateway that leaves.
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
    /// Creates the schedule of a process that ends `leave_time` after the
    /// order, and whose address callers keep for `entry_lifetime`.
    pub fn new(leave_time: Duration, entry_lifetime: Duration) -> LeavePlan {
        LeavePlan { leave_time, entry_lifetime }
    }

    /// When the last request in progress is given up.
    pub fn work_timeout(&self) -> Duration {
        self.leave_time.saturating_sub(SETTLE_RESERVE)
    }

    /// How long new connections are accepted.
    pub fn accept_window(&self) -> Duration {
        let lifetimes = self.entry_lifetime * ACCEPTED_LIFETIMES;
        lifetimes.min(self.work_timeout())
    }

    /// How long the last settlements may take.
    pub fn settle_timeout(&self) -> Duration {
        SETTLE_RESERVE / 2
    }

    /// Whether a request is served that arrives `elapsed` after the order.
    ///
    /// One that may not be finished in time is refused as not run, so that
    /// its caller goes elsewhere at once.
    pub fn admits(
        &self,
        elapsed: Duration,
        kind: CallKind,
        time_limit: Duration,
    ) -> bool {
        if elapsed + time_limit <= self.work_timeout() {
            return true;
        }
        kind.is_stream() && elapsed <= STREAM_ADMISSION_WINDOW
    }
}
