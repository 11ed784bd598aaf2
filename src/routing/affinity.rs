//! Where the shared parts of prompts are kept.
//!
//! Prompts begin with a part that many requests share, for instance the
//! instructions of an application, and go on with one that fewer share. An
//! engine that has read both answers sooner. A first part that carries
//! little traffic is best kept at one upstream; one that carries much needs
//! several. Every router measures the shares on its own traffic, and all of
//! them rank upstreams alike, so that their choices are nested.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time constant of the traffic shares.
const SHARE_WINDOW: Duration = Duration::from_secs(8);

/// Upstreams that a first part may use, as a multiple of its share of them.
const SPREAD_FACTOR: f64 = 2.0;

/// Most first parts that are counted; the least used one makes room.
const LARGEST_COUNT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct DecayedSum {
    value: f64,
    updated: Instant,
}

impl DecayedSum {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        let ages = age.as_secs_f64() / SHARE_WINDOW.as_secs_f64();
        self.value * (-ages).exp()
    }

    fn add(&mut self, value: f64, now: Instant) {
        self.value = self.at(now) + value;
        self.updated = now;
    }
}

/// Measures the share of the traffic that each first part carries.
///
/// # Example
///
/// ```
/// use std::time::Instant;
///
/// use magnoliahaven::routing::PrefixTraffic;
///
/// let now = Instant::now();
/// let mut book = PrefixTraffic::new();
/// book.record("common", 900, now);
/// book.record("rare", 100, now);
/// assert_eq!(book.spread("common", 12, now), 12);
/// assert_eq!(book.spread("rare", 12, now), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixTraffic {
    parts: BTreeMap<String, DecayedSum>,
    total: Option<DecayedSum>,
}

impl PrefixTraffic {
    /// Creates a book that has seen no request.
    pub fn new() -> PrefixTraffic {
        PrefixTraffic::default()
    }

    /// Notes a request that begins with `part` and costs `tokens`.
    pub fn record(&mut self, part: &str, tokens: u64, now: Instant) {
        let fresh = DecayedSum { value: 0.0, updated: now };
        let tokens = tokens as f64;
        self.total.get_or_insert(fresh).add(tokens, now);
        if let Some(sum) = self.parts.get_mut(part) {
            sum.add(tokens, now);
            return;
        }
        if self.parts.len() >= LARGEST_COUNT {
            self.forget_least(now);
        }
        let sum = DecayedSum { value: tokens, updated: now };
        self.parts.insert(part.to_owned(), sum);
    }

    fn forget_least(&mut self, now: Instant) {
        let mut least: Option<(f64, &String)> = None;
        for (part, sum) in &self.parts {
            let value = sum.at(now);
            if least.is_none_or(|(known, _)| value < known) {
                least = Some((value, part));
            }
        }
        let least = least.map(|(_, part)| part.clone());
        if let Some(part) = least {
            self.parts.remove(&part);
        }
    }

    /// How many of `upstreams` a first part may use.
    pub fn spread(&self, part: &str, upstreams: usize, now: Instant) -> usize {
        let total = self.total.map_or(0.0, |sum| sum.at(now));
        let own = self.parts.get(part).map_or(0.0, |sum| sum.at(now));
        if total <= 0.0 {
            return upstreams;
        }
        let wanted = own / total * upstreams as f64 * SPREAD_FACTOR;
        (wanted.ceil() as usize).clamp(1, upstreams.max(1))
    }
}
