//! The cost of giving a request to an upstream.
//!
//! The cost weighs what is in progress at the upstream against what the
//! request would have to repeat there: an engine keeps the parts of prompts
//! that it has read, and another one has to read them again. All routers
//! rank upstreams alike for the same shared part, so that they agree on
//! where it is kept without any message.

use std::cmp::Reverse;

/// Cost of having the whole share of an upstream in use.
const FULL_SHARE_COST: u64 = 1_000;

/// Prompt tokens that cost as much as one unit.
const TOKENS_PER_UNIT: u64 = 10;

/// Cost of an upstream in another failure domain.
const DISTANCE_COST: u64 = 120;

/// Slowness relative to the other upstreams from which on it counts.
const SLOW_FROM: f64 = 1.5;

/// Cost of being twice as slow as the others.
const SLOW_COST: f64 = 400.0;

/// What placement needs to know of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementHint {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that other requests share.
    pub shared_tokens: u64,
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
    pub is_distant: bool,
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
    let in_progress = u64::from(candidate.in_progress);
    let share = u64::from(candidate.share.max(1));
    let mut cost = in_progress * FULL_SHARE_COST / share;
    cost += candidate.pending_tokens / TOKENS_PER_UNIT;
    if !candidate.is_home {
        cost += hint.shared_tokens / TOKENS_PER_UNIT;
    }
    if candidate.is_distant {
        cost += DISTANCE_COST;
    }
    if candidate.slowness > SLOW_FROM {
        cost += ((candidate.slowness - 1.0) * SLOW_COST) as u64;
    }
    (cost, candidate.load, Reverse(candidate.weight))
}
