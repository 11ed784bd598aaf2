//! Upper bounds of numbers that others send.
//!
//! Callers, upstreams, operators, peers and the store may send any number.
//! A number is bounded where it is decoded, so that sums, products and points
//! in time computed from it stay within their types.

use std::time::Duration;

/// Longest time that anybody can ask for.
pub const MAX_TIME: Duration = Duration::from_secs(30 * 24 * 3600);

/// Largest number of tokens of a request, an event or an account.
pub const MAX_TOKENS: u64 = 1 << 50;

/// Largest number of requests that an upstream serves at the same time.
pub const MAX_SLOTS: u32 = 1 << 16;

/// Largest number of registrations of an upstream since its start.
pub const MAX_SEQUENCE: u64 = 1 << 32;

/// Converts milliseconds to a time of at most [`MAX_TIME`].
pub fn time_from_ms(ms: u64) -> Duration {
    Duration::from_millis(ms).min(MAX_TIME)
}

/// Converts seconds to a time of at most [`MAX_TIME`]; a negative number and
/// one that is not a number become zero.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use magnoliahaven::domain::{MAX_TIME, time_from_secs};
///
/// assert_eq!(time_from_secs(0.25), Duration::from_millis(250));
/// assert_eq!(time_from_secs(1e300), MAX_TIME);
/// assert_eq!(time_from_secs(-1.0), Duration::ZERO);
/// ```
pub fn time_from_secs(seconds: f64) -> Duration {
    // `max` returns the other operand if one is not a number.
    let seconds = seconds.max(0.0).min(MAX_TIME.as_secs_f64());
    Duration::from_secs_f64(seconds)
}

/// Returns the sum of numbers, or the largest number if the sum is larger.
pub fn saturating_sum(numbers: impl IntoIterator<Item = u64>) -> u64 {
    numbers.into_iter().fold(0, u64::saturating_add)
}
