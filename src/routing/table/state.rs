//! The state of the table: which upstream a request gets, and when.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use super::{
    AdmitRequest, AssignedUpstream, UpstreamSlot, entry::UpstreamEntry,
};
use crate::{
    error::{CallError, ErrorKind},
    membership::rendezvous_weight,
    routing::{
        AdmissionQueue, PaceOpening, PlacementHint, PrefixTraffic,
        QueuedRequest, RatePacer, RateShare, UpstreamHealth,
    },
};

/// Smoothing factor of the moving average of the durations of requests.
const DURATION_SMOOTHING: f64 = 0.1;

/// Lower bound of the `Retry-After` of a full queue, in seconds.
const MIN_RETRY_AFTER_S: f64 = 0.1;

/// Upper bound of the `Retry-After` of a full queue, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// Figures over all upstreams that may serve one request.
pub(super) struct ServiceSummary {
    /// The home of the shared prefix of the prompt.
    pub(super) home: Option<String>,
    /// Whether enough upstreams are healthy to exclude the others.
    pub(super) avoids_ejected: bool,
    /// The median slowness of the upstreams.
    pub(super) slowness: f64,
}

#[derive(Default)]
pub(super) struct TableState {
    pub(super) upstreams: BTreeMap<String, UpstreamEntry>,
    pub(super) queues: BTreeMap<String, AdmissionQueue>,
    pub(super) slot_senders:
        BTreeMap<(String, u64), oneshot::Sender<UpstreamSlot>>,
    accounts: BTreeMap<String, usize>,
    durations: BTreeMap<String, f64>,
    prefix_traffic: PrefixTraffic,
}

/// The next request of a queue, with the upstream that it gets.
pub(super) type ServedRequest =
    (oneshot::Sender<UpstreamSlot>, AssignedUpstream, QueuedRequest);

impl TableState {
    pub(super) fn update(&mut self, assigned: &[AssignedUpstream]) {
        let is_first = self.upstreams.is_empty();
        for entry in self.upstreams.values_mut() {
            entry.removed = true;
        }
        for upstream in assigned {
            let entry = self.upstreams.entry(upstream.vm.clone());
            let entry = entry.or_insert_with(|| UpstreamEntry {
                upstream: upstream.clone(),
                in_progress: 0,
                drafts: 0,
                cooldown_until: None,
                load: None,
                pending_tokens: 0,
                pacer: None,
                health: UpstreamHealth::new(),
                joined_at: (!is_first).then(Instant::now),
                removed: false,
            });
            entry.removed = false;
            entry.upstream = upstream.clone();
        }
        let now = Instant::now();
        self.upstreams.retain(|_, entry| !entry.is_over(now));
    }

    pub(super) fn record_prefix(&mut self, queued: &QueuedRequest) {
        let PlacementHint { first_prefix, prompt_tokens, .. } = &queued.hint;
        if !first_prefix.is_empty() {
            let now = Instant::now();
            self.prefix_traffic.record(first_prefix, *prompt_tokens, now);
        }
    }

