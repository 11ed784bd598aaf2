//! Forwarding of an upstream's response to the caller.

use std::{rc::Rc, time::Instant};

use {
    bytes::Bytes,
    http::{HeaderValue, Response, header::CONTENT_TYPE},
};

use super::{
    super::{
        RouterCore,
        relay::{RelayEnd, StreamRelay},
        sse::parse_total_tokens,
    },
    bill::{cancel_request, settle_answer},
    dispatch::{OpenCall, evidence_route, upstream_error},
    parse::ChatCall,
};
use crate::{
    adapters::{
        http::{HttpResponder, RequestReader},
        upstream::REQUEST_ID_HEADER,
    },
    budget::{Reservation, Sent},
    error::{CallError, ErrorKind},
    ports::{PortFuture, UpstreamBody, UpstreamFault},
    routing::AssignedUpstream,
};

/// The result of forwarding a response.
pub(super) enum AnswerOutcome {
    /// The request has ended. The value tells whether the connection can be
    /// kept open.
    Finished(Result<bool, CallError>),
    /// The upstream failed before anything was sent to the caller, so that
    /// the request may be retried at another upstream.
    UpstreamFailed(Reservation<Sent>, CallError),
}

/// Forwards a response to the caller and settles its bill.
pub(super) async fn serve(
    core: &Rc<RouterCore>,
    chat: &ChatCall,
    open_call: OpenCall,
    reservation: Reservation<Sent>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) -> AnswerOutcome {
    if chat.is_stream {
        return serve_stream(
            core,
            chat,
            open_call,
            reservation,
            reader,
            responder,
        )
        .await;
    }
    serve_whole(core, chat, open_call, reservation, reader, responder).await
}

/// Reads a complete response and forwards it.
async fn serve_whole(
    core: &Rc<RouterCore>,
    chat: &ChatCall,
    mut open_call: OpenCall,
    reservation: Reservation<Sent>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) -> AnswerOutcome {
    let route = evidence_route(chat);
    let deadline = open_call.sent_at + core.settings.limits.upstream_time;
    let version = open_call.slot.upstream().version.clone();
    let address = open_call.address;
    let limit = core.settings.limits.answer_bytes;
    let mut body = Vec::new();
    loop {
        let chunk = monoio::select! {
            chunk = open_call.reply.body.next_chunk(deadline) => chunk,
            () = reader.wait_closed() => {
                let tokens =
                    cancel_request(core, address, &chat.request_id, 0).await;
                settle_answer(core, chat, &open_call, reservation, tokens);
                return AnswerOutcome::Finished(Ok(false));
            }
        };
        match chunk {
            Ok(Some(chunk)) if body.len() + chunk.len() > limit => {
                let service = &chat.service;
                core.record_evidence(service, &version, &route, true, None);
                let fault = UpstreamFault::broken("an answer is too large");
                return AnswerOutcome::UpstreamFailed(
                    reservation,
                    upstream_error(&fault),
                );
            }
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(fault) => {
                let service = &chat.service;
                core.record_evidence(service, &version, &route, true, None);
                return AnswerOutcome::UpstreamFailed(
                    reservation,
                    upstream_error(&fault),
                );
            }
        }
    }
    let latency = open_call.sent_at.elapsed().as_micros() as u64;
    core.record_evidence(
        &chat.service,
        &version,
        &route,
        false,
        Some(latency),
    );
    let tokens = parse_total_tokens(&body).unwrap_or(chat.ceiling);
    settle_answer(core, chat, &open_call, reservation, tokens);
    drop(open_call);
    core.metrics.note_answer(chat.identity.budget.account(), "ok");
    let mut response = Response::new(Bytes::from(body));
    set_answer_headers(&mut response, "application/json", chat);
    AnswerOutcome::Finished(Ok(responder.send(response).await.is_ok()))
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

/// Forwards a stream of events as it arrives.
async fn serve_stream(
    core: &Rc<RouterCore>,
    chat: &ChatCall,
    mut open_call: OpenCall,
    reservation: Reservation<Sent>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) -> AnswerOutcome {
    let account = chat.identity.budget.account();
    let view = AssignedUpstream {
        address: open_call.address,
        ..open_call.slot.upstream().clone()
    };
    let empty: Box<dyn UpstreamBody> = Box::new(EmptyBody);
    let body = std::mem::replace(&mut open_call.reply.body, empty);
    let mut relay = StreamRelay::new(
        core,
        view.address,
        open_call.call.clone(),
        body,
        open_call.sent_at,
    )
    .with_labels(account, chat.identity.class.name());
    let mut end = relay.receive_first(reader).await.err();
    if end == Some(RelayEnd::UpstreamLost) {
        let service = &chat.service;
        let route = evidence_route(chat);
        core.record_evidence(service, &view.version, &route, true, None);
        let message = "the upstream failed before its answer began";
        let error = CallError::new(ErrorKind::UpstreamFailed, message);
        return AnswerOutcome::UpstreamFailed(reservation, error);
    }
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
    let route = evidence_route(chat);
    let failed = report.end == RelayEnd::UpstreamLost;
    let latency = report.first_event.map(|time| time.as_micros() as u64);
    core.record_evidence(
        &chat.service,
        &view.version,
        &route,
        failed,
        latency,
    );
    let tokens = match report.total_tokens {
        Some(tokens) => tokens,
        None => {
            cancel_request(core, view.address, &chat.request_id, report.events)
                .await
        }
    };
    settle_answer(core, chat, &open_call, reservation, tokens);
    AnswerOutcome::Finished(match report.end {
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
    })
}

/// An empty body, which takes the place of one that was moved to a relay.
struct EmptyBody;

impl UpstreamBody for EmptyBody {
    fn next_chunk(
        &mut self,
        _deadline: Instant,
    ) -> PortFuture<'_, Result<Option<Bytes>, UpstreamFault>> {
        Box::pin(std::future::ready(Ok(None)))
    }

    fn hold(
        &mut self,
        _bytes: usize,
        _deadline: Instant,
    ) -> PortFuture<'_, Result<(), UpstreamFault>> {
        Box::pin(std::future::ready(Ok(())))
    }

    fn is_delimited(&self) -> bool {
        true
    }
}
