//! How routers share the rate limit of an upstream without coordination.
//!
//! The limit holds over all routers. Divided equally among them, a small
//! limit would leave each router one request in many seconds, so a few
//! routers share it and the others send nothing. Which ones follows from
//! their names by rendezvous hashing, as with slots.
//!
//! In any window the sharers together send at most their bursts plus the
//! limit over the window. The bursts add up to [`BASE_BURST`] plus one second
//! of the limit, which leaves room for routers whose lists differ.

use std::time::{Duration, Instant};

use super::RequestRate;
use crate::membership::rendezvous_weight;

/// Requests that all sharers together may send at once, beside one second of
/// the limit.
const BASE_BURST: f64 = 3.0;

/// Rate at which an upstream that takes less, or nothing, is still asked
/// whether its limit has changed, in requests per second.
const MIN_RATE: f64 = 0.2;

/// Longest time until another router can send a request to an upstream.
const MAX_ELSEWHERE_WAIT: Duration = Duration::from_secs(60);

/// A router's share of the rate limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateShare {
    /// Mean time between two requests of this router; `None` if other routers
    /// share the limit.
    pub interval: Option<Duration>,
    /// Number of requests that may be sent at once.
    pub burst: u32,
    /// Mean time between two requests of all routers.
    pub fleet_interval: Duration,
}

/// Returns the share of `router` of a limit that `upstream` names to all
/// `routers`.
///
/// # Example
///
/// ```
/// use magnoliahaven::routing::{RequestRate, rate_share};
///
/// let routers: Vec<String> = (0..9).map(|n| format!("vm-{n}")).collect();
/// let rate = RequestRate::from_per_second(1.0).unwrap();
/// let shares = routers.iter().map(|r| rate_share("w", rate, &routers, r));
/// assert_eq!(shares.filter(|s| s.interval.is_some()).count(), 4);
/// ```
pub fn rate_share(
    upstream: &str,
    limit: RequestRate,
    routers: &[String],
    router: &str,
) -> RateShare {
    let rate = limit.per_second().max(MIN_RATE);
    let fleet_interval = Duration::from_secs_f64(1.0 / rate);
    let total_burst = BASE_BURST + limit.per_second();
    let count = (routers.len().max(1) as f64).min(total_burst.floor());
    let own = rendezvous_weight(upstream, router);
    let is_ahead = |other: &&String| {
        *other != router && rendezvous_weight(upstream, other) > own
    };
    let rank = routers.iter().filter(is_ahead).count();
    let is_listed = routers.iter().any(|other| other == router);
    let shares = is_listed && (rank as f64) < count;
    RateShare {
        interval: shares.then(|| fleet_interval.mul_f64(count)),
        burst: (total_burst / count) as u32,
        fleet_interval,
    }
}

/// When an upstream may get the next request of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceOpening {
    /// Now.
    Now,
    /// After this time.
    In(Duration),
    /// Never; other routers may send one after this time.
    Elsewhere(Duration),
}

/// Keeps the requests of this router to one upstream within its share of the
/// limit.
///
/// This is the generic cell rate algorithm. Libraries for it tell whether a
/// request may be sent only by counting it, and the choice of an upstream
/// asks that of all candidates.
#[derive(Clone, Copy, Debug)]
pub struct RatePacer {
    share: RateShare,
    /// When all requests that were sent would have been, at an even rate.
    paid_until: Instant,
    last_sent_at: Instant,
}

impl RatePacer {
    /// Creates the pacer of an upstream whose limit has become known.
    ///
    /// Its burst is spent, as all routers learn of a limit at once.
    pub fn new(share: RateShare, now: Instant) -> RatePacer {
        let paid_until = now + share.burst_time();
        RatePacer { share, paid_until, last_sent_at: now }
    }

    /// Replaces the share, without a new burst.
    pub fn set_share(&mut self, share: RateShare, now: Instant) {
        if share == self.share {
            return;
        }
        let gained = share.interval.is_some() && self.share.interval.is_none();
        let latest = now + share.burst_time();
        self.paid_until =
            if gained { latest } else { self.paid_until.min(latest) };
        self.share = share;
    }

    /// Returns when the next request may be sent.
    pub fn opening(&self, now: Instant) -> PaceOpening {
        let Some(interval) = self.share.interval else {
            let wait = self.share.fleet_interval.min(MAX_ELSEWHERE_WAIT);
            return PaceOpening::Elsewhere(wait);
        };
        let saved = interval * self.share.burst.saturating_sub(1);
        let paid = self.paid_until.saturating_duration_since(now);
        match paid.saturating_sub(saved) {
            Duration::ZERO => PaceOpening::Now,
            wait => PaceOpening::In(wait),
        }
    }

    /// Records a request.
    pub fn record(&mut self, now: Instant) {
        let interval = self.share.interval.unwrap_or_default();
        self.paid_until = self.paid_until.max(now) + interval;
        self.last_sent_at = now;
    }

    /// Returns the requests per second of this router.
    pub fn rate(&self) -> f64 {
        let interval = self.share.interval;
        interval.map_or(0.0, |interval| 1.0 / interval.as_secs_f64())
    }

    /// Returns the time since the last request.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_sent_at)
    }
}

impl RateShare {
    /// Returns the time in which a burst is saved up.
    fn burst_time(&self) -> Duration {
        self.interval.unwrap_or_default() * self.burst
    }
}
