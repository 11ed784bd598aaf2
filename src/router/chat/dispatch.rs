//! Sending of a request to upstreams until one responds.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    super::RouterCore,
    bill::{cancel_request, relayed_bill, settle_bill},
    parse::ChatCall,
};
use crate::{
    budget::{Reservation, Sent, Unsent},
    config::CallClass,
    domain::BillId,
    error::{CallError, ErrorKind},
    ports::{
        ClaimReply, ClaimRequest, PeerAnswer, PeerCall, UpstreamCall,
        UpstreamFault, UpstreamReply,
    },
    routing::{AdmitRequest, AssignedUpstream, PlacementHint, UpstreamSlot},
    telemetry::LogEvent,
};

/// Path of the chat-completions endpoint at engines.
const ENGINE_PATH: &str = "/v1/chat/completions";

/// Maximum number of upstreams tried for one request.
const MAX_ATTEMPTS: usize = 3;

/// Number of routers that store the claim on an idempotency key.
const KEY_REPLICAS: usize = 2;

/// Releases a reservation on drop unless the request has been sent.
struct ReservationGuard<'a> {
    core: &'a RouterCore,
    reservation: Option<Reservation<Unsent>>,
}

impl ReservationGuard<'_> {
    fn into_sent(mut self) -> Reservation<Sent> {
        // Only this method empties the option, and it consumes the guard.
        let reservation = self.reservation.take().expect("reservation");
        reservation.into_sent()
    }
}

impl Drop for ReservationGuard<'_> {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.core.keeper.release(reservation);
        }
    }
}

/// A request to which an upstream has sent the head of its response.
pub(super) struct OpenCall {
    pub(super) slot: UpstreamSlot,
    pub(super) address: SocketAddr,
    pub(super) call: UpstreamCall,
    pub(super) reply: UpstreamReply,
    pub(super) sent_at: Instant,
}

/// The state of a request and its reservation.
enum DispatchState<'a> {
    /// No byte has been sent; the reservation can be released.
    Unsent(ReservationGuard<'a>),
    /// The request has been sent and has no response.
    Sent(Reservation<Sent>),
    /// The response is being forwarded, and the reservation was handed out
    /// with it.
    Answering,
}

/// The dispatch of one request, with all its attempts.
pub(super) struct Dispatch<'a> {
    core: &'a Rc<RouterCore>,
    chat: &'a ChatCall,
    state: DispatchState<'a>,
    bill: BillId,
    attempts: usize,
    excluded: Vec<String>,
    failure: Option<CallError>,
    last_address: Option<SocketAddr>,
}

