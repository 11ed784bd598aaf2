//! The cost of placing a request on an upstream.
//!
//! The unit of cost is one prompt token. An inference engine caches the
//! prompt prefixes that it has processed; another engine has to process them
//! again, which costs their tokens. The load of an upstream costs little while
//! it has room, and soon more than any prompt when it has none.

use std::{cmp::Reverse, time::Duration};

/// Cost of an upstream where the whole share of this router is in use.
const FULL_SHARE_COST: f64 = 8_000.0;

/// Estimated prefill speed of an inference engine, in prompt tokens per
/// millisecond.
const TOKENS_PER_MS: f64 = 50.0;

/// Fraction of the latency objective that pending prompts may take without
/// a cost.
const PENDING_FRACTION: f64 = 0.25;

/// Cost of an upstream in another failure domain.
const CROSS_DOMAIN_COST: f64 = 20.0;

/// Slowness relative to the median above which it adds a cost.
const SLOWNESS_THRESHOLD: f64 = 1.5;

/// Cost of being twice as slow as the median.
const SLOWNESS_COST: f64 = 3_000.0;

/// The properties of a request that its placement depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementHint {
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The length of the prefix that other requests share, in tokens.
    pub shared_tokens: u64,
    /// The identifier of the first shared part of the prompt; empty if
    /// nothing is shared.
    pub first_prefix: String,
    /// The objective for the time to the first event of the answer.
    pub objective: Duration,
    /// The failure domain that the request comes from; empty if crossing
    /// failure domains costs nothing.
    pub domain: String,
}

/// The properties of an upstream that placement depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementCandidate {
    /// Requests of this router in progress there.
    pub in_progress: u32,
    /// Maximum number of requests of this router in progress there.
    pub share: u32,
    /// Prompt tokens that this router sent there and whose prefill is not
    /// known to be done.
    pub pending_tokens: u64,
    /// Requests of all routers in progress there, as last reported by the
    /// upstream.
    pub load: u32,
    /// Whether it is the home of the shared prefix of the prompt.
    pub is_home: bool,
    /// Whether it is in another failure domain.
    pub is_other_domain: bool,
    /// Latency relative to the other upstreams; 1 if unknown.
    pub slowness: f64,
    /// The rendezvous weight for the affinity key of the request.
    pub weight: u64,
}

/// The sort key of upstreams: cost, reported load, rendezvous weight. The
/// least one is chosen.
pub type PlacementRank = (u64, u32, Reverse<u64>);

/// Returns the rank of an upstream for a request.
///
/// # Example
///
/// ```
/// use magnoliahaven::routing::{
///     PlacementCandidate, PlacementHint, placement_rank,
/// };
///
/// let hint = PlacementHint {
///     shared_tokens: 5_000,
///     ..PlacementHint::default()
/// };
/// let home = PlacementCandidate {
///     in_progress: 1,
///     share: 10,
///     is_home: true,
///     ..PlacementCandidate::default()
/// };
/// let other = PlacementCandidate { in_progress: 0, is_home: false, ..home };
/// assert!(placement_rank(&home, &hint) < placement_rank(&other, &hint));
/// ```
pub fn placement_rank(
    candidate: &PlacementCandidate,
    hint: &PlacementHint,
) -> PlacementRank {
    let share = f64::from(candidate.share.max(1));
    let utilization = f64::from(candidate.in_progress) / share;
    let mut cost = FULL_SHARE_COST * utilization.powi(3);
    let objective_ms = hint.objective.as_secs_f64() * 1_000.0;
    let allowed_pending = objective_ms * PENDING_FRACTION * TOKENS_PER_MS;
    cost += (candidate.pending_tokens as f64 - allowed_pending).max(0.0);
    if !candidate.is_home {
        cost += hint.shared_tokens as f64;
    }
    if candidate.is_other_domain {
        cost += CROSS_DOMAIN_COST;
    }
    if candidate.slowness > SLOWNESS_THRESHOLD {
        cost += (candidate.slowness - 1.0) * SLOWNESS_COST;
    }
    (cost as u64, candidate.load, Reverse(candidate.weight))
}
