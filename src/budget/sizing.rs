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

/// Estimates the draw rate of one budget at one router.
#[derive(Clone, Debug)]
pub struct GrantSizer {
    rate: f64,
    updated: Instant,
    horizon: Duration,
}

impl GrantSizer {
    /// Creates a sizer that covers `horizon` of demand with each grant.
    pub fn new(horizon: Duration, now: Instant) -> GrantSizer {
        GrantSizer { rate: 0.0, updated: now, horizon }
    }

    /// Notes that `tokens` were reserved.
    pub fn note(&mut self, tokens: u64, now: Instant) {
        self.decay(now);
        self.rate += tokens as f64 / RATE_WINDOW.as_secs_f64();
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated);
        let exponent = age.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.rate *= (-exponent).exp();
        self.updated = now;
    }

    /// Tokens that cover the horizon at the current rate.
    pub fn target(&mut self, now: Instant) -> u64 {
        self.decay(now);
        (self.rate * self.horizon.as_secs_f64()).ceil() as u64
    }
}