impl<'a> Dispatch<'a> {
    /// Creates the dispatch of a request that has not been sent yet.
    pub(super) fn new(
        core: &'a Rc<RouterCore>,
        chat: &'a ChatCall,
        reservation: Reservation<Unsent>,
    ) -> Dispatch<'a> {
        let bill = reservation.bill();
        let reservation = Some(reservation);
        let guard = ReservationGuard { core, reservation };
        Dispatch {
            core,
            chat,
            state: DispatchState::Unsent(guard),
            bill,
            attempts: 0,
            excluded: Vec::new(),
            failure: None,
            last_address: None,
        }
    }

    /// Tries upstreams until one sends the head of a response.
    ///
    /// # Errors
    ///
    /// The error of the last attempt that was sent or, without one, the
    /// reason why no upstream could be used. In the latter case the request
    /// was not executed.
    pub(super) async fn open(
        &mut self,
    ) -> Result<(OpenCall, Reservation<Sent>), CallError> {
        while self.attempts < MAX_ATTEMPTS {
            let retry = self.attempts > 0;
            self.attempts += 1;
            if retry && !self.core.retry_budget.borrow_mut().try_spend() {
                self.core.metrics.note_event("retry_refused");
                break;
            }
            let slot = match self.admit().await {
                Ok(slot) => slot,
                // The error of an attempt that was sent is more specific
                // than the lack of another upstream.
                Err(error) => {
                    return Err(self.failure.take().unwrap_or(error));
                }
            };
            let Some(open_call) = self.attempt(slot).await? else {
                continue;
            };
            let answering = DispatchState::Answering;
            let state = std::mem::replace(&mut self.state, answering);
            if let DispatchState::Sent(reservation) = state {
                return Ok((open_call, reservation));
            }
        }
        let failure = self.failure.take();
        Err(failure.unwrap_or_else(|| {
            let message =
                format!("no upstream of {} works", self.chat.service);
            CallError::new(ErrorKind::NoUpstream, message)
        }))
    }

    /// Takes the reservation back after an upstream failed before the caller
    /// received any of the response.
    pub(super) fn return_reservation(
        &mut self,
        reservation: Reservation<Sent>,
        vm: String,
        error: CallError,
    ) {
        self.core.metrics.note_event("answer_lost");
        self.state = DispatchState::Sent(reservation);
        self.excluded.push(vm);
        self.failure = Some(error);
    }

    /// Ends a request to which no upstream has responded.
    ///
    /// If it was sent, it is cancelled at the last upstream and the tokens
    /// used there are billed. Otherwise the reservation is released.
    pub(super) async fn settle_unanswered(self) {
        let (core, chat) = (self.core, self.chat);
        let DispatchState::Sent(reservation) = self.state else {
            return;
        };
        // The address is set before the reservation is marked as sent.
        let address = self.last_address.expect("address of an attempt");
        let tokens = cancel_request(core, address, &chat.request_id, 0).await;
        settle_bill(core, chat, address, reservation, tokens);
    }

    /// Waits for a slot at an upstream.
    async fn admit(&self) -> Result<UpstreamSlot, CallError> {
        let chat = self.chat;
        let version = self.core.select_version(
            &chat.service,
            &chat.document,
            &chat.request_id,
        );
        let preset = self.core.preset();
        let class = chat.identity.class;
        let wait_ms =
            preset.as_ref().and_then(|p| p.queue_wait_ms.get(&class));
        let request = AdmitRequest {
            service: &chat.service,
            version: Some(&version),
            avoided_version: None,
            priority: class.priority(),
            is_draft: class == CallClass::Draft,
            account: chat.identity.budget.account(),
            excluded: &self.excluded,
            affinity: chat.identity.budget.as_str(),
            hint: PlacementHint::default(),
            max_wait: Duration::from_millis(wait_ms.copied().unwrap_or(0)),
            draft_percent: preset.map_or(100, |p| p.draft_percent),
        };
        self.core.upstream_table.admit(&request).await
    }

    /// Sends the request to one upstream; returns `None` if it failed and
    /// another upstream may be tried.
    async fn attempt(
        &mut self,
        slot: UpstreamSlot,
    ) -> Result<Option<OpenCall>, CallError> {
        let core = self.core;
        let view = self.resolve_upstream(slot.upstream()).await?;
        let link = match core.ports.upstreams.connect(view.address).await {
            Ok(link) => link,
            Err(fault) => {
                core.metrics.note_event("connect_failed");
                self.record_failure(&view, &fault);
                slot.record_refused_connection();
                return Ok(None);
            }
        };
        self.last_address = Some(view.address);
        self.mark_sent();
        let relayed = relayed_bill(self.chat, self.bill, view.address, None);
        core.keeper.relay_open(relayed).await;
        let call = self.upstream_call();
        let sent_at = Instant::now();
        let reply = match link.send(call.clone()).await {
            Ok(reply) => reply,
            Err(fault) => {
                self.record_failure(&view, &fault);
                self.failure = Some(upstream_error(&fault));
                return Ok(None);
            }
        };
        if let Some(load) = reply.load {
            slot.record_load(load);
        }
        match reply.status {
            200 => {
                let address = view.address;
                Ok(Some(OpenCall { slot, address, call, reply, sent_at }))
            }
            400..=499 => {
                let message = format!("{} refused the request", view.vm);
                Err(CallError::new(ErrorKind::UpstreamFailed, message))
            }
            status => {
                let fault = UpstreamFault::broken(format!("status {status}"));
                self.record_failure(&view, &fault);
                self.failure = Some(upstream_error(&fault));
                Ok(None)
            }
        }
    }

    fn mark_sent(&mut self) {
        let core = self.core;
        let empty = ReservationGuard { core, reservation: None };
        let placeholder = DispatchState::Unsent(empty);
        let state = std::mem::replace(&mut self.state, placeholder);
        self.state = match state {
            DispatchState::Unsent(guard) => {
                DispatchState::Sent(guard.into_sent())
            }
            sent => sent,
        };
    }

    fn record_failure(
        &mut self,
        view: &AssignedUpstream,
        fault: &UpstreamFault,
    ) {
        log::info!(
            event:% = LogEvent::AttemptFailed,
            request_id = self.chat.request_id.as_str(),
            account = self.chat.identity.budget.account(),
            upstream = view.vm.as_str();
            "attempt failed: {fault}"
        );
        self.excluded.push(view.vm.clone());
        let route = evidence_route(self.chat);
        let service = &self.chat.service;
        self.core.record_evidence(service, &view.version, &route, true, None);
    }

    fn upstream_call(&self) -> UpstreamCall {
        UpstreamCall {
            path: ENGINE_PATH.to_owned(),
            request_id: self.chat.request_id.clone(),
            bill: self.bill.to_string(),
            fence: self.bill.portion.grant,
            priority: self.chat.identity.class.priority(),
            resume_from: 0,
            body: self.chat.body.clone(),
            head_timeout: self.core.settings.limits.upstream_time,
        }
    }

    /// Returns the upstream to send the request to.
    ///
    /// This is `wanted`, unless the request has an idempotency key and the
    /// first request with this key was sent elsewhere.
    async fn resolve_upstream(
        &self,
        wanted: &AssignedUpstream,
    ) -> Result<AssignedUpstream, CallError> {
        let Some(key) = &self.chat.key else {
            return Ok(wanted.clone());
        };
        let account = self.chat.identity.budget.account();
        let request = ClaimRequest {
            key: format!("{account}/{key}"),
            holder: self.core.id.clone(),
            fingerprint: self.chat.fingerprint,
            upstream: wanted.vm.clone(),
        };
        let first = claim_at_replicas(self.core, &request).await;
        if first.fingerprint != request.fingerprint {
            let message = "the idempotency key belongs to another request";
            return Err(CallError::new(ErrorKind::KeyReused, message));
        }
        // If the claimed upstream has failed for this request, another one
        // may execute it.
        if first.upstream == wanted.vm
            || self.excluded.contains(&first.upstream)
        {
            return Ok(wanted.clone());
        }
        let vms = self.core.directory.vms();
        let Some(entry) = vms.get(&first.upstream) else {
            return Ok(wanted.clone());
        };
        Ok(AssignedUpstream {
            vm: first.upstream,
            address: entry.address,
            version: entry.version.clone(),
            ..wanted.clone()
        })
    }
}

