//! The rate limits that upstreams name in their answers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Largest rate that is kept, in requests per 1,000 seconds.
const MAX_PER_KILOSECOND: f64 = 1e12;

/// A number of requests per second, exact to a thousandth.
///
/// # Example
///
/// ```
/// use magnoliahaven::routing::RequestRate;
///
/// let rate = RequestRate::from_per_second(2.4).unwrap();
/// assert_eq!(rate.per_kilosecond(), 2_400);
/// assert_eq!(RequestRate::from_per_second(f64::NAN), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    per_kilosecond: u64,
}

impl RequestRate {
    /// Creates a rate; `None` if it is negative or not finite.
    pub fn from_per_second(per_second: f64) -> Option<RequestRate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        let scaled = (per_second * 1e3).min(MAX_PER_KILOSECOND);
        Some(RequestRate { per_kilosecond: scaled as u64 })
    }

    /// Creates a rate from requests per 1,000 seconds.
    pub fn from_per_kilosecond(per_kilosecond: u64) -> RequestRate {
        RequestRate { per_kilosecond }
    }

    /// Returns the requests per 1,000 seconds.
    pub fn per_kilosecond(self) -> u64 {
        self.per_kilosecond
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.per_kilosecond as f64 / 1e3
    }
}

/// What an answer says about the rate limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitNotice {
    /// The upstream names no limit.
    Unlimited,
    /// The upstream takes this rate from all routers together.
    Limited(RequestRate),
    /// The answer says nothing that can be used.
    Unknown,
}

/// The newest known limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownLimit {
    /// `None` if the upstream has stopped naming one.
    rate: Option<RequestRate>,
    /// When the upstream said so.
    observed_at: Instant,
}

/// The rate limits of all upstreams as known to this router.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    known: BTreeMap<String, KnownLimit>,
}

impl UpstreamLimits {
    /// Creates an empty collection.
    pub fn new() -> UpstreamLimits {
        UpstreamLimits::default()
    }

    /// Records what an answer to a request that was sent at `sent_at` says;
    /// returns whether the limit has changed.
    ///
    /// Answers overtake each other. One without a limit ends the limit only
    /// if its request was sent after the upstream had last named one.
    pub fn record(
        &mut self,
        upstream: &str,
        notice: LimitNotice,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.known.get(upstream);
        let rate = match (notice, known) {
            (LimitNotice::Limited(rate), _) => Some(rate),
            (LimitNotice::Unlimited, Some(known))
                if sent_at > known.observed_at =>
            {
                None
            }
            _ => return false,
        };
        let has_changed = known.is_none_or(|known| known.rate != rate);
        let limit = KnownLimit { rate, observed_at: now };
        self.known.insert(upstream.to_owned(), limit);
        has_changed
    }

    /// Returns the limit of an upstream, if it has one.
    pub fn rate(&self, upstream: &str) -> Option<RequestRate> {
        self.known.get(upstream)?.rate
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited_count(&self) -> usize {
        self.known.values().filter(|known| known.rate.is_some()).count()
    }

    /// Returns the time since an upstream last said anything of its limit.
    pub fn age(&self, upstream: &str, now: Instant) -> Option<Duration> {
        let known = self.known.get(upstream)?;
        Some(now.saturating_duration_since(known.observed_at))
    }
}
