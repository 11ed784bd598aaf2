//! Load balancing and admission control for upstreams.
//!
//! * [`upstream_shares`] subsets the upstreams: each router uses a few of
//!   each version, chosen by rendezvous hashing, and owns a fixed share of
//!   the concurrency limit of each. The shares of all routers add up to the
//!   limit at most, without any coordination.
//! * [`UpstreamTable`] admits requests within these shares, ranks the
//!   upstreams and queues requests that find no free slot.
//! * [`PrefixTraffic`] decides how many upstreams serve a shared prompt
//!   prefix.
//! * [`placement_rank`] weighs load, cached prefixes, slowness and failure
//!   domains.
//! * [`UpstreamHealth`] ejects upstreams whose requests fail.
//! * [`UpstreamLimits`] keeps the rate limits that upstreams name,
//!   [`rate_share`] divides one among routers, and [`RatePacer`] keeps to a
//!   share.
//! * [`PartQuarantine`] finds prompt parts that crash upstreams.
//! * [`RetryBudget`] limits retries to a small fraction of the traffic.
//!
//! `docs/design/routing.md` has the calculations for a deployment of the
//! target size.

mod affinity;
mod health;
mod limits;
mod pace;
mod placement;
mod quarantine;
mod queue;
mod retry;
mod subset;
mod table;

pub use self::{
    affinity::PrefixTraffic,
    health::{HealthChange, UpstreamHealth, UpstreamOutcome},
    limits::{LimitNotice, LimitObservation, RequestRate, UpstreamLimits},
    pace::{PaceOpening, RatePacer, RateShare, rate_share},
    placement::{
        PlacementCandidate, PlacementHint, PlacementRank, placement_rank,
    },
    quarantine::{
        LossObserver, PartQuarantine, QuarantinedPart, UpstreamCrash,
    },
    queue::{AdmissionQueue, QueuedRequest},
    retry::RetryBudget,
    subset::{SubsetPlan, UpstreamShare, upstream_shares},
    table::{AdmitRequest, AssignedUpstream, UpstreamSlot, UpstreamTable},
};
