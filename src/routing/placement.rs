//! The cost of giving a request to an upstream.
//!
//! Costs are counted in prompt tokens. An engine keeps the parts of prompts
//! that it has read; another one has to read them again, which costs their
//! tokens. Work that waits or runs at an upstream costs little as long as
//! there is room for it, and soon more than any prompt when there is not.

use std::{cmp::Reverse, time::Duration};

/// Cost of having the whole share of an upstream in use.
const FULL_SHARE_COST: f64 = 8_000.0;

/// Tokens that an engine reads in a millisecond, for a first estimate.
const TOKENS_PER_MS: f64 = 50.0;

/// Part of the objective for which prompts may wait to be read.
const PENDING_PART: f64 = 0.25;

/// Cost of an upstream in another failure domain.
const DISTANCE_COST: f64 = 20.0;

/// Slowness relative to the other upstreams from which on it counts.
const SLOW_FROM: f64 = 1.5;

/// Cost of being twice as slow as the others.
const SLOW_COST: f64 = 3_000.0;

/// What placement needs to know of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementHint {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that other requests share.
    pub shared_tokens: u64,
    /// The part that the prompt begins with; empty if nothing is shared.
    pub first_prefix: String,
    /// Time to the first event that the caller hopes for.
    pub objective: Duration,
    /// The failure domain that the request comes from; empty if the
    /// distance does not matter.
    pub domain: String,
}

/// What placement needs to know of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementCandidate {
    /// Requests of this router in progress there.
    pub in_progress: u32,
    /// Requests that this router may have in progress there.
    pub share: u32,
    /// Prompt tokens that this router sent there and that are not read yet.
    pub pending_tokens: u64,
    /// Requests in progress there as the upstream last reported.
    pub load: u32,
    /// Whether the shared parts of the prompt belong there.
    pub is_home: bool,
    /// Whether it is in another failure domain.
    pub is_other_domain: bool,
    /// Time to answer relative to the other upstreams; 1 if unknown.
    pub slowness: f64,
    /// Rendezvous weight for the request.
    pub weight: u64,
}

/// The order in which upstreams are chosen; the least is chosen first.
pub type PlacementRank = (u64, u32, Reverse<u64>);

/// The rank of an upstream for a request.
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
    let usage = f64::from(candidate.in_progress) / share;
    let mut cost = FULL_SHARE_COST * usage.powi(3);
    let objective_ms = hint.objective.as_secs_f64() * 1_000.0;
    let bearable = objective_ms * PENDING_PART * TOKENS_PER_MS;
    cost += (candidate.pending_tokens as f64 - bearable).max(0.0);
    if !candidate.is_home {
        cost += hint.shared_tokens as f64;
    }
    if candidate.is_other_domain {
        cost += DISTANCE_COST;
    }
    if candidate.slowness > SLOW_FROM {
        cost += (candidate.slowness - 1.0) * SLOW_COST;
    }
    (cost as u64, candidate.load, Reverse(candidate.weight))
}