/// Claims a key at the routers that store it and returns the first claim.
///
/// Unreachable routers are skipped. If none can be reached, the claim in this
/// router's own table is in force, and the engine still detects a repeated
/// request ID while it executes the request.
async fn claim_at_replicas(
    core: &RouterCore,
    request: &ClaimRequest,
) -> ClaimReply {
    let mut first = core.claims.borrow_mut().claim(request);
    let mut replicas = core.directory.ranked_entry_vms(&request.key);
    replicas.retain(|vm| core.members.may_be_alive(vm));
    for vm in replicas.iter().take(KEY_REPLICAS) {
        if *vm == core.settings.vm {
            continue;
        }
        let Some(peer) = core.directory.peer_address(vm) else {
            continue;
        };
        let call = PeerCall::Claim(request.clone());
        let answer = core.ports.peers.call(peer, call).await;
        if let Ok(PeerAnswer::Claimed(claimed)) = answer
            && claimed.holder != core.id
        {
            first = claimed;
        }
    }
    first
}

/// Returns the error for a request that was sent to an upstream and failed.
pub(super) fn upstream_error(fault: &UpstreamFault) -> CallError {
    let kind = match fault {
        UpstreamFault::TimedOut => ErrorKind::UpstreamTimeout,
        _ => ErrorKind::UpstreamFailed,
    };
    CallError::new(kind, format!("the upstream failed: {fault}"))
}

/// Returns the label under which the results of a request are recorded as
/// evidence on versions.
pub(super) fn evidence_route(chat: &ChatCall) -> String {
    let mode = if chat.is_stream { "stream" } else { "whole" };
    format!("chat/{}/{mode}", chat.identity.class.name())
}
