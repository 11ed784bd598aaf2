//! Admission of requests to the upstreams of this router.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use super::{
    AdmissionQueue, HealthChange, PlacementCandidate, PlacementHint,
    PlacementRank, PrefixTraffic, QueuedRequest, UpstreamHealth,
    UpstreamOutcome, placement_rank,
};
use crate::{
    error::{CallError, ErrorKind},
    membership::rendezvous_weight,
};

/// Time without new requests for an upstream that refused a connection.
const REFUSAL_COOLDOWN: Duration = Duration::from_secs(1);

/// Time over which an upstream that joins the others gradually becomes the
/// home of its prefixes.
const WARM_UP_WINDOW: Duration = Duration::from_secs(8);

/// Age from which on a load report is ignored.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Smoothing factor of the moving average of the durations of requests.
const DURATION_SMOOTHING: f64 = 0.1;

/// Lower bound of the `Retry-After` of a full queue, in seconds.
const MIN_RETRY_AFTER_S: f64 = 0.1;

/// Upper bound of the `Retry-After` of a full queue, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// An upstream of this router's subset, with the share that this router
/// owns of its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedUpstream {
    /// The name of the VM.
    pub vm: String,
    /// The address where it takes requests.
    pub address: SocketAddr,
    /// The failure domain of the VM.
    pub domain: String,
    /// The service it serves.
    pub service: String,
    /// The version it runs.
    pub version: String,
    /// Number of slots that this router owns there.
    pub share: u32,
    /// Its concurrency limit over all routers.
    pub limit: u32,
}

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct AdmitRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The version that must serve the request; `None` for any.
    pub version: Option<&'a str>,
    /// A version that must not serve the request.
    pub avoided_version: Option<&'a str>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether it is restricted to the slots open to drafts.
    pub is_draft: bool,
    /// The client account.
    pub account: &'a str,
    /// Upstreams where an attempt of this request has failed.
    pub excluded: &'a [String],
    /// The affinity key: requests with equal keys prefer the same upstream.
    pub affinity: &'a str,
    /// The properties that the placement depends on.
    pub hint: PlacementHint,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// Percentage of the slots that is open to drafts.
    pub draft_percent: u32,
}

#[derive(Debug)]
struct UpstreamEntry {
    upstream: AssignedUpstream,
    in_progress: u32,
    drafts: u32,
    cooldown_until: Option<Instant>,
    load: Option<(u32, Instant)>,
    pending_tokens: u64,
    health: UpstreamHealth,
    /// When the upstream joined the others; `None` if it was part of the
    /// first list.
    joined_at: Option<Instant>,
    removed: bool,
}

impl UpstreamEntry {
    fn serves(&self, service: &str, queued: &QueuedRequest) -> bool {
        !self.removed
            && self.upstream.service == service
            && queued
                .version
                .as_ref()
                .is_none_or(|v| *v == self.upstream.version)
            && queued.avoided_version.as_ref() != Some(&self.upstream.version)
            && !queued.excluded.contains(&self.upstream.vm)
    }

    fn is_free(&self, queued: &QueuedRequest) -> bool {
        if self.in_progress >= self.upstream.share {
            return false;
        }
        if self.cooldown_until.is_some_and(|until| until > Instant::now()) {
            return false;
        }
        let drafts = (self.upstream.share * queued.draft_percent / 100).max(1);
        if queued.is_draft && self.drafts >= drafts {
            return false;
        }
        self.fresh_load().is_none_or(|load| load < self.upstream.limit)
    }

    fn fresh_load(&self) -> Option<u32> {
        let (load, at) = self.load?;
        (at.elapsed() < LOAD_REPORT_LIFETIME).then_some(load)
    }

    /// Returns whether the upstream may be the home of an affinity key.
    ///
    /// An upstream that has just joined has an empty prefix cache. Its keys
    /// move to it gradually, so that it need not process all prefixes at
    /// once.
    fn is_warm(&self, affinity: &str, now: Instant) -> bool {
        let Some(joined_at) = self.joined_at else {
            return true;
        };
        let age = now.saturating_duration_since(joined_at);
        let warm_fraction = age.as_secs_f64() / WARM_UP_WINDOW.as_secs_f64();
        let weight = self.weight(affinity) as u32;
        f64::from(weight) < warm_fraction * f64::from(u32::MAX)
    }

    fn weight(&self, affinity: &str) -> u64 {
        rendezvous_weight(affinity, &self.upstream.vm)
    }