    pub(super) fn in_progress_of(&self, account: &str) -> usize {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    pub(super) fn has_version(
        &self,
        service: &str,
        queued: &QueuedRequest,
    ) -> bool {
        let mut entries = self.upstreams.values();
        entries.any(|entry| entry.serves(service, queued))
    }

    /// Sets the rate shares of the upstreams that name a limit.
    pub(super) fn set_rate_shares(
        &mut self,
        shares: &BTreeMap<String, RateShare>,
    ) {
        let now = Instant::now();
        for (vm, entry) in &mut self.upstreams {
            let Some(share) = shares.get(vm) else {
                entry.pacer = None;
                continue;
            };
            let pacer =
                entry.pacer.get_or_insert_with(|| RatePacer::new(*share, now));
            pacer.set_share(*share, now);
        }
    }

    /// Returns the time after which a request may find a place, if it
    /// certainly finds none here within its longest wait: all upstreams have
    /// asked for a longer pause, or other routers share their rate limits.
    pub(super) fn wait_beyond_reach(
        &self,
        request: &AdmitRequest<'_>,
        queued: &QueuedRequest,
    ) -> Option<Duration> {
        let now = Instant::now();
        let mut least: Option<Duration> = None;
        for entry in self.upstreams.values() {
            if !entry.serves(request.service, queued) {
                continue;
            }
            let wait = match entry.opening(now) {
                PaceOpening::Now => return None,
                PaceOpening::In(wait) if wait <= request.max_wait => {
                    return None;
                }
                PaceOpening::In(wait) | PaceOpening::Elsewhere(wait) => wait,
            };
            least = Some(least.map_or(wait, |known| known.min(wait)));
        }
        least
    }

    /// Returns the time until the next upstream of a service may get a
    /// request that it may not get now, by time alone.
    pub(super) fn next_opening(&self, service: &str) -> Option<Duration> {
        let now = Instant::now();
        let mut least: Option<Duration> = None;
        for entry in self.upstreams.values() {
            if entry.removed || entry.upstream.service != service {
                continue;
            }
            let PaceOpening::In(wait) = entry.opening(now) else {
                continue;
            };
            least = Some(least.map_or(wait, |known| known.min(wait)));
        }
        least
    }

    pub(super) fn paused(
        &self,
        request: &AdmitRequest<'_>,
        wait: Duration,
    ) -> CallError {
        let service = request.service;
        let message = format!(
            "all upstreams of {service} have asked for a pause or for less"
        );
        let wait = wait.as_secs_f64();
        let wait = wait.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S);
        CallError::new(ErrorKind::Overloaded, message)
            .with_retry_delay(Duration::from_secs_f64(wait))
    }

    /// Returns the median failure level of the other upstreams of a service.
    pub(super) fn median_failure_level(
        &self,
        upstream: &AssignedUpstream,
        now: Instant,
    ) -> f64 {
        let mut levels = Vec::new();
        for (vm, entry) in &self.upstreams {
            let is_other = *vm != upstream.vm && !entry.removed;
            if is_other && entry.upstream.service == upstream.service {
                levels.push(entry.health.failure_level(now));
            }
        }
        levels.sort_by(f64::total_cmp);
        levels.get(levels.len() / 2).copied().unwrap_or(0.0)
    }

    /// Computes the figures over the upstreams that may serve a request.
    pub(super) fn summary(
        &self,
        service: &str,
        queued: &QueuedRequest,
    ) -> ServiceSummary {
        let now = Instant::now();
        let mut healthy = Vec::new();
        let mut serving = 0;
        let mut slownesses = Vec::new();
        for (vm, entry) in &self.upstreams {
            if !entry.serves(service, queued) {
                continue;
            }
            serving += 1;
            slownesses.extend(entry.health.slowness());
            if !entry.health.is_ejected(now) {
                healthy.push((vm, entry));
            }
        }
        slownesses.sort_by(f64::total_cmp);
        let median = slownesses.get(slownesses.len() / 2).copied();
        ServiceSummary {
            avoids_ejected: healthy.len() * 2 >= serving,
            home: self.home(queued, healthy, now),
            slowness: median.unwrap_or(1.0),
        }
    }

    /// Returns the home of the shared prefix of a request's prompt.
    ///
    /// The first shared part of the prompt selects a few upstreams, the
    /// longest shared prefix one of them.
    pub(super) fn home(
        &self,
        queued: &QueuedRequest,
        mut healthy: Vec<(&String, &UpstreamEntry)>,
        now: Instant,
    ) -> Option<String> {
        let first = &queued.hint.first_prefix;
        if first.is_empty() {
            return None;
        }
        let spread = self.prefix_traffic.spread(first, healthy.len(), now);
        let affinity = queued.affinity.as_str();
        healthy.retain(|(_, entry)| {
            entry.is_warm(affinity, now) && entry.pacer.is_none()
        });
        healthy.sort_by_cached_key(|(vm, _)| {
            std::cmp::Reverse(rendezvous_weight(first, vm))
        });
        healthy.truncate(spread);
        let best = healthy.into_iter().max_by_key(|(_, e)| e.weight(affinity));
        best.map(|(vm, _)| vm.clone())
    }

