//! Calls of plain services.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{HeaderValue, Response, header::CONTENT_TYPE},
};

use super::{
    CallerIdentity, RouterCore,
    chat::{check_account_limit, idempotency_key},
};
use crate::{
    adapters::http::{HttpRequest, HttpResponder},
    budget::{BillLine, CallClaim, CallOutcome, Reservation, Sent, Unsent},
    config::{CallClass, ServiceDocument, ServiceKind},
    error::{CallError, ErrorKind},
    ports::{UpstreamCall, UpstreamConnection, UpstreamFault, UpstreamReply},
    routing::{AdmitRequest, PlacementHint, UpstreamSlot},
    telemetry::{LogContext, LogEvent},
};

/// Maximum size in bytes of a response body that is stored in the log in
/// order to answer repetitions of the call.
const MAX_STORED_BODY_BYTES: usize = 4 * 1024;

/// Maximum number of upstreams to which a connection is attempted.
const MAX_ATTEMPTS: usize = 3;

/// A validated call.
struct ServiceCall {
    identity: CallerIdentity,
    service: String,
    path: String,
    document: ServiceDocument,
    request_id: String,
    body: Bytes,
}

/// The complete response of an upstream.
struct ServiceResponse {
    status: u16,
    content_type: String,
    body: Bytes,
}

/// Serves one call and returns whether the connection can be kept open.
pub(super) async fn serve(
    core: &Rc<RouterCore>,
    request: &HttpRequest,
    target: &str,
    responder: &mut HttpResponder,
    context: &mut LogContext,
) -> Result<bool, CallError> {
    let started = Instant::now();
    let identity = core.authenticate(request.header("authorization"))?;
    context.account = identity.budget.account().to_owned();
    let (service, path) = target.split_once('/').unwrap_or((target, ""));
    let document = core.service(service)?;
    if document.kind == ServiceKind::Model {
        let message = format!("{service:?} is a model, not a plain service");
        return Err(CallError::new(ErrorKind::UnknownService, message));
    }
    check_account_limit(core, &identity)?;
    let call = ServiceCall {
        identity,
        service: service.to_owned(),
        path: format!("/{path}"),
        document,
        request_id: core.new_request_id(),
        body: request.body.clone(),
    };
    context.request_id = call.request_id.clone();
    let response = match call.document.kind {
        ServiceKind::PlainOnce => {
            let key = idempotency_key(request)?;
            let Some(key) = key else {
                let message = "an `Idempotency-Key` header is needed, because \
                               the call must not run twice";
                return Err(CallError::new(
                    ErrorKind::MissingIdempotencyKey,
                    message,
                ));
            };
            run_once(core, &call, &key).await?
        }
        _ => run_idempotent(core, &call).await?,
    };
    let account = call.identity.budget.account();
    core.metrics.note_answer(account, "ok");
    let class = call.identity.class.name();
    core.metrics.note_duration(account, class, started.elapsed());
    Ok(responder.send(http_response(response)).await.is_ok())
}

