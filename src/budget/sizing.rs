//! How many tokens a router asks for, and how many the fold gives.

use std::time::{Duration, Instant};

/// One grant takes at most this part of a budget's free tokens, so that
/// grants shrink as the balance falls and no router drains a budget.
const FREE_SHARE_DIVISOR: u64 = 4;

/// Time constant of the draw rate.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// The tokens given to a holder that asks for `want`, and has no use for
/// fewer than `least`, out of `free`.
///
/// Every reader of the log computes this for every grant record, so it
/// depends on nothing but its arguments.
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

/// Shortest time over which a first rate is taken, so that a single request
/// does not look like a flood.
const SHORTEST_SPAN: Duration = Duration::from_secs(1);

/// Estimates the draw rate of one budget at one router.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::budget::DemandEstimator;
///
/// let start = Instant::now();
/// let mut sizer = DemandEstimator::new(Duration::from_secs(60), start);
/// for second in 0..100 {
///     sizer.record(500, start + Duration::from_secs(second));
/// }
/// let target = sizer.target(start + Duration::from_secs(100));
/// assert!((25_000..35_000).contains(&target));
/// ```
#[derive(Clone, Debug)]
pub struct DemandEstimator {
    started: Instant,
    drawn: f64,
    updated: Instant,
    horizon: Duration,
}

impl DemandEstimator {
    /// Creates a sizer that covers `horizon` of demand with each grant.
    pub fn new(horizon: Duration, now: Instant) -> DemandEstimator {
        DemandEstimator { started: now, drawn: 0.0, updated: now, horizon }
    }

    /// Notes that `tokens` were reserved.
    pub fn record(&mut self, tokens: u64, now: Instant) {
        self.decay(now);
        self.drawn += tokens as f64;
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated);
        self.drawn *= remaining_part(age);
        self.updated = now;
    }

    /// Tokens that cover the horizon at the current rate.
    pub fn target(&mut self, now: Instant) -> u64 {
        self.decay(now);
        // What was drawn is weighted by its age. A sizer that is younger
        // than the window has seen a part of the weights only.
        let span = now.saturating_duration_since(self.started);
        let seen = 1.0 - remaining_part(span.max(SHORTEST_SPAN));
        let rate = self.drawn / (RATE_WINDOW.as_secs_f64() * seen);
        (rate * self.horizon.as_secs_f64()).ceil() as u64
    }
}

/// The weight of what was drawn `age` ago.
fn remaining_part(age: Duration) -> f64 {
    (-age.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
}