    /// Returns the rank of the upstream for a request.
    ///
    /// The requests of this router decide. The load that the upstream
    /// reported may be outdated and only breaks ties.
    fn rank(
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

/// Figures over all upstreams that may serve one request.
struct ServiceSummary {
    /// The home of the shared prefix of the prompt.
    home: Option<String>,
    /// Whether enough upstreams are healthy to exclude the others.
    avoids_ejected: bool,
    /// The median slowness of the upstreams.
    slowness: f64,
}

#[derive(Default)]
struct TableState {
    upstreams: BTreeMap<String, UpstreamEntry>,
    queues: BTreeMap<String, AdmissionQueue>,
    slot_senders: BTreeMap<(String, u64), oneshot::Sender<UpstreamSlot>>,
    accounts: BTreeMap<String, usize>,
    durations: BTreeMap<String, f64>,
    prefix_traffic: PrefixTraffic,
}

/// The upstreams of this router and the queues for them.
///
/// Clones share one state.
#[derive(Clone, Default)]
pub struct UpstreamTable {
    state: Rc<RefCell<TableState>>,
}

/// A slot at an upstream, released on drop.
pub struct UpstreamSlot {
    table: UpstreamTable,
    upstream: AssignedUpstream,
    is_draft: bool,
    pending_tokens: Cell<u64>,
    account: String,
    claimed_at: Instant,
}

impl UpstreamSlot {
    /// Returns the upstream.
    pub fn upstream(&self) -> &AssignedUpstream {
        &self.upstream
    }

    /// Records the outcome of the request in the health of the upstream.
    pub fn record_outcome(
        &self,
        outcome: UpstreamOutcome,
    ) -> Option<HealthChange> {
        self.record_prompt_read();
        let mut state = self.table.state.borrow_mut();
        let now = Instant::now();
        let baseline = state.median_failure_level(&self.upstream, now);
        let entry = state.upstreams.get_mut(&self.upstream.vm)?;
        entry.health.record(outcome, baseline, now)
    }

    /// Records that the upstream has processed the prompt.
    pub fn record_prompt_read(&self) {
        let tokens = self.pending_tokens.take();
        let mut state = self.table.state.borrow_mut();
        if let Some(entry) = state.upstreams.get_mut(&self.upstream.vm) {
            entry.pending_tokens -= tokens;
        }
    }

    /// Records that the upstream refused a connection.
    pub fn record_refused_connection(&self) {
        let mut state = self.table.state.borrow_mut();
        if let Some(entry) = state.upstreams.get_mut(&self.upstream.vm) {
            entry.cooldown_until = Some(Instant::now() + REFUSAL_COOLDOWN);
        }
    }

    /// Records the load that the upstream reported with its answer.
    pub fn record_load(&self, load: u32) {
        let mut state = self.table.state.borrow_mut();
        if let Some(entry) = state.upstreams.get_mut(&self.upstream.vm) {
            entry.load = Some((load, Instant::now()));
        }
    }
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        self.record_prompt_read();
        self.table.state.borrow_mut().release(self);
        self.table.serve_queue(&self.upstream.service);
    }
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn new() -> UpstreamTable {
        UpstreamTable::default()
    }

    /// Replaces the upstreams.
    ///
    /// An upstream that is missing from `assigned` gets no new requests; those
    /// in progress there continue.
    pub fn update(&self, assigned: &[AssignedUpstream]) {
        let services = {
            let mut state = self.state.borrow_mut();
            state.update(assigned);
            state.queues.keys().cloned().collect::<Vec<String>>()
        };
        for service in services {
            self.serve_queue(&service);
        }
    }

    /// Sends an upstream no requests for `time`, as it has asked.
    pub fn back_off(&self, vm: &str, time: Duration) {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.upstreams.get_mut(vm) else {
            return;
        };
        let until = Instant::now() + time;
        entry.cooldown_until = entry.cooldown_until.max(Some(until));
        let service = entry.upstream.service.clone();
        drop(state);
        let table = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(time).await;
            table.serve_queue(&service);
        });
    }

    /// Returns the number of requests of an account in progress.
    pub fn in_progress_of(&self, account: &str) -> usize {
        self.state.borrow().in_progress_of(account)
    }

    /// Returns the number of requests in progress at all upstreams.
    pub fn in_progress(&self) -> u32 {
        let state = self.state.borrow();
        state.upstreams.values().map(|entry| entry.in_progress).sum()
    }

    /// Returns the number of free slots at all upstreams.
    pub fn free_slots(&self) -> u32 {
        let state = self.state.borrow();
        let live = state.upstreams.values().filter(|entry| !entry.removed);
        live.map(|e| e.upstream.share.saturating_sub(e.in_progress)).sum()
    }

    /// Claims a slot, waiting in the queue if none is free.
    ///
    /// # Errors
    ///
    /// `NoUpstream` if no upstream runs the version; `Overloaded` if the
    /// wait is longer than allowed. An expected wait that is too long fails
    /// at once, without queuing.
    pub async fn admit(
        &self,
        request: &AdmitRequest<'_>,
    ) -> Result<UpstreamSlot, CallError> {
        let (ticket, waiter) = {
            let mut state = self.state.borrow_mut();
            let queued = request.to_queued();
            state.record_prefix(&queued);
            if !state.has_version(request.service, &queued) {
                return Err(no_upstream(request));
            }
            if let Some(upstream) = state.claim_best(request.service, &queued)
            {
                return Ok(self.slot(upstream, &queued));
            }
            if let Some(wait) = state.cooldown_left(request, &queued) {
                return Err(state.cooling_down(request, wait));
            }
            state.enqueue(request, queued)?
        };
        let mut place = QueuePlace {
            table: self,
            service: request.service,
            ticket,
            waiter,
        };
        let wait = monoio::time::timeout(request.max_wait, &mut place.waiter);
        match wait.await {
            Ok(Ok(slot)) => Ok(slot),
            _ => Err(self.state.borrow().overloaded(request)),
        }
    }

    /// Claims a slot that is free now; `None` if there is none.
    pub fn try_admit(
        &self,
        request: &AdmitRequest<'_>,
    ) -> Option<UpstreamSlot> {
        let queued = request.to_queued();
        let upstream =
            self.state.borrow_mut().claim_best(request.service, &queued)?;
        Some(self.slot(upstream, &queued))
    }

    fn slot(
        &self,
        upstream: AssignedUpstream,
        queued: &QueuedRequest,
    ) -> UpstreamSlot {
        UpstreamSlot {
            table: self.clone(),
            upstream,
            is_draft: queued.is_draft,
            pending_tokens: Cell::new(queued.hint.prompt_tokens),
            account: queued.account.clone(),
            claimed_at: Instant::now(),
        }
    }

    /// Hands free slots to waiting requests.
    fn serve_queue(&self, service: &str) {
        loop {
            let served = self.state.borrow_mut().claim_for_next(service);
            let Some((slot_sender, upstream, queued)) = served else {
                return;
            };
            // If the request has just given up, its receiver is gone. The
            // slot is then dropped, which serves the queue again.
            let _ = slot_sender.send(self.slot(upstream, &queued));
        }
    }
}

