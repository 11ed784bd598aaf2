//! Chat-completions requests.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{HeaderValue, Response, header::CONTENT_TYPE},
    serde_json::{Value, json},
};

use super::{
    CallerIdentity, RouterCore,
    relay::{RelayEnd, StreamRelay},
    sse::stated_tokens,
};
use crate::{
    adapters::{
        http::{HttpRequest, HttpResponder, RequestReader},
        upstream::REQUEST_ID_HEADER,
    },
    budget::{BillLine, Reservation, Sent, Unsent},
    config::{ServiceDocument, ServiceKind},
    domain::BillId,
    error::{CallError, ErrorKind},
    ports::{
        ClaimReply, ClaimRequest, PeerAnswer, PeerCall, PortFuture,
        RelayedBill, UpstreamCall, UpstreamFault, UpstreamParts,
        UpstreamReply,
    },
    routing::{AdmitRequest, UpstreamSlot, UpstreamView},
    telemetry::LogContext,
};

/// Path of the endpoint at the engines.
const ENGINE_PATH: &str = "/v1/chat/completions";

/// Attempts at different upstreams for one request.
const LARGEST_ATTEMPTS: usize = 3;

/// Home routers that remember an idempotency key.
const KEY_HOMES: usize = 2;

/// Largest number of output tokens that a caller may ask for.
const LARGEST_MAX_TOKENS: u64 = 1_000_000;

