//! Delays between retries.

use std::time::Duration;

use rand::Rng;

/// The delay after the first failure.
const MIN_DELAY: Duration = Duration::from_millis(200);

/// The longest delay.
const MAX_DELAY: Duration = Duration::from_millis(800);

/// The delays between the retries of one call, which grow with each failure.
///
/// Each delay has a random part, so that callers which failed at the same
/// time do not retry at the same time.
///
/// # Example
///
/// ```
/// use magnoliahaven::runtime::RetryBackoff;
///
/// let mut backoff = RetryBackoff::new();
/// let first = backoff.next_delay();
/// assert!(first.as_millis() >= 100 && first.as_millis() <= 200);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    delay: Duration,
}

impl RetryBackoff {
    /// Creates the delays of a call that has not failed yet.
    pub fn new() -> RetryBackoff {
        RetryBackoff { delay: MIN_DELAY }
    }

    /// Returns the delay before the next retry.
    pub fn next_delay(&mut self) -> Duration {
        let share = rand::rng().random_range(0.5..=1.0);
        let delay = self.delay.mul_f64(share);
        self.delay = (self.delay * 2).min(MAX_DELAY);
        delay
    }
}

impl Default for RetryBackoff {
    fn default() -> RetryBackoff {
        RetryBackoff::new()
    }
}
