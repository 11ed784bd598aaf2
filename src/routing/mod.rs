//! Which upstream takes a request, and when.
//!
//! * [`upstream_shares`]: each router uses a few workers of each version,
//!   chosen by rendezvous hashing, and owns a fixed part of the concurrency
//!   limit of each of them. The parts of all routers add up to the limit at
//!   most, whatever each router does on its own.
//! * [`UpstreamTable`] counts what is in progress against that part, ranks
//!   the workers and queues requests that find none free.
//! * [`PrefixTraffic`] tells over how many workers a shared prompt spreads.
//! * [`placement_rank`] weighs load, shared prompts and distance.
//! * [`UpstreamHealth`] ejects upstreams whose requests fail.
//! * [`RetryBudget`] keeps retries a small share of the traffic.
//!
//! `docs/design/routing.md` gives the arithmetic at the target size.

mod affinity;
mod health;
mod placement;
mod queue;
mod retry;
mod subset;
mod table;

pub use self::{
    affinity::PrefixTraffic,
    health::{HealthChange, UpstreamHealth, UpstreamOutcome},
    placement::{
        PlacementCandidate, PlacementHint, PlacementRank, placement_rank,
    },
    queue::{AdmissionQueue, QueuedRequest},
    retry::RetryBudget,
    subset::{SubsetPlan, UpstreamShare, upstream_shares},
    table::{AdmitRequest, AssignedUpstream, UpstreamSlot, UpstreamTable},
};