/// A chat request that has been understood.
struct ChatCall {
    identity: CallerIdentity,
    service: String,
    document: ServiceDocument,
    request_id: String,
    key: Option<String>,
    fingerprint: u64,
    streams: bool,
    ceiling: u64,
    body: Bytes,
}

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

    fn bill(&self) -> BillId {
        // As above.
        self.reservation.as_ref().expect("reservation").bill()
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
struct OpenCall {
    slot: UpstreamSlot,
    address: SocketAddr,
    call: UpstreamCall,
    reply: UpstreamReply,
    sent_at: Instant,
}

/// Serves one request; `false` if the connection has to be closed.
pub(super) async fn serve(
    core: &Rc<RouterCore>,
    request: &HttpRequest,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
    context: &mut LogContext,
) -> Result<bool, CallError> {
    let started = Instant::now();
    let identity = core.identify(request.header("authorization"))?;
    context.account = identity.budget.account().to_owned();
    let call = parse(core, request, identity)?;
    context.request_id = call.request_id.clone();
    check_account_limit(core, &call.identity)?;
    let reservation =
        core.keeper.reserve(&call.identity.budget, call.ceiling).await?;
    let guard = ReservationGuard { core, reservation: Some(reservation) };
    core.retries.borrow_mut().note_request();
    let mut dispatch = Dispatch::new(core, &call, guard);
    let opened = dispatch.open().await;
    let (open, sent) = match (opened, dispatch.state) {
        (Ok(open), DispatchState::Sent(sent)) => (open, sent),
        (Err(error), DispatchState::Sent(sent)) => {
            // The upstreams failed before their answer began. What the
            // last one has used is stopped and billed there and here alike.
            if let Some(address) = dispatch.last_address {
                let tokens = stop(core, address, &call.request_id, 0).await;
                bill(core, &call, address, sent, tokens);
            }
            return Err(error);
        }
        (Err(error), DispatchState::Unsent(_)) => return Err(error),
        (Ok(_), DispatchState::Unsent(_)) => {
            unreachable!("an answer without a request")
        }
    };
    let served = if call.streams {
        serve_stream(core, &call, open, sent, reader, responder, started).await
    } else {
        serve_whole(core, &call, open, sent, reader, responder, started).await
    };
    let class = call.identity.class.name();
    let account = call.identity.budget.account();
    core.metrics.note_duration(account, class, started.elapsed());
    served
}

/// Refuses a request of an account that has its share in use.
pub(super) fn check_account_limit(
    core: &RouterCore,
    identity: &CallerIdentity,
) -> Result<(), CallError> {
    let account = identity.budget.account();
    if core.table.in_progress_of(account) < identity.concurrent as usize {
        return Ok(());
    }
    let message = format!(
        "account {account} has {} requests in progress here",
        identity.concurrent,
    );
    Err(CallError::new(ErrorKind::AccountLimit, message))
}

fn bad_request(message: impl Into<String>) -> CallError {
    CallError::new(ErrorKind::BadRequest, message)
}

fn parse(
    core: &RouterCore,
    request: &HttpRequest,
    identity: CallerIdentity,
) -> Result<ChatCall, CallError> {
    let mut body: Value = serde_json::from_slice(&request.body)
        .map_err(|err| bad_request(format!("the body is not JSON: {err}")))?;
    let Some(fields) = body.as_object_mut() else {
        return Err(bad_request("the body is not a JSON object"));
    };
    let Some(service) = fields.get("model").and_then(Value::as_str) else {
        return Err(bad_request("`model` must name a model"));
    };
    let service = service.to_owned();
    let messages = fields.get("messages").and_then(Value::as_array);
    if messages.is_none_or(Vec::is_empty) {
        return Err(bad_request("`messages` must be a list of messages"));
    }
    let streams = match fields.get("stream") {
        None => false,
        Some(Value::Bool(streams)) => *streams,
        Some(_) => return Err(bad_request("`stream` must be true or false")),
    };
    let document = core.service(&service)?;
    if document.kind != ServiceKind::Model {
        let message = format!("{service:?} is not a model");
        return Err(CallError::new(ErrorKind::UnknownService, message));
    }
    let max_tokens = match fields.get("max_tokens") {
        None => document.max_tokens,
        Some(value) => value
            .as_u64()
            .filter(|n| (1..=LARGEST_MAX_TOKENS).contains(n))
            .ok_or_else(|| {
                bad_request(format!(
                    "`max_tokens` must be from 1 to {LARGEST_MAX_TOKENS}"
                ))
            })?,
    };
    fields.insert("max_tokens".to_owned(), json!(max_tokens));
    if streams {
        // The bill needs the usage, which streams state on request only.
        fields.insert(
            "stream_options".to_owned(),
            json!({"include_usage": true}),
        );
    }
    let body = Bytes::from(body.to_string());
    let key = idempotency_key(request)?;
    let account = identity.budget.account();
    let request_id = match &key {
        None => core.new_request_id(),
        Some(key) => keyed_request_id(account, key),
    };
    // A token covers at least one byte of the prompt.
    let ceiling = body.len() as u64 + max_tokens;
    let fingerprint = xxhash_rust::xxh3::xxh3_64(&body);
    Ok(ChatCall {
        identity,
        service,
        document,
        request_id,
        key,
        fingerprint,
        streams,
        ceiling,
        body,
    })
}

/// Longest idempotency key in bytes.
const KEY_BYTES: usize = 255;

/// The caller's idempotency key, if it gave one.
pub(super) fn idempotency_key(
    request: &HttpRequest,
) -> Result<Option<String>, CallError> {
    let Some(value) = request.head.headers.get("idempotency-key") else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > KEY_BYTES {
        let message = format!(
            "`Idempotency-Key` must have 1 to {KEY_BYTES} printable bytes"
        );
        return Err(bad_request(message));
    }
    Ok(Some(key.to_owned()))
}

/// The identity of a request with an idempotency key: the same at every
/// router, and without characters that a path would need to escape.
fn keyed_request_id(account: &str, key: &str) -> String {
    let full = format!("{account}/{key}");
    format!("key-{:032x}", xxhash_rust::xxh3::xxh3_128(full.as_bytes()))
}

enum DispatchState<'a> {
    Unsent(ReservationGuard<'a>),
    Sent(Reservation<Sent>),
}

/// The attempts to find an upstream that answers.
struct Dispatch<'a> {
    core: &'a Rc<RouterCore>,
    chat: &'a ChatCall,
    state: DispatchState<'a>,
    bill: BillId,
    excluded: Vec<String>,
    failure: Option<CallError>,
    last_address: Option<SocketAddr>,
}

