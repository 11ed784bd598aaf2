//! One upstream of the table.

use std::time::{Duration, Instant};

use super::{AssignedUpstream, state::ServiceSummary};
use crate::{
    membership::rendezvous_weight,
    routing::{
        PaceOpening, PlacementCandidate, PlacementRank, QueuedRequest,
        RatePacer, UpstreamHealth, placement_rank,
    },
};

/// Time over which an upstream that joins the others gradually becomes the
/// home of its prefixes.
const WARM_UP_WINDOW: Duration = Duration::from_secs(8);

/// Time without requests after which an upstream with a rate limit is
/// preferred, so that a change of its limit becomes known.
const LIMIT_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Age from which on a load report is ignored.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// An upstream with what this router knows of it.
#[derive(Debug)]
pub(super) struct UpstreamEntry {
    pub(super) upstream: AssignedUpstream,
    pub(super) in_progress: u32,
    pub(super) drafts: u32,
    pub(super) cooldown_until: Option<Instant>,
    pub(super) load: Option<(u32, Instant)>,
    pub(super) pending_tokens: u64,
    /// Keeps requests within the rate limit that the upstream names.
    pub(super) pacer: Option<RatePacer>,
    pub(super) health: UpstreamHealth,
    /// When the upstream joined the others; `None` if it was part of the
    /// first list.
    pub(super) joined_at: Option<Instant>,
    pub(super) removed: bool,
}

impl UpstreamEntry {
    pub(super) fn serves(
        &self,
        service: &str,
        queued: &QueuedRequest,
    ) -> bool {
        !self.removed
            && self.upstream.service == service
            && queued
                .version
                .as_ref()
                .is_none_or(|v| *v == self.upstream.version)
            && queued.avoided_version.as_ref() != Some(&self.upstream.version)
            && !queued.excluded.contains(&self.upstream.vm)
    }

    /// Returns whether the upstream is removed and nothing is left to know of
    /// it. The pause that it has asked for holds if it comes back.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        let is_paused = self.cooldown_until.is_some_and(|until| until > now);
        self.removed && self.in_progress == 0 && !is_paused
    }

    pub(super) fn is_free(&self, queued: &QueuedRequest) -> bool {
        if self.in_progress >= self.upstream.share {
            return false;
        }
        if self.opening(Instant::now()) != PaceOpening::Now {
            return false;
        }
        let drafts = (self.upstream.share * queued.draft_percent / 100).max(1);
        if queued.is_draft && self.drafts >= drafts {
            return false;
        }
        self.fresh_load().is_none_or(|load| load < self.upstream.limit)
    }

    /// Returns when the upstream may get a request by time alone, apart from
    /// its slots.
    pub(super) fn opening(&self, now: Instant) -> PaceOpening {
        let paced = self.pacer.map_or(PaceOpening::Now, |p| p.opening(now));
        let cooldown = self.cooldown_until.filter(|until| *until > now);
        let Some(cooldown) = cooldown.map(|until| until - now) else {
            return paced;
        };
        match paced {
            PaceOpening::Now => PaceOpening::In(cooldown),
            PaceOpening::In(wait) => PaceOpening::In(wait.max(cooldown)),
            PaceOpening::Elsewhere(_) => paced,
        }
    }

    /// Returns whether the upstream has a rate limit and has got no request
    /// for some time.
    pub(super) fn needs_limit_probe(&self, now: Instant) -> bool {
        let idle = self.pacer.map(|pacer| pacer.idle_time(now));
        idle.is_some_and(|idle| idle >= LIMIT_PROBE_INTERVAL)
    }

    pub(super) fn fresh_load(&self) -> Option<u32> {
        let (load, at) = self.load?;
        (at.elapsed() < LOAD_REPORT_LIFETIME).then_some(load)
    }

    /// Returns whether the upstream may be the home of an affinity key.
    ///
    /// An upstream that has just joined has an empty prefix cache. Its keys
    /// move to it gradually, so that it need not process all prefixes at
    /// once.
    pub(super) fn is_warm(&self, affinity: &str, now: Instant) -> bool {
        let Some(joined_at) = self.joined_at else {
            return true;
        };
        let age = now.saturating_duration_since(joined_at);
        let warm_fraction = age.as_secs_f64() / WARM_UP_WINDOW.as_secs_f64();
        let weight = self.weight(affinity) as u32;
        f64::from(weight) < warm_fraction * f64::from(u32::MAX)
    }

    pub(super) fn weight(&self, affinity: &str) -> u64 {
        rendezvous_weight(affinity, &self.upstream.vm)
    }

    /// Returns the rank of the upstream for a request.
    ///
    /// The requests of this router decide. The load that the upstream
    /// reported may be outdated and only breaks ties.
    pub(super) fn rank(
        &self,
        queued: &QueuedRequest,
        summary: &ServiceSummary,
    ) -> PlacementRank {
        let domain = &queued.hint.domain;
        let slowness = self.health.slowness().unwrap_or(summary.slowness);
        let candidate = PlacementCandidate {
            in_progress: self.in_progress,
            share: self.upstream.share,
            pending_tokens: self.pending_tokens,
            load: self.fresh_load().unwrap_or(0),
            is_home: summary.home.as_ref() == Some(&self.upstream.vm),
            is_other_domain: !domain.is_empty()
                && *domain != self.upstream.domain,
            slowness: slowness / summary.slowness.max(f64::MIN_POSITIVE),
            weight: self.weight(&queued.affinity),
        };
        placement_rank(&candidate, &queued.hint)
    }
}
