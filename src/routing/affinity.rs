//! Prefix affinity: how many upstreams serve one shared prompt prefix.
//!
//! The first part of a prompt is shared by many requests, for instance the
//! instructions of an application; the parts after it are shared by fewer. An
//! upstream that has a prefix in its cache answers sooner. A first part with
//! little traffic is best kept at one upstream; one with much traffic needs
//! several. Every router measures on its own traffic which share of it begins
//! with a given part. All routers rank upstreams alike, so that the upstreams
//! that one router uses for a part are a subset of those of another, or the
//! other way round.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time constant of the exponential decay of the traffic sums.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(8);

/// Ratio of the share of upstreams that a prefix may use to its share of the
/// traffic.
const SPREAD_FACTOR: f64 = 2.0;

/// Maximum number of prefixes that are counted; the one with the least
/// traffic is evicted for a new one.
const MAX_PREFIXES: usize = 4_096;

/// A sum with exponential decay.
#[derive(Clone, Copy, Debug)]
struct DecayedSum {
    value: f64,
    updated: Instant,
}

impl DecayedSum {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        let time_constants =
            age.as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64();
        self.value * (-time_constants).exp()
    }

    fn add(&mut self, value: f64, now: Instant) {
        self.value = self.at(now) + value;
        self.updated = now;
    }
}

/// Measures which share of the traffic begins with each prefix.
///
/// # Example
///
/// ```
/// use std::time::Instant;
///
/// use magnoliahaven::routing::PrefixTraffic;
///
/// let now = Instant::now();
/// let mut traffic = PrefixTraffic::new();
/// traffic.record("common", 900, now);
/// traffic.record("rare", 100, now);
/// assert_eq!(traffic.spread("common", 12, now), 12);
/// assert_eq!(traffic.spread("rare", 12, now), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixTraffic {
    prefixes: BTreeMap<String, DecayedSum>,
    total: Option<DecayedSum>,
}

impl PrefixTraffic {
    /// Creates counters without any traffic.
    pub fn new() -> PrefixTraffic {
        PrefixTraffic::default()
    }

    /// Records a request of `tokens` tokens that begins with `prefix`.
    pub fn record(&mut self, prefix: &str, tokens: u64, now: Instant) {
        let fresh = DecayedSum { value: 0.0, updated: now };
        let tokens = tokens as f64;
        self.total.get_or_insert(fresh).add(tokens, now);
        if let Some(sum) = self.prefixes.get_mut(prefix) {
            sum.add(tokens, now);
            return;
        }
        if self.prefixes.len() >= MAX_PREFIXES {
            self.evict_least_used(now);
        }
        let sum = DecayedSum { value: tokens, updated: now };
        self.prefixes.insert(prefix.to_owned(), sum);
    }

    fn evict_least_used(&mut self, now: Instant) {
        let mut least: Option<(f64, &String)> = None;
        for (prefix, sum) in &self.prefixes {
            let value = sum.at(now);
            if least.is_none_or(|(known, _)| value < known) {
                least = Some((value, prefix));
            }
        }
        let least = least.map(|(_, prefix)| prefix.clone());
        if let Some(prefix) = least {
            self.prefixes.remove(&prefix);
        }
    }

    /// Returns how many of `upstreams` upstreams a prefix may use: all of
    /// them if there is no traffic to measure.
    pub fn spread(
        &self,
        prefix: &str,
        upstreams: usize,
        now: Instant,
    ) -> usize {
        let total = self.total.map_or(0.0, |sum| sum.at(now));
        let own = self.prefixes.get(prefix).map_or(0.0, |sum| sum.at(now));
        if total <= 0.0 {
            return upstreams;
        }
        let wanted = own / total * upstreams as f64 * SPREAD_FACTOR;
        (wanted.ceil() as usize).clamp(1, upstreams.max(1))
    }
}