impl<'a> Dispatch<'a> {
    fn new(
        core: &'a Rc<RouterCore>,
        chat: &'a ChatCall,
        guard: ReservationGuard<'a>,
    ) -> Dispatch<'a> {
        let bill = guard.bill();
        let state = DispatchState::Unsent(guard);
        Dispatch {
            core,
            chat,
            state,
            bill,
            excluded: Vec::new(),
            failure: None,
            last_address: None,
        }
    }

    async fn open(&mut self) -> Result<OpenCall, CallError> {
        for attempt in 0..LARGEST_ATTEMPTS {
            let retry = attempt > 0;
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
            if let Some(open) = self.attempt(slot).await? {
                return Ok(open);
            }
        }
        let failure = self.failure.take();
        Err(failure.unwrap_or_else(|| {
            let message =
                format!("no upstream of {} works", self.chat.service);
            CallError::new(ErrorKind::NoUpstream, message)
        }))
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
            version: &version,
            class,
            account: chat.identity.budget.account(),
            excluded: &self.excluded,
            affinity: chat.identity.budget.as_str(),
            wait: Duration::from_millis(wait_ms.copied().unwrap_or(0)),
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
                slot.note_refused();
                return Ok(None);
            }
        };
        self.mark_sent();
        self.last_address = Some(view.address);
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
            slot.note_load(load);
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
                let reason = format!("status {status}");
                let fault = UpstreamFault::Broken { reason };
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

    fn note_failure(&mut self, view: &UpstreamView, fault: &UpstreamFault) {
        log::info!(
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
            head_time: self.core.settings.limits.upstream_time,
        }
    }

    /// Where the request has to run: at `wanted`, unless the key's homes
    /// know that it already runs elsewhere.
    async fn claimed_upstream(
        &self,
        wanted: &UpstreamView,
    ) -> Result<UpstreamView, CallError> {
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
        Ok(UpstreamView {
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

fn sent_failure(fault: &UpstreamFault) -> CallError {
    let kind = match fault {
        UpstreamFault::TimedOut => ErrorKind::UpstreamTimeout,
        _ => ErrorKind::UpstreamFailed,
    };
    CallError::new(kind, format!("the upstream failed: {fault}"))
}

/// The route of a request, for the evidence on versions.
fn route_of(chat: &ChatCall) -> String {
    let mode = if chat.streams { "stream" } else { "whole" };
    format!("chat/{}/{mode}", chat.identity.class.name())
}

/// What the standby is told about a request.
fn relayed_bill(
    chat: &ChatCall,
    bill: BillId,
    upstream: SocketAddr,
    tokens: Option<u64>,
) -> RelayedBill {
    RelayedBill {
        budget: chat.identity.budget.as_str().to_owned(),
        bill,
        request_id: chat.request_id.clone(),
        upstream,
        tokens,
    }
}

/// Bills a request, once.
fn bill(
    core: &RouterCore,
    chat: &ChatCall,
    address: SocketAddr,
    sent: Reservation<Sent>,
    tokens: u64,
) {
    let line = BillLine {
        bill: String::new(),
        budget: chat.identity.budget.as_str().to_owned(),
        request_id: chat.request_id.clone(),
        service: chat.service.clone(),
        tokens: 0,
        vm: String::new(),
        time_ms: 0,
    };
    let id = sent.bill();
    let line = core.keeper.settle(sent, tokens, line);
    let note = relayed_bill(chat, id, address, Some(line.tokens));
    core.keeper.relay_end(note);
    let account = chat.identity.budget.account();
    core.metrics.note_tokens(account, line.tokens);
}

/// Bills the tokens of an answer to whoever owes them.
///
/// A request that an engine already knew is owed under the bill with which
/// it was first sent. This router's own bill is then empty.
fn bill_answer(
    core: &RouterCore,
    chat: &ChatCall,
    open: &OpenCall,
    sent: Reservation<Sent>,
    tokens: u64,
) {
    let own = sent.bill();
    let tokens = tokens.saturating_sub(open.reply.prior_tokens);
    let first = open.reply.bill.as_deref();
    let first = first.and_then(|text| text.parse::<BillId>().ok());
    let Some(first) = first.filter(|first| *first != own) else {
        bill(core, chat, open.address, sent, tokens);
        return;
    };
    bill(core, chat, open.address, sent, 0);
    if !core.keeper.holds(first) {
        core.keeper.settle_for_other(&chat.identity.budget, first, tokens);
    }
}

/// Stops a request at its engine and returns its tokens, or `seen` if the
/// engine cannot be asked.
async fn stop(
    core: &RouterCore,
    address: SocketAddr,
    request_id: &str,
    seen: u64,
) -> u64 {
    match core.ports.upstreams.cancel(address, request_id).await {
        Ok(tokens) => tokens,
        Err(_) => seen,
    }
}

async fn serve_whole(
    core: &Rc<RouterCore>,
    chat: &ChatCall,
    mut open: OpenCall,
    sent: Reservation<Sent>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
    started: Instant,
) -> Result<bool, CallError> {
    let route = route_of(chat);
    let deadline = started + core.settings.limits.upstream_time;
    let version = open.slot.upstream().version.clone();
    let address = open.address;
    let mut body = Vec::new();
    loop {
        let part = monoio::select! {
            part = open.reply.parts.next_part(deadline) => part,
            () = reader.wait_closed() => {
                let tokens = stop(core, address, &chat.request_id, 0).await;
                bill_answer(core, chat, &open, sent, tokens);
                return Ok(false);
            }
        };
        match part {
            Ok(Some(part)) => body.extend_from_slice(&part),
            Ok(None) => break,
            Err(fault) => {
                let service = &chat.service;
                core.note_evidence(service, &version, &route, true, None);
                let tokens = stop(core, address, &chat.request_id, 0).await;
                bill_answer(core, chat, &open, sent, tokens);
                return Err(sent_failure(&fault));
            }
        }
    }
    let latency = open.sent_at.elapsed().as_micros() as u64;
    core.note_evidence(&chat.service, &version, &route, false, Some(latency));
    let tokens = stated_tokens(&body).unwrap_or(chat.ceiling);
    bill_answer(core, chat, &open, sent, tokens);
    drop(open);
    core.metrics.note_answer(chat.identity.budget.account(), "ok");
    let mut response = Response::new(Bytes::from(body));
    set_answer_headers(&mut response, "application/json", chat);
    Ok(responder.send(response).await.is_ok())
}

fn set_answer_headers<B>(
    response: &mut Response<B>,
    content_type: &'static str,
    chat: &ChatCall,
) {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    if let Ok(id) = HeaderValue::from_str(&chat.request_id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
}

async fn serve_stream(
    core: &Rc<RouterCore>,
    chat: &ChatCall,
    mut open: OpenCall,
    sent: Reservation<Sent>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
    started: Instant,
) -> Result<bool, CallError> {
    let account = chat.identity.budget.account();
    let view =
        UpstreamView { address: open.address, ..open.slot.upstream().clone() };
    let nothing: Box<dyn UpstreamParts> = Box::new(NoParts);
    let parts = std::mem::replace(&mut open.reply.parts, nothing);
    let mut relay = StreamRelay::new(
        core,
        view.address,
        open.call.clone(),
        parts,
        started,
    )
    .with_labels(account, chat.identity.class.name());
    let mut end = relay.receive_first(reader).await.err();
    if end.is_none() {
        let mut head = Response::new(());
        set_answer_headers(&mut head, "text/event-stream", chat);
        end = Some(match responder.start_stream(head).await {
            Ok(writer) => relay.run(reader, writer).await,
            Err(fault) => fault.into(),
        });
    }
    let report = relay.report(end.unwrap_or(RelayEnd::CallerGone));
    drop(relay);
    let route = route_of(chat);
    let failed = report.end == RelayEnd::UpstreamLost;
    let latency = report.first_event.map(|time| time.as_micros() as u64);
    core.note_evidence(&chat.service, &view.version, &route, failed, latency);
    let tokens = match report.total_tokens {
        Some(tokens) => tokens,
        None => {
            stop(core, view.address, &chat.request_id, report.events).await
        }
    };
    bill_answer(core, chat, &open, sent, tokens);
    match report.end {
        RelayEnd::Complete => {
            core.metrics.note_answer(account, "ok");
            Ok(true)
        }
        RelayEnd::CallerGone => {
            core.metrics.note_answer(account, "caller_gone");
            Ok(false)
        }
        RelayEnd::UpstreamLost => {
            let message = "the upstream failed within its answer";
            Err(CallError::new(ErrorKind::UpstreamFailed, message))
        }
    }
}

/// The body of an answer whose parts were taken over by a relay.
struct NoParts;

impl UpstreamParts for NoParts {
    fn next_part(
        &mut self,
        _deadline: Instant,
    ) -> PortFuture<'_, Result<Option<Bytes>, UpstreamFault>> {
        Box::pin(std::future::ready(Ok(None)))
    }
}
