//! Detection of registry outages, in which entries of live owners expire.
//!
//! An entry has to be renewed regularly. While the registry is unreachable
//! nobody can renew, and some entries expire although their owners live.
//! The owners register again soon after the registry has recovered. A reader
//! that waits for them has to count from the recovery itself, not from its
//! own next read, which may come much later.

use std::time::{Duration, Instant};

/// Calls that fail for at least this long count as an outage.
const MIN_OUTAGE_DURATION: Duration = Duration::from_millis(1_000);

/// Tracks by the results of all calls when a registry was unreachable.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::membership::OutageTracker;
///
/// let start = Instant::now();
/// let recovered_at = start + Duration::from_secs(9);
/// let mut outage = OutageTracker::new();
/// outage.record_failure(start);
/// outage.record_success(recovered_at);
/// assert_eq!(outage.recovered_since(Some(start)), Some(recovered_at));
/// // An entry that was read after the recovery did not expire in the outage.
/// assert_eq!(outage.recovered_since(Some(recovered_at)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutageTracker {
    failing_since: Option<Instant>,
    recovered_at: Option<Instant>,
}

impl OutageTracker {
    /// Creates the tracker of a registry without failures.
    pub fn new() -> OutageTracker {
        OutageTracker::default()
    }

    /// Records that a call got no answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that a call was answered.
    pub fn record_success(&mut self, now: Instant) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now - since >= MIN_OUTAGE_DURATION {
            self.recovered_at = Some(now);
        }
    }

    /// Returns when the last outage ended, if that was after `read_at`.
    ///
    /// An entry that was there at `read_at` and is missing now may have
    /// expired in that outage.
    pub fn recovered_since(
        &self,
        read_at: Option<Instant>,
    ) -> Option<Instant> {
        self.recovered_at.filter(|end| read_at.is_some_and(|at| at < *end))
    }
}
