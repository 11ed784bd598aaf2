//! How requests rank among those of their account, and the demand by rank.
//!
//! Tokens that are lost with VMs leave an account short of what its callers
//! are owed. If whoever comes first got the rest, a few large requests would
//! use it up, and nobody would be served soon after. Some of it is therefore
//! kept for the more urgent requests and, among equally urgent ones, for the
//! smaller ones, of which it serves more.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::budget::DemandEstimator;

/// Tokens that a request needs, and how urgent it is.
///
/// # Example
///
/// ```
/// use magnoliahaven::allowance::TokenNeed;
///
/// let need = TokenNeed::new(1_200).with_priority(2);
/// assert_eq!(need.tokens(), 1_200);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenNeed {
    tokens: u64,
    priority: u8,
}

impl TokenNeed {
    /// Creates the need of a request of the most urgent priority that uses at
    /// most `tokens`.
    pub fn new(tokens: u64) -> TokenNeed {
        TokenNeed { tokens, priority: 0 }
    }

    /// Sets the priority among the requests of the account; 0 is the most
    /// urgent.
    pub fn with_priority(mut self, priority: u8) -> TokenNeed {
        self.priority = priority;
        self
    }

    /// Returns the most tokens that the request may use.
    pub fn tokens(self) -> u64 {
        self.tokens
    }

    /// Returns the priority; 0 is the most urgent.
    pub fn priority(self) -> u8 {
        self.priority
    }

    fn rank(self) -> NeedRank {
        let size_class = self.tokens.max(1).ilog2();
        NeedRank { priority: self.priority, size_class }
    }
}

/// The rank of a request; lower ones are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NeedRank {
    priority: u8,
    /// The binary logarithm of the size, so that requests of about the same
    /// size rank alike.
    size_class: u32,
}

/// The demand for the tokens of one account at one router.
#[derive(Debug)]
pub(super) struct RankedDemand {
    horizon: Duration,
    total: DemandEstimator,
    by_rank: BTreeMap<NeedRank, DemandEstimator>,
}

impl RankedDemand {
    /// Creates an estimator of the demand within `horizon`.
    pub(super) fn new(horizon: Duration, now: Instant) -> RankedDemand {
        RankedDemand {
            horizon,
            total: DemandEstimator::new(horizon, now),
            by_rank: BTreeMap::new(),
        }
    }

    /// Returns the time that the targets cover.
    pub(super) fn horizon(&self) -> Duration {
        self.horizon
    }

    /// Records that a request came.
    pub(super) fn record(&mut self, need: TokenNeed, now: Instant) {
        self.total.record(need.tokens, now);
        let horizon = self.horizon;
        let demand = self.by_rank.entry(need.rank());
        let demand =
            demand.or_insert_with(|| DemandEstimator::new(horizon, now));
        demand.record(need.tokens, now);
    }

    /// Returns the tokens that all requests need within the horizon.
    pub(super) fn target(&mut self, now: Instant) -> u64 {
        self.total.target(now)
    }

    /// Returns the tokens that requests ranking before `need` need within the
    /// horizon.
    pub(super) fn target_before(
        &mut self,
        need: TokenNeed,
        now: Instant,
    ) -> u64 {
        let mut tokens: u64 = 0;
        for (_, demand) in self.by_rank.range_mut(..need.rank()) {
            tokens = tokens.saturating_add(demand.target(now));
        }
        tokens
    }
}
