//! What is in progress at each upstream, and who comes next.

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

/// An upstream that refused a connection is left alone for this long.
const PENALTY_TIME: Duration = Duration::from_secs(1);

/// Time in which an upstream that joins becomes home to its shared parts.
const WARM_UP_TIME: Duration = Duration::from_secs(8);

/// A load report counts for this long.
const LOAD_TIME: Duration = Duration::from_secs(2);

/// Weight of the newest request in the average duration.
const DURATION_WEIGHT: f64 = 0.1;

/// Shortest `Retry-After` that a full queue leads to, in seconds.
const SHORTEST_RETRY_S: f64 = 0.1;

/// Longest `Retry-After` that a full queue leads to, in seconds.
const LONGEST_RETRY_S: f64 = 60.0;

/// An upstream of this router's subset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedUpstream {
    /// The name of the VM.
    pub vm: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The failure domain of the VM.
    pub domain: String,
    /// The service it serves.
    pub service: String,
    /// The version it runs.
    pub version: String,
    /// Slots that this router owns there.
    pub share: u32,
    /// The limit of the upstream over all routers.
    pub limit: u32,
}

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct AdmitRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The version that shall serve the request; `None` for any.
    pub version: Option<&'a str>,
    /// A version that shall not serve the request.
    pub avoided_version: Option<&'a str>,
    /// How urgent it is, 0 first.
    pub priority: u8,
    /// Whether it may only use the part of the slots open to drafts.
    pub is_draft: bool,
    /// The client account.
    pub account: &'a str,
    /// Upstreams that have failed for this request.
    pub excluded: &'a [String],
    /// Requests with the same text here like the same upstream.
    pub affinity: &'a str,
    /// What the placement depends on.
    pub hint: PlacementHint,
    /// Longest wait in the queue.
    pub max_wait: Duration,
    /// Part of the slots open to drafts, in percent.
    pub draft_percent: u32,
}

#[derive(Debug)]
struct UpstreamEntry {
    view: AssignedUpstream,
    in_progress: u32,
    drafts: u32,
    penalty: Option<Instant>,
    load: Option<(u32, Instant)>,
    pending_tokens: u64,
    health: UpstreamHealth,
    /// When the upstream joined the others; `None` if it was there first.
    joined: Option<Instant>,
    removed: bool,
}

impl UpstreamEntry {
    fn serves(&self, service: &str, call: &QueuedRequest) -> bool {
        !self.removed
            && self.view.service == service
            && call.version.as_ref().is_none_or(|v| *v == self.view.version)
            && call.avoided_version.as_ref() != Some(&self.view.version)
            && !call.excluded.contains(&self.view.vm)
    }

    fn is_free(&self, call: &QueuedRequest) -> bool {
        if self.in_progress >= self.view.share {
            return false;
        }
        if self.penalty.is_some_and(|until| until > Instant::now()) {
            return false;
        }
        let drafts = (self.view.share * call.draft_percent / 100).max(1);
        if call.is_draft && self.drafts >= drafts {
            return false;
        }
        self.fresh_load().is_none_or(|load| load < self.view.limit)
    }

    fn fresh_load(&self) -> Option<u32> {
        let (load, at) = self.load?;
        (at.elapsed() < LOAD_TIME).then_some(load)
    }

    /// Whether the upstream is the home of shared parts already.
    ///
    /// One that joined the others lately has read nothing. It takes over
    /// one part after the other, so that it need not read all at once.
    fn is_warm(&self, affinity: &str, now: Instant) -> bool {
        let Some(joined) = self.joined else {
            return true;
        };
        let age = now.saturating_duration_since(joined);
        let part = age.as_secs_f64() / WARM_UP_TIME.as_secs_f64();
        let weight = self.weight(affinity) as u32;
        f64::from(weight) < part * f64::from(u32::MAX)
    }

    fn weight(&self, affinity: &str) -> u64 {
        rendezvous_weight(affinity, &self.view.vm)
    }

    /// Own requests decide; the reported load, which is old, breaks ties.
    fn rank(&self, call: &QueuedRequest, fit: &ServiceFit) -> PlacementRank {
        let domain = &call.hint.domain;
        let slowness = self.health.slowness().unwrap_or(fit.slowness);
        let candidate = PlacementCandidate {
            in_progress: self.in_progress,
            share: self.view.share,
            pending_tokens: self.pending_tokens,
            load: self.fresh_load().unwrap_or(0),
            is_home: fit.home.as_ref() == Some(&self.view.vm),
            is_other_domain: !domain.is_empty() && *domain != self.view.domain,
            slowness: slowness / fit.slowness.max(f64::MIN_POSITIVE),
            weight: self.weight(&call.affinity),
        };
        placement_rank(&candidate, &call.hint)
    }
}

