//! The sizes of grants: how many tokens a router requests, and how many of
//! them the ledger grants.

use std::time::{Duration, Instant};

/// A grant is at most a budget's free tokens divided by this, unless the
/// holder needs more, so that grants shrink with the balance and no router
/// drains a budget.
const FREE_SHARE_DIVISOR: u64 = 4;

/// Time constant of the exponentially weighted reservation rate.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Returns the tokens granted out of `free` to a holder that asks for `want`
/// and cannot use fewer than `least`.
///
/// Every reader of the log computes this for every grant record, so the result
/// depends on nothing but the arguments.
///
/// # Example
///
/// ```
/// use magnoliahaven::budget::grant_size;
///
/// assert_eq!(grant_size(10, 100, 1_000), 100);
/// assert_eq!(grant_size(10, 1_000, 1_000), 250);
/// assert_eq!(grant_size(600, 1_000, 1_000), 600);
/// assert_eq!(grant_size(600, 1_000, 599), 0);
/// ```
pub fn grant_size(least: u64, want: u64, free: u64) -> u64 {
    if free < least {
        return 0;
    }
    let share = free / FREE_SHARE_DIVISOR;
    want.min(share).max(least)
}

/// Minimum time span over which a rate is computed, so that a first request
/// alone does not yield an extreme rate.
const MIN_RATE_SPAN: Duration = Duration::from_secs(1);

/// Estimates the demand for tokens of one budget or account at one router.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::budget::DemandEstimator;
///
/// let start = Instant::now();
/// let mut demand = DemandEstimator::new(Duration::from_secs(60), start);
/// for second in 0..100 {
///     demand.record(500, start + Duration::from_secs(second));
/// }
/// let target = demand.target(start + Duration::from_secs(100));
/// assert!((25_000..35_000).contains(&target));
/// ```
#[derive(Clone, Debug)]
pub struct DemandEstimator {
    started_at: Instant,
    weighted_tokens: f64,
    updated_at: Instant,
    horizon: Duration,
}

impl DemandEstimator {
    /// Creates an estimator of the demand within `horizon`.
    pub fn new(horizon: Duration, now: Instant) -> DemandEstimator {
        DemandEstimator {
            started_at: now,
            weighted_tokens: 0.0,
            updated_at: now,
            horizon,
        }
    }

    /// Records that `tokens` were requested.
    pub fn record(&mut self, tokens: u64, now: Instant) {
        self.decay(now);
        self.weighted_tokens += tokens as f64;
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        self.weighted_tokens *= decay_factor(age);
        self.updated_at = now;
    }

    /// Returns the tokens that cover the horizon at the current rate.
    pub fn target(&mut self, now: Instant) -> u64 {
        self.decay(now);
        // Recorded tokens are weighted by their age. An estimator younger
        // than the window covers only a part of the total weight.
        let span = now.saturating_duration_since(self.started_at);
        let total_weight = 1.0 - decay_factor(span.max(MIN_RATE_SPAN));
        let rate =
            self.weighted_tokens / (RATE_WINDOW.as_secs_f64() * total_weight);
        (rate * self.horizon.as_secs_f64()).ceil() as u64
    }
}

/// Returns the weight of tokens recorded `age` ago.
fn decay_factor(age: Duration) -> f64 {
    (-age.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
}
