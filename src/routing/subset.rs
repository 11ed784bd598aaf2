//! The part of each upstream that belongs to this router.

use crate::membership::rendezvous_weight;

/// Most slots that a router owns at one upstream.
const LARGEST_SHARE: u32 = 4;

/// Parts into which the limit of a small upstream is cut.
const SMALL_PARTS: u32 = 8;

/// Parts of an upstream's limit that are not shared out: one for a router
/// that is missing from somebody's list, one for routers without a share.
const SPARE_PARTS: u32 = 2;

/// The routers, upstreams and limit from which shares are computed.
#[derive(Clone, Copy, Debug)]
pub struct SubsetPlan<'a> {
    /// Names of the entry VMs.
    pub routers: &'a [String],
    /// Names of the workers of one version.
    pub upstreams: &'a [String],
    /// Most requests in progress at one worker, over all routers.
    pub limit: u32,
}

/// The slots that a router owns at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamShare {
    /// The name of the worker.
    pub upstream: String,
    /// Most requests of this router in progress there.
    pub slots: u32,
}

impl SubsetPlan<'_> {
    /// Slots of one sharer.
    fn share(&self) -> u32 {
        (self.limit / SMALL_PARTS).clamp(1, LARGEST_SHARE)
    }

    /// How many routers share an upstream that has enough routers.
    fn sharers(&self) -> u32 {
        (self.limit / self.share()).saturating_sub(SPARE_PARTS).max(1)
    }

    /// How many other routers come before a router at an upstream.
    ///
    /// The rank follows from the names alone. A router that is missing from
    /// a list moves each later one up by a single place, and leaves all
    /// others where they are.
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

/// The slots that belong to a router, by upstream.
///
/// The shares of all routers at one upstream add up to its limit at most,
/// also if the lists of some routers lack one of the others. A router that
/// is among the first of no upstream gets single slots at those where it is
/// among the next.
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
    let (mut sharers, mut slots) = (plan.sharers(), plan.share());
    if routers <= sharers {
        // A list that lacks a router gives larger shares to one fewer.
        sharers = routers.max(1);
        slots = (plan.limit / (sharers + 1)).max(1);
    }
    let mut first = Vec::new();
    let mut next = Vec::new();
    for upstream in plan.upstreams {
        let rank = plan.rank(upstream, router);
        let upstream = upstream.clone();
        if rank < sharers {
            first.push(UpstreamShare { upstream, slots });
        } else if rank + 1 < sharers + plan.share() {
            next.push(UpstreamShare { upstream, slots: 1 });
        }
    }
    if first.is_empty() { next } else { first }
}