fn http_response(answer: ServiceResponse) -> Response<Bytes> {
    let mut response = Response::new(answer.body);
    if let Ok(status) = http::StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    let content_type = HeaderValue::from_str(&answer.content_type);
    if let Ok(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// Executes a call at most once over the whole fleet.
///
/// The router first claims the idempotency key in the log. If another call
/// has claimed it, that call's outcome is returned instead.
async fn run_once(
    core: &Rc<RouterCore>,
    call: &ServiceCall,
    key: &str,
) -> Result<ServiceResponse, CallError> {
    let account = call.identity.budget.account();
    let fingerprint = fingerprint(call);
    let claim = core.keeper.claim(account, key, fingerprint).await?;
    let attempt = match claim {
        CallClaim::Won { attempt } => attempt,
        CallClaim::Taken(intent) => {
            if intent.fingerprint != fingerprint {
                let message = "the idempotency key belongs to another call";
                return Err(CallError::new(ErrorKind::KeyReused, message));
            }
            return replay_outcome(core, intent);
        }
    };
    let record_outcome = |outcome| {
        core.keeper.record_outcome(account, key, attempt, outcome);
    };
    let connected = match reserve_and_connect(core, call).await {
        Ok(connected) => connected,
        Err(error) => {
            record_outcome(CallOutcome::NotRun);
            return Err(error);
        }
    };
    let (response, reservation) = connected.send(core, call).await;
    match response {
        Ok(response) => {
            record_outcome(answered_outcome(&response));
            settle_bill(core, call, reservation, call.document.price);
            Ok(response)
        }
        Err(fault) => {
            record_outcome(CallOutcome::Unknown);
            // The call may have been executed, so it is billed.
            settle_bill(core, call, reservation, call.document.price);
            let message = format!(
                "the call was sent and its answer was lost ({fault}); it \
                 will not be sent again"
            );
            Err(CallError::new(ErrorKind::OutcomeUnknown, message))
        }
    }
}

/// Returns the response to a repetition of a call that has already claimed
/// its idempotency key.
fn replay_outcome(
    core: &RouterCore,
    intent: crate::budget::IntentState,
) -> Result<ServiceResponse, CallError> {
    match intent.outcome {
        Some(CallOutcome::Answered { status, body: Some(body) }) => {
            Ok(ServiceResponse {
                status,
                content_type: "application/json".to_owned(),
                body: Bytes::from(body),
            })
        }
        Some(CallOutcome::Answered { status, body: None }) => {
            let body = format!(
                "{{\"status\":{status},\"note\":\"the call ran before; its \
                 answer was too large to be kept\"}}"
            );
            let content_type = "application/json".to_owned();
            Ok(ServiceResponse { status, content_type, body: body.into() })
        }
        Some(CallOutcome::Unknown) => {
            let message = "the call was sent before and its answer was lost; \
                           it will not be sent again";
            Err(CallError::new(ErrorKind::OutcomeUnknown, message))
        }
        Some(CallOutcome::NotRun) | None => {
            if core.members.has_ended(&intent.holder) {
                let message = "the router that announced the call is gone; \
                               it will not be sent again";
                return Err(CallError::new(
                    ErrorKind::OutcomeUnknown,
                    message,
                ));
            }
            let message = "a call with this idempotency key is in progress";
            Err(CallError::new(ErrorKind::CallInProgress, message))
        }
    }
}

/// Returns the outcome to record for a call, with the body unless it is too
/// large or not UTF-8.
fn answered_outcome(response: &ServiceResponse) -> CallOutcome {
    let text = String::from_utf8(response.body.to_vec()).ok();
    let stored = text.filter(|text| text.len() <= MAX_STORED_BODY_BYTES);
    CallOutcome::Answered { status: response.status, body: stored }
}

fn fingerprint(call: &ServiceCall) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(call.path.as_bytes());
    let seed = seed ^ xxhash_rust::xxh3::xxh3_64(call.service.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(&call.body, seed)
}

/// Executes an idempotent call, with one retry if the upstream fails and the
/// retry budget allows it.
async fn run_idempotent(
    core: &Rc<RouterCore>,
    call: &ServiceCall,
) -> Result<ServiceResponse, CallError> {
    core.retry_budget.borrow_mut().record_request();
    let mut retried = false;
    loop {
        let connected = reserve_and_connect(core, call).await?;
        let (response, reservation) = connected.send(core, call).await;
        match response {
            Ok(response) if response.status < 500 || retried => {
                settle_bill(core, call, reservation, call.document.price);
                return Ok(response);
            }
            Ok(_) => settle_bill(core, call, reservation, 0),
            Err(fault) => {
                settle_bill(core, call, reservation, 0);
                if retried {
                    let message = format!("the upstream failed: {fault}");
                    return Err(CallError::new(
                        ErrorKind::UpstreamFailed,
                        message,
                    ));
                }
            }
        }
        retried = true;
        if !core.retry_budget.borrow_mut().try_spend() {
            core.metrics.note_event("retry_refused");
            let message = "the upstream failed, and retries are used up";
            return Err(CallError::new(ErrorKind::UpstreamFailed, message));
        }
    }
}

/// A connection to an upstream with the slot and the reservation for a call.
struct ConnectedCall {
    slot: UpstreamSlot,
    link: Box<dyn UpstreamConnection>,
    reservation: Reservation<Unsent>,
}

/// Reserves the price of a call and connects to an upstream, without sending
/// anything yet.
async fn reserve_and_connect(
    core: &Rc<RouterCore>,
    call: &ServiceCall,
) -> Result<ConnectedCall, CallError> {
    let budget = &call.identity.budget;
    let price = call.document.price;
    let reservation = core.keeper.reserve(budget, price).await?;
    match connect(core, call).await {
        Ok((slot, link)) => Ok(ConnectedCall { slot, link, reservation }),
        Err(error) => {
            core.keeper.release(reservation);
            Err(error)
        }
    }
}

/// Obtains a slot at an upstream and connects to it; tries further upstreams
/// if a connection fails.
async fn connect(
    core: &Rc<RouterCore>,
    call: &ServiceCall,
) -> Result<(UpstreamSlot, Box<dyn UpstreamConnection>), CallError> {
    let preset = core.preset();
    let class = call.identity.class;
    let wait_ms = preset.as_ref().and_then(|p| p.queue_wait_ms.get(&class));
    let max_wait = Duration::from_millis(wait_ms.copied().unwrap_or(0));
    let draft_percent = preset.map_or(100, |p| p.draft_percent);
    let version =
        core.select_version(&call.service, &call.document, &call.request_id);
    let mut excluded = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let request = AdmitRequest {
            service: &call.service,
            version: Some(&version),
            avoided_version: None,
            priority: class.priority(),
            is_draft: class == CallClass::Draft,
            account: call.identity.budget.account(),
            excluded: &excluded,
            affinity: "",
            hint: PlacementHint::default(),
            max_wait,
            draft_percent,
        };
        let slot = core.upstream_table.admit(&request).await?;
        let address = slot.upstream().address;
        match core.ports.upstreams.connect(address).await {
            Ok(link) => return Ok((slot, link)),
            Err(fault) => {
                log::info!(
                    event:% = LogEvent::AttemptFailed,
                    request_id = call.request_id.as_str(),
                    upstream = slot.upstream().vm.as_str();
                    "attempt failed: {fault}"
                );
                core.metrics.note_event("connect_failed");
                record_call(
                    core,
                    call,
                    slot.upstream().version.as_str(),
                    true,
                );
                slot.record_refused_connection();
                excluded.push(slot.upstream().vm.clone());
            }
        }
    }
    let message = format!("no upstream of {} can be reached", call.service);
    Err(CallError::new(ErrorKind::NoUpstream, message))
}

/// Records the result of a call as evidence on the version that served it.
fn record_call(core: &RouterCore, call: &ServiceCall, v: &str, failed: bool) {
    let route = format!("call{}", call.path);
    core.record_evidence(&call.service, v, &route, failed, None);
}

impl ConnectedCall {
    /// Sends the call and reads the complete response.
    async fn send(
        self,
        core: &Rc<RouterCore>,
        call: &ServiceCall,
    ) -> (Result<ServiceResponse, UpstreamFault>, Reservation<Sent>) {
        let ConnectedCall { slot, link, reservation } = self;
        let bill = reservation.bill();
        let reservation = reservation.into_sent();
        let head_timeout = core.settings.limits.upstream_time;
        let deadline = Instant::now() + head_timeout;
        let upstream_call = UpstreamCall {
            path: call.path.clone(),
            request_id: call.request_id.clone(),
            bill: bill.to_string(),
            fence: bill.portion.grant,
            priority: call.identity.class.priority(),
            resume_from: 0,
            body: call.body.clone(),
            head_timeout,
        };
        let response = match link.send(upstream_call).await {
            Ok(reply) => read_response(reply, deadline).await,
            Err(fault) => Err(fault),
        };
        let failed =
            !matches!(&response, Ok(response) if response.status < 500);
        record_call(core, call, &slot.upstream().version, failed);
        (response, reservation)
    }
}

async fn read_response(
    mut reply: UpstreamReply,
    deadline: Instant,
) -> Result<ServiceResponse, UpstreamFault> {
    let mut body = Vec::new();
    while let Some(chunk) = reply.body.next_chunk(deadline).await? {
        body.extend_from_slice(&chunk);
    }
    Ok(ServiceResponse {
        status: reply.status,
        content_type: reply.content_type,
        body: Bytes::from(body),
    })
}

/// Settles the reservation of a call at `tokens`.
fn settle_bill(
    core: &RouterCore,
    call: &ServiceCall,
    reservation: Reservation<Sent>,
    tokens: u64,
) {
    let budget = &call.identity.budget;
    let line = BillLine::new(budget, &call.request_id, &call.service);
    let line = core.keeper.settle(reservation, tokens, line);
    core.metrics.note_tokens(budget.account(), line.tokens);
}
