//! Outages of a registry in which entries lapse.
//!
//! An entry has to be renewed again and again. While the registry is out of
//! reach nobody can, and some entries lapse although their owners live.
//! They are renewed soon after the registry is back. A reader that wants to
//! wait for that has to count from the return itself, not from its own next
//! read, which may come much later.

use std::time::{Duration, Instant};

/// Calls that fail for longer than this are an outage.
const OUTAGE_TIME: Duration = Duration::from_millis(1_000);

/// When a registry was out of reach, as all calls to it have shown.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::membership::OutageTracker;
///
/// let start = Instant::now();
/// let returned = start + Duration::from_secs(9);
/// let mut outage = OutageTracker::new();
/// outage.record_failure(start);
/// outage.record_success(returned);
/// assert_eq!(outage.recovered_since(Some(start)), Some(returned));
/// // What was there after the return did not lapse in the outage.
/// assert_eq!(outage.recovered_since(Some(returned)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutageTracker {
    failing_since: Option<Instant>,
    returned: Option<Instant>,
}

impl OutageTracker {
    /// Creates the watch of a registry that has not failed yet.
    pub fn new() -> OutageTracker {
        OutageTracker::default()
    }

    /// Notes that a call got no answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Notes that a call was answered.
    pub fn record_success(&mut self, now: Instant) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now - since >= OUTAGE_TIME {
            self.returned = Some(now);
        }
    }

    /// When the last outage ended, if that was after `read_at`.
    ///
    /// What was there at `read_at` and is missing now may have lapsed in it.
    pub fn recovered_since(
        &self,
        read_at: Option<Instant>,
    ) -> Option<Instant> {
        self.returned
            .filter(|returned| read_at.is_some_and(|at| at < *returned))
    }
}
