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

/// Largest answer that is kept in the log for repetitions, in bytes.
const KEPT_ANSWER_BYTES: usize = 4 * 1024;

/// Upstreams that are tried until one accepts a connection.
const LARGEST_ATTEMPTS: usize = 3;

/// A call that has been understood.
struct ServiceCall {
    identity: CallerIdentity,
    service: String,
    path: String,
    document: ServiceDocument,
    request_id: String,
    body: Bytes,
}

/// The answer of an upstream, read in full.
struct ServiceAnswer {
    status: u16,
    content_type: String,
    body: Bytes,
}

/// Serves one call; `false` if the connection has to be closed.
pub(super) async fn serve(
    core: &Rc<RouterCore>,
    request: &HttpRequest,
    target: &str,
    responder: &mut HttpResponder,
    context: &mut LogContext,
) -> Result<bool, CallError> {
    let started = Instant::now();
    let identity = core.identify(request.header("authorization"))?;
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
    let answer = match call.document.kind {
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
        _ => run_repeatable(core, &call).await?,
    };
    let account = call.identity.budget.account();
    core.metrics.note_answer(account, "ok");
    let class = call.identity.class.name();
    core.metrics.note_duration(account, class, started.elapsed());
    Ok(responder.send(response_of(answer)).await.is_ok())
}

fn response_of(answer: ServiceAnswer) -> Response<Bytes> {
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

/// Runs a call at most once over the whole fleet.
async fn run_once(
    core: &Rc<RouterCore>,
    call: &ServiceCall,
    key: &str,
) -> Result<ServiceAnswer, CallError> {
    let account = call.identity.budget.account();
    let fingerprint = fingerprint_of(call);
    let claim = core.keeper.claim(account, key, fingerprint).await?;
    let attempt = match claim {
        CallClaim::Won { attempt } => attempt,
        CallClaim::Taken(intent) => {
            if intent.fingerprint != fingerprint {
                let message = "the idempotency key belongs to another call";
                return Err(CallError::new(ErrorKind::KeyReused, message));
            }
            return earlier_answer(core, intent);
        }
    };
    let outcome = |outcome| {
        core.keeper.record_outcome(account, key, attempt, outcome);
    };
    let opened = match open(core, call).await {
        Ok(opened) => opened,
        Err(error) => {
            outcome(CallOutcome::NotRun);
            return Err(error);
        }
    };
    let (answer, reservation) = opened.send(core, call).await;
    match answer {
        Ok(answer) => {
            outcome(answered(&answer));
            bill(core, call, reservation, call.document.price);
            Ok(answer)
        }
        Err(fault) => {
            outcome(CallOutcome::Unknown);
            // Whether the call ran cannot be told, so it is paid for.
            bill(core, call, reservation, call.document.price);
            let message = format!(
                "the call was sent and its answer was lost ({fault}); it \
                 will not be sent again"
            );
            Err(CallError::new(ErrorKind::OutcomeUnknown, message))
        }
    }
}

/// What a repetition of an announced call is told.
fn earlier_answer(
    core: &RouterCore,
    intent: crate::budget::IntentState,
) -> Result<ServiceAnswer, CallError> {
    match intent.outcome {
        Some(CallOutcome::Answered { status, body: Some(body) }) => {
            Ok(ServiceAnswer {
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
            Ok(ServiceAnswer { status, content_type, body: body.into() })
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

fn answered(answer: &ServiceAnswer) -> CallOutcome {
    let text = String::from_utf8(answer.body.to_vec()).ok();
    let kept = text.filter(|text| text.len() <= KEPT_ANSWER_BYTES);
    CallOutcome::Answered { status: answer.status, body: kept }
}

fn fingerprint_of(call: &ServiceCall) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(call.path.as_bytes());
    let seed = seed ^ xxhash_rust::xxh3::xxh3_64(call.service.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(&call.body, seed)
}

/// Runs a call that may be repeated.
async fn run_repeatable(
    core: &Rc<RouterCore>,
    call: &ServiceCall,
) -> Result<ServiceAnswer, CallError> {
    core.retries.borrow_mut().record_request();
    let mut retried = false;
    loop {
        let opened = open(core, call).await?;
        let (answer, reservation) = opened.send(core, call).await;
        match answer {
            Ok(answer) if answer.status < 500 || retried => {
                bill(core, call, reservation, call.document.price);
                return Ok(answer);
            }
            Ok(_) => bill(core, call, reservation, 0),
            Err(fault) => {
                bill(core, call, reservation, 0);
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
        if !core.retries.borrow_mut().try_spend() {
            core.metrics.note_event("retry_refused");
            let message = "the upstream failed, and retries are used up";
            return Err(CallError::new(ErrorKind::UpstreamFailed, message));
        }
    }
}

/// A connection for a call, with everything that the call needs.
struct OpenedCall {
    slot: UpstreamSlot,
    link: Box<dyn UpstreamConnection>,
    reservation: Reservation<Unsent>,
}

/// Reserves the price and a slot, and connects; nothing has left yet.
async fn open(
    core: &Rc<RouterCore>,
    call: &ServiceCall,
) -> Result<OpenedCall, CallError> {
    let budget = &call.identity.budget;
    let price = call.document.price;
    let reservation = core.keeper.reserve(budget, price).await?;
    match connect(core, call).await {
        Ok((slot, link)) => Ok(OpenedCall { slot, link, reservation }),
        Err(error) => {
            core.keeper.release(reservation);
            Err(error)
        }
    }
}

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
        core.version_of(&call.service, &call.document, &call.request_id);
    let mut excluded = Vec::new();
    for _ in 0..LARGEST_ATTEMPTS {
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
        let slot = core.table.admit(&request).await?;
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
                note_call(core, call, slot.upstream().version.as_str(), true);
                slot.record_refused_connection();
                excluded.push(slot.upstream().vm.clone());
            }
        }
    }
    let message = format!("no upstream of {} can be reached", call.service);
    Err(CallError::new(ErrorKind::NoUpstream, message))
}

fn note_call(core: &RouterCore, call: &ServiceCall, v: &str, failed: bool) {
    let route = format!("call{}", call.path);
    core.note_evidence(&call.service, v, &route, failed, None);
}

impl OpenedCall {
    /// Sends the call and reads the whole answer.
    async fn send(
        self,
        core: &Rc<RouterCore>,
        call: &ServiceCall,
    ) -> (Result<ServiceAnswer, UpstreamFault>, Reservation<Sent>) {
        let OpenedCall { slot, link, reservation } = self;
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
        let answer = match link.send(upstream_call).await {
            Ok(reply) => read_answer(reply, deadline).await,
            Err(fault) => Err(fault),
        };
        let failed = !matches!(&answer, Ok(answer) if answer.status < 500);
        note_call(core, call, &slot.upstream().version, failed);
        (answer, reservation)
    }
}

async fn read_answer(
    mut reply: UpstreamReply,
    deadline: Instant,
) -> Result<ServiceAnswer, UpstreamFault> {
    let mut body = Vec::new();
    while let Some(part) = reply.body.next_chunk(deadline).await? {
        body.extend_from_slice(&part);
    }
    Ok(ServiceAnswer {
        status: reply.status,
        content_type: reply.content_type,
        body: Bytes::from(body),
    })
}

fn bill(
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
