//! The part of each upstream that belongs to this router.

use crate::membership::rendezvous_weight;

/// Slots that a router wants at an upstream that it uses.
const WANTED_SHARE: usize = 4;

/// Fewest upstreams of a version that a router uses.
const SMALLEST_SUBSET: usize = 2;

/// Part of an upstream's limit that is shared out, in percent. The rest
/// covers routers that are missing from somebody's list.
const SHARED_PERCENT: u32 = 90;

/// The routers, upstreams and limit from which shares are computed.
#[derive(Clone, Copy, Debug)]
pub struct SubsetPlan<'a> {
    /// Names of the entry VMs, sorted.
    pub routers: &'a [String],
    /// Names of the workers of one version, sorted.
    pub upstreams: &'a [String],
    /// Most requests in progress at one worker, over all routers.
    pub limit: u32,
}

impl SubsetPlan<'_> {
    /// How many upstreams each router uses.
    fn subset_size(&self) -> usize {
        let slots = self.upstreams.len() * self.limit as usize;
        let wanted = self.routers.len().max(1) * WANTED_SHARE;
        let size = slots.div_ceil(wanted).max(SMALLEST_SUBSET);
        size.min(self.upstreams.len())
    }

    /// How many routers share each upstream.
    fn sharers(&self) -> usize {
        let uses = self.routers.len() * self.subset_size();
        uses.div_ceil(self.upstreams.len().max(1))
    }

    /// The position of a router among all of them.
    ///
    /// A router that is missing from its own list takes the position that
    /// its name would have.
    fn position(&self, router: &str) -> usize {
        let found =
            self.routers.binary_search_by(|name| name.as_str().cmp(router));
        found.unwrap_or_else(|position| position)
    }
}

/// The upstreams that a router uses, in a stable order.
///
/// The upstreams are laid out in a ring by hash, and each router takes the
/// arc that follows the one of the router before it. Every upstream is then
/// shared by the same number of routers, give or take one.
pub fn upstream_subset(plan: &SubsetPlan<'_>, router: &str) -> Vec<String> {
    let mut ring: Vec<&String> = plan.upstreams.iter().collect();
    ring.sort_by_key(|name| rendezvous_weight("ring", name));
    let size = plan.subset_size();
    let start = plan.position(router) * size;
    let mut subset = Vec::with_capacity(size);
    for step in 0..size {
        subset.push(ring[(start + step) % ring.len()].clone());
    }
    subset
}

/// The slots that a router owns at an upstream of its subset.
///
/// # Example
///
/// ```
/// use magnoliahaven::routing::{SubsetPlan, upstream_share};
///
/// let routers: Vec<String> = (0..8).map(|n| format!("vm-{n}")).collect();
/// let upstreams: Vec<String> = (0..12).map(|n| format!("w-{n}")).collect();
/// let plan = SubsetPlan {
///     routers: &routers,
///     upstreams: &upstreams,
///     limit: 16,
/// };
/// assert_eq!(upstream_share(&plan), 3);
/// ```
pub fn upstream_share(plan: &SubsetPlan<'_>) -> u32 {
    let sharers = plan.sharers().max(1) as u32;
    if sharers == 1 {
        return plan.limit;
    }
    // With more routers than slots each one keeps a single slot, which the
    // capacity page names as the size at which this scheme ends.
    (plan.limit * SHARED_PERCENT / 100 / sharers).max(1)
}