    /// Returns the best upstream with a free slot for a request.
    pub(super) fn best_free(
        &self,
        service: &str,
        queued: &QueuedRequest,
    ) -> Option<&str> {
        let now = Instant::now();
        let summary = self.summary(service, queued);
        let mut best = None;
        for (vm, entry) in &self.upstreams {
            if !entry.serves(service, queued) || !entry.is_free(queued) {
                continue;
            }
            let admits = entry.health.admits(now, entry.in_progress);
            if summary.avoids_ejected && !admits {
                continue;
            }
            let is_due = entry.needs_limit_probe(now);
            let rank = (!admits, !is_due, entry.rank(queued, &summary));
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, vm.as_str()));
            }
        }
        best.map(|(_, vm)| vm)
    }

    /// Returns whether [`TableState::best_free`] would find an upstream,
    /// without ranking all of them.
    fn has_free(&self, service: &str, queued: &QueuedRequest) -> bool {
        let now = Instant::now();
        let (mut serving, mut healthy) = (0, 0);
        let (mut is_any_free, mut does_any_admit) = (false, false);
        for entry in self.upstreams.values() {
            if !entry.serves(service, queued) {
                continue;
            }
            serving += 1;
            healthy += usize::from(!entry.health.is_ejected(now));
            if !entry.is_free(queued) {
                continue;
            }
            is_any_free = true;
            does_any_admit |= entry.health.admits(now, entry.in_progress);
        }
        let avoids_ejected = healthy * 2 >= serving;
        if avoids_ejected { does_any_admit } else { is_any_free }
    }

    /// Returns whether any upstream of a service has an unclaimed slot.
    fn has_slot(&self, service: &str) -> bool {
        self.upstreams.values().any(|entry| {
            !entry.removed
                && entry.in_progress < entry.upstream.share
                && entry.upstream.service == service
        })
    }

    /// Claims a slot at the best free upstream for a request.
    pub(super) fn claim_best(
        &mut self,
        service: &str,
        queued: &QueuedRequest,
    ) -> Option<AssignedUpstream> {
        let vm = self.best_free(service, queued)?.to_owned();
        let entry = self.upstreams.get_mut(&vm)?;
        entry.in_progress += 1;
        if let Some(pacer) = &mut entry.pacer {
            pacer.record(Instant::now());
        }
        entry.pending_tokens += queued.hint.prompt_tokens;
        if queued.is_draft {
            entry.drafts += 1;
        }
        let upstream = entry.upstream.clone();
        *self.accounts.entry(queued.account.clone()).or_default() += 1;
        Some(upstream)
    }

    /// Releases a slot and records the duration of its request.
    pub(super) fn release(&mut self, slot: &UpstreamSlot) {
        let duration = slot.claimed_at.elapsed().as_secs_f64();
        let average = self.durations.entry(slot.upstream.service.clone());
        let average = average.or_insert(duration);
        *average += (duration - *average) * DURATION_SMOOTHING;
        if let Some(count) = self.accounts.get_mut(&slot.account) {
            *count -= 1;
            if *count == 0 {
                self.accounts.remove(&slot.account);
            }
        }
        let Some(entry) = self.upstreams.get_mut(&slot.upstream.vm) else {
            return;
        };
        entry.in_progress -= 1;
        if slot.is_draft {
            entry.drafts -= 1;
        }
        if entry.is_over(Instant::now()) {
            self.upstreams.remove(&slot.upstream.vm);
        }
    }

    pub(super) fn enqueue(
        &mut self,
        request: &AdmitRequest<'_>,
        queued: QueuedRequest,
    ) -> Result<(u64, oneshot::Receiver<UpstreamSlot>), CallError> {
        if self.expected_wait(request) > request.max_wait.as_secs_f64() {
            return Err(self.overloaded(request));
        }
        let queue = self.queues.entry(request.service.to_owned()).or_default();
        let Some(ticket) = queue.push(queued) else {
            return Err(self.overloaded(request));
        };
        let (slot_sender, waiter) = oneshot::channel();
        let key = (request.service.to_owned(), ticket);
        self.slot_senders.insert(key, slot_sender);
        Ok((ticket, waiter))
    }

    pub(super) fn overloaded(&self, request: &AdmitRequest<'_>) -> CallError {
        let wait = self.expected_wait(request);
        let wait = wait.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S);
        let message = format!("all upstreams of {} are busy", request.service);
        CallError::new(ErrorKind::Overloaded, message)
            .with_retry_delay(Duration::from_secs_f64(wait))
    }

    /// Estimates the seconds until a new request would be served.
    pub(super) fn expected_wait(&self, request: &AdmitRequest<'_>) -> f64 {
        let queue = self.queues.get(request.service);
        let AdmitRequest { priority, account, .. } = *request;
        let count = |name: &str| self.in_progress_of(name);
        let ahead =
            queue.map_or(0, |q| q.count_ahead(priority, account, count));
        let duration = self.durations.get(request.service);
        let duration = duration.copied().unwrap_or(0.0);
        let mut throughput = 0.0;
        let mut first_wait: Option<f64> = None;
        let now = Instant::now();
        for entry in self.upstreams.values() {
            let upstream = &entry.upstream;
            if upstream.service != request.service || entry.removed {
                continue;
            }
            let by_slots = f64::from(upstream.share) / duration;
            let Some(pacer) = entry.pacer else {
                throughput += by_slots;
                first_wait = Some(0.0);
                continue;
            };
            throughput += by_slots.min(pacer.rate());
            if let PaceOpening::In(wait) = entry.opening(now) {
                let wait = wait.as_secs_f64();
                first_wait = Some(first_wait.map_or(wait, |w| w.min(wait)));
            }
        }
        let ahead = ahead as f64;
        match first_wait {
            // Of upstreams that all have a limit, the next one to open
            // serves the first request.
            Some(wait) if wait > 0.0 => wait + ahead / throughput,
            _ if throughput > 0.0 => (ahead + 1.0) / throughput,
            _ => (ahead + 1.0) * duration,
        }
    }

    /// Removes the next waiting request that fits a free slot, and claims the
    /// slot for it.
    pub(super) fn claim_for_next(
        &mut self,
        service: &str,
    ) -> Option<ServedRequest> {
        loop {
            let queue = self.queues.get(service)?;
            if queue.is_empty() || !self.has_slot(service) {
                return None;
            }
            let count = |name: &str| self.in_progress_of(name);
            let fits = |queued: &QueuedRequest| self.has_free(service, queued);
            let ticket = queue.next_ticket(Instant::now(), count, fits)?;
            let queued = self.queues.get_mut(service)?.remove(ticket)?;
            let slot_sender =
                self.slot_senders.remove(&(service.to_owned(), ticket));
            let Some(slot_sender) = slot_sender else {
                continue;
            };
            let upstream = self.claim_best(service, &queued)?;
            return Some((slot_sender, upstream, queued));
        }
    }
}

pub(super) fn no_upstream(request: &AdmitRequest<'_>) -> CallError {
    let AdmitRequest { service, version, .. } = request;
    let version = version.unwrap_or("in any version");
    let message = format!("no live upstream runs {service} {version}");
    CallError::new(ErrorKind::NoUpstream, message)
}