/// What the upstreams of a service have in common for one request.
struct ServiceFit {
    /// The upstream that the shared parts of the prompt belong to.
    home: Option<String>,
    /// Whether enough upstreams are healthy to leave the others out.
    spares_ejected: bool,
    /// The middle slowness of the upstreams.
    slowness: f64,
}

#[derive(Default)]
struct TableState {
    upstreams: BTreeMap<String, UpstreamEntry>,
    queues: BTreeMap<String, AdmissionQueue>,
    wakers: BTreeMap<(String, u64), oneshot::Sender<UpstreamSlot>>,
    accounts: BTreeMap<String, usize>,
    durations: BTreeMap<String, f64>,
    affinities: PrefixTraffic,
}

/// The upstreams of this router with their queues.
///
/// Clones share one state.
#[derive(Clone, Default)]
pub struct UpstreamTable {
    state: Rc<RefCell<TableState>>,
}

/// A slot at an upstream, given back on drop.
pub struct UpstreamSlot {
    table: UpstreamTable,
    view: AssignedUpstream,
    is_draft: bool,
    pending_tokens: Cell<u64>,
    account: String,
    since: Instant,
}

impl UpstreamSlot {
    /// The upstream.
    pub fn upstream(&self) -> &AssignedUpstream {
        &self.view
    }

    /// Notes what the request came to, for the health of the upstream.
    pub fn record_outcome(
        &self,
        outcome: UpstreamOutcome,
    ) -> Option<HealthChange> {
        self.record_prompt_read();
        let mut state = self.table.state.borrow_mut();
        let now = Instant::now();
        let usual = state.usual_level(&self.view, now);
        let entry = state.upstreams.get_mut(&self.view.vm)?;
        entry.health.record(outcome, usual, now)
    }

    /// Notes that the upstream has read the prompt.
    pub fn record_prompt_read(&self) {
        let tokens = self.pending_tokens.take();
        let mut state = self.table.state.borrow_mut();
        if let Some(entry) = state.upstreams.get_mut(&self.view.vm) {
            entry.pending_tokens -= tokens;
        }
    }

    /// Notes that the upstream refused a connection.
    pub fn record_refused_connection(&self) {
        let mut state = self.table.state.borrow_mut();
        if let Some(entry) = state.upstreams.get_mut(&self.view.vm) {
            entry.penalty = Some(Instant::now() + PENALTY_TIME);
        }
    }

