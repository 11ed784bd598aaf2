//! Deterministic subsetting: the slots of each upstream that a router owns.

use crate::membership::rendezvous_weight;

/// Maximum number of slots that a router owns at one upstream.
const MAX_SHARE: u32 = 4;

/// Shares into which the limit of an upstream is divided, unless that would
/// make a share larger than [`MAX_SHARE`].
const SHARES_PER_LIMIT: u32 = 8;

/// Shares of an upstream that no router owns: one for a router that is
/// missing from the list of another one, one for routers without a share.
const RESERVED_SHARES: u32 = 2;

/// The routers, upstreams and limit from which shares are computed.
#[derive(Clone, Copy, Debug)]
pub struct SubsetPlan<'a> {
    /// Names of the entry VMs.
    pub routers: &'a [String],
    /// Names of the upstreams of one version.
    pub upstreams: &'a [String],
    /// Maximum number of requests in progress at one upstream, over all
    /// routers.
    pub limit: u32,
}

/// The slots that a router owns at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamShare {
    /// The name of the upstream.
    pub upstream: String,
    /// Maximum number of requests of this router in progress there.
    pub slots: u32,
}

impl SubsetPlan<'_> {
    /// Returns the slots that each sharer owns at an upstream.
    fn share(&self) -> u32 {
        (self.limit / SHARES_PER_LIMIT).clamp(1, MAX_SHARE)
    }

    /// Returns how many routers share an upstream if there are enough.
    fn sharer_count(&self) -> u32 {
        (self.limit / self.share()).saturating_sub(RESERVED_SHARES).max(1)
    }

    /// Returns how many other routers rank before a router at an upstream.
    ///
    /// The rank depends on the names alone. If a router is missing from the
    /// list, each later one moves up by one place and the others keep
    /// theirs.
    fn rank(&self, upstream: &str, router: &str) -> u32 {
        let own = rendezvous_weight(upstream, router);
        let mut rank = 0;
        for other in self.routers {
            let ahead =
                other != router && rendezvous_weight(upstream, other) > own;
            rank += u32::from(ahead);
        }
        rank
    }
}

/// Returns the slots that a router owns, by upstream.
///
/// The shares of all routers at one upstream add up to its limit at most,
/// even if the lists of some routers lack one of the others. A router that
/// ranks too low to share any upstream gets single slots at those where it
/// ranks directly behind the sharers.
///
/// # Example
///
/// ```
/// use magnoliahaven::routing::{SubsetPlan, upstream_shares};
///
/// let routers: Vec<String> = (0..3).map(|n| format!("vm-{n}")).collect();
/// let upstreams = vec!["worker-1".to_owned()];
/// let plan = SubsetPlan {
///     routers: &routers,
///     upstreams: &upstreams,
///     limit: 16,
/// };
/// let shares = upstream_shares(&plan, "vm-1");
/// assert_eq!(shares[0].slots, 4);
/// ```
pub fn upstream_shares(
    plan: &SubsetPlan<'_>,
    router: &str,
) -> Vec<UpstreamShare> {
    let routers = plan.routers.len() as u32;
    let (mut sharer_count, mut slots) = (plan.sharer_count(), plan.share());
    if routers <= sharer_count {
        // With a list that lacks one router, the shares are larger and one
        // fewer. Dividing by one more keeps the sum within the limit.
        sharer_count = routers.max(1);
        slots = (plan.limit / (sharer_count + 1)).max(1);
    }
    let mut first = Vec::new();
    let mut next = Vec::new();
    for upstream in plan.upstreams {
        let rank = plan.rank(upstream, router);
        let upstream = upstream.clone();
        if rank < sharer_count {
            first.push(UpstreamShare { upstream, slots });
        } else if rank + 1 < sharer_count + plan.share() {
            next.push(UpstreamShare { upstream, slots: 1 });
        }
    }
    if first.is_empty() { next } else { first }
}
