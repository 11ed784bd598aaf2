//! Finding an upstream that begins an answer.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    super::RouterCore,
    bill::{bill, relayed_bill, stop},
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

/// Path of the endpoint at the engines.
const ENGINE_PATH: &str = "/v1/chat/completions";

/// Attempts at different upstreams for one request.
const LARGEST_ATTEMPTS: usize = 3;

/// Home routers that remember an idempotency key.
const KEY_HOMES: usize = 2;

/// A reservation that is released if the request never leaves.
struct ReservationGuard<'a> {
    core: &'a RouterCore,
    reservation: Option<Reservation<Unsent>>,
}

impl ReservationGuard<'_> {
    fn into_sent(mut self) -> Reservation<Sent> {
        // The option is emptied only here, and this consumes the guard.
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

/// A request that an upstream has begun to answer.
pub(super) struct OpenCall {
    pub(super) slot: UpstreamSlot,
    pub(super) address: SocketAddr,
    pub(super) call: UpstreamCall,
    pub(super) reply: UpstreamReply,
    pub(super) sent_at: Instant,
}

/// Where the reservation of a request is.
enum DispatchState<'a> {
    /// No byte has left; the reservation can be released.
    Unsent(ReservationGuard<'a>),
    /// The request has left and has no answer.
    Sent(Reservation<Sent>),
    /// The reservation is with the part that serves the answer.
    Answering,
}

/// The attempts to find an upstream that answers.
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
    /// Begins with a reservation that can still be released.
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

    /// Tries upstreams until one begins to answer.
    ///
    /// # Errors
    ///
    /// The failure that says most about the request. With a reservation
    /// that was not sent, the request did not run.
    pub(super) async fn open(
        &mut self,
    ) -> Result<(OpenCall, Reservation<Sent>), CallError> {
        while self.attempts < LARGEST_ATTEMPTS {
            let retry = self.attempts > 0;
            self.attempts += 1;
            if retry && !self.core.retries.borrow_mut().try_spend() {
                self.core.metrics.note_event("retry_refused");
                break;
            }
            let slot = match self.admit().await {
                Ok(slot) => slot,
                // The failure of an attempt that left says more than the
                // lack of a further upstream.
                Err(error) => {
                    return Err(self.failure.take().unwrap_or(error));
                }
            };
            let Some(open) = self.attempt(slot).await? else {
                continue;
            };
            let answering = DispatchState::Answering;
            let state = std::mem::replace(&mut self.state, answering);
            if let DispatchState::Sent(sent) = state {
                return Ok((open, sent));
            }
        }
        let failure = self.failure.take();
        Err(failure.unwrap_or_else(|| {
            let message =
                format!("no upstream of {} works", self.chat.service);
            CallError::new(ErrorKind::NoUpstream, message)
        }))
    }

    /// Takes the reservation back after an answer was lost at an upstream.
    pub(super) fn put_back(
        &mut self,
        sent: Reservation<Sent>,
        vm: String,
        error: CallError,
    ) {
        self.core.metrics.note_event("answer_lost");
        self.state = DispatchState::Sent(sent);
        self.excluded.push(vm);
        self.failure = Some(error);
    }

    /// Ends a request that no upstream has answered.
    ///
    /// What the last one has used is stopped and billed there and here
    /// alike. A reservation that was not sent is released.
    pub(super) async fn give_up(self) {
        let (core, chat) = (self.core, self.chat);
        let DispatchState::Sent(sent) = self.state else {
            return;
        };
        // An address is noted before any reservation is marked as sent.
        let address = self.last_address.expect("address of an attempt");
        let tokens = stop(core, address, &chat.request_id, 0).await;
        bill(core, chat, address, sent, tokens);
    }

    async fn admit(&self) -> Result<UpstreamSlot, CallError> {
        let chat = self.chat;
        let version = self.core.version_of(
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
        self.core.table.admit(&request).await
    }

    /// Tries one upstream; `None` if another one may be tried.
    async fn attempt(
        &mut self,
        slot: UpstreamSlot,
    ) -> Result<Option<OpenCall>, CallError> {
        let core = self.core;
        let view = self.claimed_upstream(slot.upstream()).await?;
        let link = match core.ports.upstreams.connect(view.address).await {
            Ok(link) => link,
            Err(fault) => {
                core.metrics.note_event("connect_failed");
                self.note_failure(&view, &fault);
                slot.record_refused_connection();
                return Ok(None);
            }
        };
        self.last_address = Some(view.address);
        self.mark_sent();
        let note = relayed_bill(self.chat, self.bill, view.address, None);
        core.keeper.relay_open(note).await;
        let call = self.upstream_call();
        let sent_at = Instant::now();
        let reply = match link.send(call.clone()).await {
            Ok(reply) => reply,
            Err(fault) => {
                self.note_failure(&view, &fault);
                self.failure = Some(sent_failure(&fault));
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
                self.note_failure(&view, &fault);
                self.failure = Some(sent_failure(&fault));
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

    fn note_failure(
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
        let route = route_of(self.chat);
        let service = &self.chat.service;
        self.core.note_evidence(service, &view.version, &route, true, None);
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

    /// Where the request has to run: at `wanted`, unless the key's homes
    /// know that it already runs elsewhere.
    async fn claimed_upstream(
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
        let first = claim_at_homes(self.core, &request).await;
        if first.fingerprint != request.fingerprint {
            let message = "the idempotency key belongs to another request";
            return Err(CallError::new(ErrorKind::KeyReused, message));
        }
        // After a failed attempt the request may move on.
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

/// Claims a key at its home routers and returns the first claim.
///
/// A home that cannot be reached is left out. If none can, this router's
/// own table decides, and the engine still knows the identity of a request
/// that it is running.
async fn claim_at_homes(
    core: &RouterCore,
    request: &ClaimRequest,
) -> ClaimReply {
    let mut first = core.claims.borrow_mut().claim(request);
    let mut homes = core.directory.ranked_entry_vms(&request.key);
    homes.retain(|vm| core.members.is_usable(vm));
    for vm in homes.iter().take(KEY_HOMES) {
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

pub(super) fn sent_failure(fault: &UpstreamFault) -> CallError {
    let kind = match fault {
        UpstreamFault::TimedOut => ErrorKind::UpstreamTimeout,
        _ => ErrorKind::UpstreamFailed,
    };
    CallError::new(kind, format!("the upstream failed: {fault}"))
}

/// The route of a request, for the evidence on versions.
pub(super) fn route_of(chat: &ChatCall) -> String {
    let mode = if chat.streams { "stream" } else { "whole" };
    format!("chat/{}/{mode}", chat.identity.class.name())
}