impl AdmitRequest<'_> {
    fn to_queued(&self) -> QueuedRequest {
        QueuedRequest {
            priority: self.priority,
            is_draft: self.is_draft,
            account: self.account.to_owned(),
            version: self.version.map(str::to_owned),
            avoided_version: self.avoided_version.map(str::to_owned),
            excluded: self.excluded.to_vec(),
            affinity: self.affinity.to_owned(),
            hint: self.hint.clone(),
            draft_percent: self.draft_percent,
            deadline: Instant::now() + self.max_wait,
        }
    }
}

/// A place in the queue, left on drop.
struct QueuePlace<'a> {
    table: &'a UpstreamTable,
    service: &'a str,
    ticket: u64,
    waiter: oneshot::Receiver<UpstreamSlot>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut state = self.table.state.borrow_mut();
        state.slot_senders.remove(&(self.service.to_owned(), self.ticket));
        if let Some(queue) = state.queues.get_mut(self.service) {
            queue.remove(self.ticket);
        }
        // A slot that was sent in the meantime is dropped with the receiver,
        // which releases it.
    }
}

type ServedRequest =
    (oneshot::Sender<UpstreamSlot>, AssignedUpstream, QueuedRequest);

impl TableState {
    fn update(&mut self, assigned: &[AssignedUpstream]) {
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
                health: UpstreamHealth::new(),
                joined_at: (!is_first).then(Instant::now),
                removed: false,
            });
            entry.removed = false;
            entry.upstream = upstream.clone();
        }
        self.upstreams.retain(|_, e| !e.removed || e.in_progress > 0);
    }

    fn record_prefix(&mut self, queued: &QueuedRequest) {
        let PlacementHint { first_prefix, prompt_tokens, .. } = &queued.hint;
        if !first_prefix.is_empty() {
            let now = Instant::now();
            self.prefix_traffic.record(first_prefix, *prompt_tokens, now);
        }
    }

    fn in_progress_of(&self, account: &str) -> usize {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    fn has_version(&self, service: &str, queued: &QueuedRequest) -> bool {
        let mut entries = self.upstreams.values();
        entries.any(|entry| entry.serves(service, queued))
    }

    /// Returns the time until the first upstream may get a request, if all of
    /// them have asked for more time than the request may wait.
    fn cooldown_left(
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
            let until = entry.cooldown_until?;
            let left = until.saturating_duration_since(now);
            least = Some(least.map_or(left, |known| known.min(left)));
        }
        least.filter(|left| *left > request.max_wait)
    }

    fn cooling_down(
        &self,
        request: &AdmitRequest<'_>,
        wait: Duration,
    ) -> CallError {
        let service = request.service;
        let message =
            format!("all upstreams of {service} have asked for a pause");
        CallError::new(ErrorKind::Overloaded, message).with_retry_delay(wait)
    }

    /// Returns the median failure level of the other upstreams of a service.
    fn median_failure_level(
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
    fn summary(
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
    fn home(
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
        healthy.retain(|(_, entry)| entry.is_warm(affinity, now));
        healthy.sort_by_cached_key(|(vm, _)| {
            std::cmp::Reverse(rendezvous_weight(first, vm))
        });
        healthy.truncate(spread);
        let best = healthy.into_iter().max_by_key(|(_, e)| e.weight(affinity));
        best.map(|(vm, _)| vm.clone())
    }

    /// Returns the best upstream with a free slot for a request.
    fn best_free(
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
            let rank = (!admits, entry.rank(queued, &summary));
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, vm.as_str()));
            }
        }
        best.map(|(_, vm)| vm)
    }

    /// Claims a slot at the best free upstream for a request.
    fn claim_best(
        &mut self,
        service: &str,
        queued: &QueuedRequest,
    ) -> Option<AssignedUpstream> {
        let vm = self.best_free(service, queued)?.to_owned();
        let entry = self.upstreams.get_mut(&vm)?;
        entry.in_progress += 1;
        entry.pending_tokens += queued.hint.prompt_tokens;
        if queued.is_draft {
            entry.drafts += 1;
        }
        let upstream = entry.upstream.clone();
        *self.accounts.entry(queued.account.clone()).or_default() += 1;
        Some(upstream)
    }

    /// Releases a slot and records the duration of its request.
    fn release(&mut self, slot: &UpstreamSlot) {
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
        if entry.removed && entry.in_progress == 0 {
            self.upstreams.remove(&slot.upstream.vm);
        }
    }

    fn enqueue(
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

    fn overloaded(&self, request: &AdmitRequest<'_>) -> CallError {
        let wait = self.expected_wait(request);
        let wait = wait.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S);
        let message = format!("all upstreams of {} are busy", request.service);
        CallError::new(ErrorKind::Overloaded, message)
            .with_retry_delay(Duration::from_secs_f64(wait))
    }

    /// Estimates the seconds until a new request would be served.
    fn expected_wait(&self, request: &AdmitRequest<'_>) -> f64 {
        let queue = self.queues.get(request.service);
        let AdmitRequest { priority, account, .. } = *request;
        let count = |name: &str| self.in_progress_of(name);
        let ahead =
            queue.map_or(0, |q| q.count_ahead(priority, account, count));
        let duration = self.durations.get(request.service);
        let duration = duration.copied().unwrap_or(0.0);
        let mut slots = 0;
        for entry in self.upstreams.values() {
            let upstream = &entry.upstream;
            if upstream.service == request.service && !entry.removed {
                slots += upstream.share;
            }
        }
        (ahead as f64 + 1.0) * duration / f64::from(slots.max(1))
    }

    /// Removes the next waiting request that fits a free slot, and claims the
    /// slot for it.
    fn claim_for_next(&mut self, service: &str) -> Option<ServedRequest> {
        loop {
            let queue = self.queues.get(service)?;
            let count = |name: &str| self.in_progress_of(name);
            let fits = |queued: &QueuedRequest| {
                self.best_free(service, queued).is_some()
            };
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

fn no_upstream(request: &AdmitRequest<'_>) -> CallError {
    let AdmitRequest { service, version, .. } = request;
    let version = version.unwrap_or("in any version");
    let message = format!("no live upstream runs {service} {version}");
    CallError::new(ErrorKind::NoUpstream, message)
}
