//! Bringing an answer to the caller.

use std::{rc::Rc, time::Instant};

use {
    bytes::Bytes,
    http::{HeaderValue, Response, header::CONTENT_TYPE},
};

use super::{
    super::{
        RouterCore,
        relay::{RelayEnd, StreamRelay},
        sse::stated_tokens,
    },
    bill::{bill_answer, stop},
    dispatch::{OpenCall, route_of, sent_failure},
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

/// How the service of an answer ended.
pub(super) enum AnswerEnd {
    /// The request is over; `false` if the connection has to be closed.
    Ended(Result<bool, CallError>),
    /// The upstream failed before anything went to the caller, so that
    /// another one may be tried.
    Lost(Reservation<Sent>, CallError),
}

/// Brings an answer to the caller and bills it.
pub(super) async fn serve(
    core: &Rc<RouterCore>,
    chat: &ChatCall,
    open: OpenCall,
    sent: Reservation<Sent>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) -> AnswerEnd {
    if chat.streams {
        return serve_stream(core, chat, open, sent, reader, responder).await;
    }
    serve_whole(core, chat, open, sent, reader, responder).await
}

async fn serve_whole(
    core: &Rc<RouterCore>,
    chat: &ChatCall,
    mut open: OpenCall,
    sent: Reservation<Sent>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) -> AnswerEnd {
    let route = route_of(chat);
    let deadline = open.sent_at + core.settings.limits.upstream_time;
    let version = open.slot.upstream().version.clone();
    let address = open.address;
    let mut body = Vec::new();
    loop {
        let part = monoio::select! {
            part = open.reply.body.next_chunk(deadline) => part,
            () = reader.wait_closed() => {
                let tokens = stop(core, address, &chat.request_id, 0).await;
                bill_answer(core, chat, &open, sent, tokens);
                return AnswerEnd::Ended(Ok(false));
            }
        };
        match part {
            Ok(Some(part)) => body.extend_from_slice(&part),
            Ok(None) => break,
            Err(fault) => {
                let service = &chat.service;
                core.note_evidence(service, &version, &route, true, None);
                return AnswerEnd::Lost(sent, sent_failure(&fault));
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
    AnswerEnd::Ended(Ok(responder.send(response).await.is_ok()))
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
) -> AnswerEnd {
    let account = chat.identity.budget.account();
    let view = AssignedUpstream {
        address: open.address,
        ..open.slot.upstream().clone()
    };
    let nothing: Box<dyn UpstreamBody> = Box::new(NoParts);
    let parts = std::mem::replace(&mut open.reply.body, nothing);
    let mut relay = StreamRelay::new(
        core,
        view.address,
        open.call.clone(),
        parts,
        open.sent_at,
    )
    .with_labels(account, chat.identity.class.name());
    let mut end = relay.receive_first(reader).await.err();
    if end == Some(RelayEnd::UpstreamLost) {
        let service = &chat.service;
        let route = route_of(chat);
        core.note_evidence(service, &view.version, &route, true, None);
        let message = "the upstream failed before its answer began";
        let error = CallError::new(ErrorKind::UpstreamFailed, message);
        return AnswerEnd::Lost(sent, error);
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
    AnswerEnd::Ended(match report.end {
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

/// The body of an answer whose parts were taken over by a relay.
struct NoParts;

impl UpstreamBody for NoParts {
    fn next_chunk(
        &mut self,
        _deadline: Instant,
    ) -> PortFuture<'_, Result<Option<Bytes>, UpstreamFault>> {
        Box::pin(std::future::ready(Ok(None)))
    }
}