    /// Notes the load that the upstream reported with its answer.
    pub fn record_load(&self, load: u32) {
        let mut state = self.table.state.borrow_mut();
        if let Some(entry) = state.upstreams.get_mut(&self.view.vm) {
            entry.load = Some((load, Instant::now()));
        }
    }
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        self.record_prompt_read();
        self.table.state.borrow_mut().vacate(self);
        self.table.serve_queue(&self.view.service);
    }
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn new() -> UpstreamTable {
        UpstreamTable::default()
    }

    /// Replaces the upstreams.
    ///
    /// An upstream that is gone from `views` gets nothing new; requests in
    /// progress there go on.
    pub fn update(&self, views: &[AssignedUpstream]) {
        let services = {
            let mut state = self.state.borrow_mut();
            state.update(views);
            state.queues.keys().cloned().collect::<Vec<String>>()
        };
        for service in services {
            self.serve_queue(&service);
        }
    }

    /// Requests in progress, by account.
    pub fn in_progress_of(&self, account: &str) -> usize {
        self.state.borrow().in_progress_of(account)
    }

    /// Requests in progress at all upstreams.
    pub fn in_progress(&self) -> u32 {
        let state = self.state.borrow();
        state.upstreams.values().map(|entry| entry.in_progress).sum()
    }

    /// Slots that are free at all upstreams.
    pub fn free_slots(&self) -> u32 {
        let state = self.state.borrow();
        let live = state.upstreams.values().filter(|entry| !entry.removed);
        live.map(|e| e.view.share.saturating_sub(e.in_progress)).sum()
    }

    /// Takes a slot, waiting in the queue if none is free.
    ///
    /// # Errors
    ///
    /// `NoUpstream` if no upstream runs the version, `Overloaded` if the
    /// wait would be, or turned out to be, longer than allowed. Both come at
    /// once when they are certain.
    pub async fn admit(
        &self,
        request: &AdmitRequest<'_>,
    ) -> Result<UpstreamSlot, CallError> {
        let (ticket, waiter) = {
            let mut state = self.state.borrow_mut();
            let call = request.to_queued();
            state.note_affinity(&call);
            if !state.has_version(request.service, &call) {
                return Err(no_upstream(request));
            }
            if let Some(view) = state.occupy(request.service, &call) {
                return Ok(self.slot(view, &call));
            }
            state.enqueue(request, call)?
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

    /// Takes a slot that is free now; `None` if there is none.
    pub fn try_admit(
        &self,
        request: &AdmitRequest<'_>,
    ) -> Option<UpstreamSlot> {
        let call = request.to_queued();
        let view = self.state.borrow_mut().occupy(request.service, &call)?;
        Some(self.slot(view, &call))
    }

    fn slot(
        &self,
        view: AssignedUpstream,
        call: &QueuedRequest,
    ) -> UpstreamSlot {
        UpstreamSlot {
            table: self.clone(),
            view,
            is_draft: call.is_draft,
            pending_tokens: Cell::new(call.hint.prompt_tokens),
            account: call.account.clone(),
            since: Instant::now(),
        }
    }

    /// Gives free slots to waiting requests.
    fn serve_queue(&self, service: &str) {
        loop {
            let served = self.state.borrow_mut().serve_next(service);
            let Some((waker, view, call)) = served else {
                return;
            };
            // A request that has just given up drops its receiver. The slot
            // then comes back here and goes to the next one.
            let _ = waker.send(self.slot(view, &call));
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

/// A place in the queue that is given up on drop.
struct QueuePlace<'a> {
    table: &'a UpstreamTable,
    service: &'a str,
    ticket: u64,
    waiter: oneshot::Receiver<UpstreamSlot>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut state = self.table.state.borrow_mut();
        state.wakers.remove(&(self.service.to_owned(), self.ticket));
        if let Some(queue) = state.queues.get_mut(self.service) {
            queue.remove(self.ticket);
        }
        // A slot that was given in the meantime is dropped with the receiver
        // and so comes back by itself.
    }
}

type ServedCall =
    (oneshot::Sender<UpstreamSlot>, AssignedUpstream, QueuedRequest);

impl TableState {
    fn update(&mut self, views: &[AssignedUpstream]) {
        let is_first = self.upstreams.is_empty();
        for entry in self.upstreams.values_mut() {
            entry.removed = true;
        }
        for view in views {
            let entry = self.upstreams.entry(view.vm.clone());
            let entry = entry.or_insert_with(|| UpstreamEntry {
                view: view.clone(),
                in_progress: 0,
                drafts: 0,
                penalty: None,
                load: None,
                pending_tokens: 0,
                health: UpstreamHealth::new(),
                joined: (!is_first).then(Instant::now),
                removed: false,
            });
            entry.removed = false;
            entry.view = view.clone();
        }
        self.upstreams.retain(|_, e| !e.removed || e.in_progress > 0);
    }

    fn note_affinity(&mut self, call: &QueuedRequest) {
        let PlacementHint { first_prefix, prompt_tokens, .. } = &call.hint;
        if !first_prefix.is_empty() {
            let now = Instant::now();
            self.affinities.record(first_prefix, *prompt_tokens, now);
        }
    }

    fn in_progress_of(&self, account: &str) -> usize {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    fn has_version(&self, service: &str, call: &QueuedRequest) -> bool {
        let mut entries = self.upstreams.values();
        entries.any(|entry| entry.serves(service, call))
    }

    /// The middle failure level of the other upstreams of a service.
    fn usual_level(&self, view: &AssignedUpstream, now: Instant) -> f64 {
        let mut levels = Vec::new();
        for (vm, entry) in &self.upstreams {
            let is_other = *vm != view.vm && !entry.removed;
            if is_other && entry.view.service == view.service {
                levels.push(entry.health.failure_level(now));
            }
        }
        levels.sort_by(f64::total_cmp);
        levels.get(levels.len() / 2).copied().unwrap_or(0.0)
    }

    /// What the upstreams that serve a call have in common.
    fn fit(&self, service: &str, call: &QueuedRequest) -> ServiceFit {
        let now = Instant::now();
        let mut healthy = Vec::new();
        let mut serving = 0;
        let mut slownesses = Vec::new();
        for (vm, entry) in &self.upstreams {
            if !entry.serves(service, call) {
                continue;
            }
            serving += 1;
            slownesses.extend(entry.health.slowness());
            if !entry.health.is_ejected(now) {
                healthy.push((vm, entry));
            }
        }
        slownesses.sort_by(f64::total_cmp);
        let middle = slownesses.get(slownesses.len() / 2).copied();
        ServiceFit {
            spares_ejected: healthy.len() * 2 >= serving,
            home: self.home(call, healthy, now),
            slowness: middle.unwrap_or(1.0),
        }
    }

    /// The upstream that the shared parts of a call's prompt belong to.
    ///
    /// The first part chooses some upstreams, the longest shared run of
    /// parts one of them.
    fn home(
        &self,
        call: &QueuedRequest,
        mut healthy: Vec<(&String, &UpstreamEntry)>,
        now: Instant,
    ) -> Option<String> {
        let first = &call.hint.first_prefix;
        if first.is_empty() {
            return None;
        }
        let spread = self.affinities.spread(first, healthy.len(), now);
        let affinity = call.affinity.as_str();
        healthy.retain(|(_, entry)| entry.is_warm(affinity, now));
        healthy.sort_by_cached_key(|(vm, _)| {
            std::cmp::Reverse(rendezvous_weight(first, vm))
        });
        healthy.truncate(spread);
        let best = healthy.into_iter().max_by_key(|(_, e)| e.weight(affinity));
        best.map(|(vm, _)| vm.clone())
    }

    /// The best upstream with a free slot for a call.
    fn best_free(&self, service: &str, call: &QueuedRequest) -> Option<&str> {
        let now = Instant::now();
        let fit = self.fit(service, call);
        let mut best = None;
        for (vm, entry) in &self.upstreams {
            if !entry.serves(service, call) || !entry.is_free(call) {
                continue;
            }
            let admits = entry.health.admits(now, entry.in_progress);
            if fit.spares_ejected && !admits {
                continue;
            }
            let rank = (!admits, entry.rank(call, &fit));
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, vm.as_str()));
            }
        }
        best.map(|(_, vm)| vm)
    }

    /// Takes the best free slot for a call.
    fn occupy(
        &mut self,
        service: &str,
        call: &QueuedRequest,
    ) -> Option<AssignedUpstream> {
        let vm = self.best_free(service, call)?.to_owned();
        let entry = self.upstreams.get_mut(&vm)?;
        entry.in_progress += 1;
        entry.pending_tokens += call.hint.prompt_tokens;
        if call.is_draft {
            entry.drafts += 1;
        }
        let view = entry.view.clone();
        *self.accounts.entry(call.account.clone()).or_default() += 1;
        Some(view)
    }

    /// Gives a slot back.
    fn vacate(&mut self, slot: &UpstreamSlot) {
        let took = slot.since.elapsed().as_secs_f64();
        let average = self.durations.entry(slot.view.service.clone());
        let average = average.or_insert(took);
        *average += (took - *average) * DURATION_WEIGHT;
        if let Some(count) = self.accounts.get_mut(&slot.account) {
            *count -= 1;
            if *count == 0 {
                self.accounts.remove(&slot.account);
            }
        }
        let Some(entry) = self.upstreams.get_mut(&slot.view.vm) else {
            return;
        };
        entry.in_progress -= 1;
        if slot.is_draft {
            entry.drafts -= 1;
        }
        if entry.removed && entry.in_progress == 0 {
            self.upstreams.remove(&slot.view.vm);
        }
    }

    fn enqueue(
        &mut self,
        request: &AdmitRequest<'_>,
        call: QueuedRequest,
    ) -> Result<(u64, oneshot::Receiver<UpstreamSlot>), CallError> {
        if self.expected_wait(request) > request.max_wait.as_secs_f64() {
            return Err(self.overloaded(request));
        }
        let queue = self.queues.entry(request.service.to_owned()).or_default();
        let Some(ticket) = queue.push(call) else {
            return Err(self.overloaded(request));
        };
        let (waker, waiter) = oneshot::channel();
        let key = (request.service.to_owned(), ticket);
        self.wakers.insert(key, waker);
        Ok((ticket, waiter))
    }

    fn overloaded(&self, request: &AdmitRequest<'_>) -> CallError {
        let wait = self.expected_wait(request);
        let wait = wait.clamp(SHORTEST_RETRY_S, LONGEST_RETRY_S);
        let message = format!("all upstreams of {} are busy", request.service);
        CallError::new(ErrorKind::Overloaded, message)
            .with_retry_wait(Duration::from_secs_f64(wait))
    }

    /// Seconds until a new request would be served.
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
            let view = &entry.view;
            if view.service == request.service && !entry.removed {
                slots += view.share;
            }
        }
        (ahead as f64 + 1.0) * duration / f64::from(slots.max(1))
    }

    /// Takes the next waiting call that a free slot fits.
    fn serve_next(&mut self, service: &str) -> Option<ServedCall> {
        loop {
            let queue = self.queues.get(service)?;
            let count = |name: &str| self.in_progress_of(name);
            let fits =
                |call: &QueuedRequest| self.best_free(service, call).is_some();
            let ticket = queue.next_ticket(Instant::now(), count, fits)?;
            let call = self.queues.get_mut(service)?.remove(ticket)?;
            let waker = self.wakers.remove(&(service.to_owned(), ticket));
            let Some(waker) = waker else {
                continue;
            };
            let view = self.occupy(service, &call)?;
            return Some((waker, view, call));
        }
    }
}

fn no_upstream(request: &AdmitRequest<'_>) -> CallError {
    let AdmitRequest { service, version, .. } = request;
    let version = version.unwrap_or("in any version");
    let message = format!("no live upstream runs {service} {version}");
    CallError::new(ErrorKind::NoUpstream, message)
}
