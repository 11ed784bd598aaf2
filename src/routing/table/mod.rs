//! Admission of requests to the upstreams of this router.
//!
//! * `entry` is one upstream: its slots, its health and its rank.
//! * `state` chooses upstreams, fills the queues and serves them.

mod entry;
mod state;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use self::state::{TableState, no_upstream};
use super::{
    HealthChange, PlacementHint, QueuedRequest, RateShare, UpstreamOutcome,
};
use crate::{error::CallError, runtime::spawn};

/// Time without new requests for an upstream that refused a connection.
const REFUSAL_COOLDOWN: Duration = Duration::from_secs(1);

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
    /// Start time in milliseconds since the epoch, which tells it from an
    /// earlier one with the same name; 0 if it is not known.
    pub started_ms: u64,
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

    /// Sets this router's shares of the rate limits that upstreams name, by
    /// upstream. All others have no limit.
    pub fn set_rate_shares(&self, shares: &BTreeMap<String, RateShare>) {
        let services = {
            let mut state = self.state.borrow_mut();
            state.set_rate_shares(shares);
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
        spawn("backoff", async move {
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
        let counts = state.upstreams.values().map(|entry| entry.in_progress);
        counts.fold(0, u32::saturating_add)
    }

    /// Returns the number of free slots at all upstreams.
    pub fn free_slots(&self) -> u32 {
        let state = self.state.borrow();
        let live = state.upstreams.values().filter(|entry| !entry.removed);
        let free =
            live.map(|e| e.upstream.share.saturating_sub(e.in_progress));
        free.fold(0, u32::saturating_add)
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
            if let Some(wait) = state.wait_beyond_reach(request, &queued) {
                return Err(state.paused(request, wait));
            }
            state.enqueue(request, queued)?
        };
        let mut place = QueuePlace {
            table: self,
            service: request.service,
            ticket,
            waiter,
        };
        let deadline = Instant::now() + request.max_wait;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let opening = self.state.borrow().next_opening(request.service);
            let wait = opening.map_or(left, |opening| opening.min(left));
            match monoio::time::timeout(wait, &mut place.waiter).await {
                Ok(Ok(slot)) => return Ok(slot),
                Err(_) if wait < left => self.serve_queue(request.service),
                _ => return Err(self.state.borrow().overloaded(request)),
            }
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
