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

/// What a router knows of the limit of an upstream, for other routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitObservation {
    /// The upstream.
    pub upstream: String,
    /// Its limit over all routers; `None` if it has stopped naming one.
    pub rate: Option<RequestRate>,
    /// Time since it said so.
    pub age: Duration,
}

/// Time for which it is remembered that an upstream has stopped naming a
/// limit, for routers that have missed it.
const ENDED_LIFETIME: Duration = Duration::from_secs(60);

/// Minimum interval between reports of a changed limit to all routers.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The newest known limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownLimit {
    /// `None` if the upstream has stopped naming one.
    rate: Option<RequestRate>,
    /// When the upstream said so.
    observed_at: Instant,
    /// When this router last reported the limit to all others.
    reported_at: Option<Instant>,
}

impl KnownLimit {
    fn new(rate: Option<RequestRate>, observed_at: Instant) -> KnownLimit {
        KnownLimit { rate, observed_at, reported_at: None }
    }
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
        let before = known.and_then(|known| known.rate);
        let rate = match (notice, known) {
            (LimitNotice::Limited(rate), _) => Some(rate),
            (LimitNotice::Unlimited, Some(known))
                if sent_at > known.observed_at =>
            {
                None
            }
            _ => return false,
        };
        let reported_at = known.and_then(|known| known.reported_at);
        let limit = KnownLimit { reported_at, ..KnownLimit::new(rate, now) };
        self.known.insert(upstream.to_owned(), limit);
        before != rate
    }

    /// Returns whether a change is reported to all other routers at once.
    ///
    /// A limit that changes with each answer is reported at an interval; the
    /// others learn of the rest when they ask.
    pub fn try_report(&mut self, upstream: &str, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(upstream) else {
            return false;
        };
        let is_recent = known.reported_at.is_some_and(|at| {
            now.saturating_duration_since(at) < REPORT_INTERVAL
        });
        if is_recent && known.rate.is_some() {
            return false;
        }
        known.reported_at = Some(now);
        true
    }

    /// Returns the limit of an upstream, if it has one.
    pub fn rate(&self, upstream: &str) -> Option<RequestRate> {
        self.known.get(upstream)?.rate
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited_count(&self) -> usize {
        self.known.values().filter(|known| known.rate.is_some()).count()
    }

    /// Returns the upstreams that have a limit, with their limits.
    pub fn limited(&self) -> impl Iterator<Item = (&str, RequestRate)> {
        let known = self.known.iter();
        known.filter_map(|(id, known)| Some((id.as_str(), known.rate?)))
    }

    /// Returns what other routers may not know.
    pub fn observations(&self, now: Instant) -> Vec<LimitObservation> {
        let mut observations = Vec::with_capacity(self.known.len());
        for (upstream, known) in &self.known {
            observations.push(LimitObservation {
                upstream: upstream.clone(),
                rate: known.rate,
                age: now.saturating_duration_since(known.observed_at),
            });
        }
        observations
    }

    /// Takes over what another router has observed later; returns the
    /// upstreams whose limit has changed.
    pub fn merge(
        &mut self,
        observations: &[LimitObservation],
        now: Instant,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        for observation in observations {
            let LimitObservation { upstream, rate, age } = observation;
            let known = self.known.get(upstream);
            let observed_at = now.checked_sub(*age).unwrap_or(now);
            if known.is_some_and(|known| known.observed_at >= observed_at) {
                continue;
            }
            let before = known.and_then(|known| known.rate);
            let limit = KnownLimit::new(*rate, observed_at);
            self.known.insert(upstream.clone(), limit);
            if before != *rate {
                changed.push(upstream.clone());
            }
        }
        changed
    }

    /// Forgets upstreams that do not register any more or whose limit ended
    /// long ago.
    pub fn forget(
        &mut self,
        is_registered: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        self.known.retain(|upstream, known| {
            let age = now.saturating_duration_since(known.observed_at);
            let is_current = known.rate.is_some() && is_registered(upstream);
            is_current || age < ENDED_LIFETIME
        });
    }
}
