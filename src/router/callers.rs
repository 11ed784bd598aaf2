//! Connections of callers.

use std::rc::Rc;

use {
    http::Method,
    monoio::net::{TcpListener, TcpStream},
    serde_json::json,
    tokio::sync::Notify,
};

use super::{RouterCore, chat, service_call};
use crate::{
    adapters::http::{
        HttpConnection, HttpFault, HttpRequest, HttpResponder, MessageLimits,
        RequestReader, accept_until, json_response, message_error,
    },
    entry::{EntryAnswer, EntryHealth, rank_entries},
    error::{CallError, ErrorKind},
    telemetry::LogContext,
};

/// Path of the chat-completions endpoint.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path below which plain services are called.
const SERVICES_PATH: &str = "/v1/services/";

/// Path of entry answers.
const ENTRY_PATH: &str = "/v1/entry";

/// Accepts callers until `stop` is notified.
pub(super) async fn run_listener(
    core: Rc<RouterCore>,
    listener: TcpListener,
    stop: Rc<Notify>,
) {
    let take = |stream| {
        let open = core.metrics.connections.get() as usize;
        if open >= core.settings.limits.connections {
            core.metrics.note_event("connection_refused");
            return;
        }
        let core = core.clone();
        monoio::spawn(async move {
            core.metrics.connections.inc();
            serve_connection(&core, stream).await;
            core.metrics.connections.dec();
        });
    };
    accept_until(listener, stop, take).await;
}

/// Serves the requests of one connection, one after another.
async fn serve_connection(core: &Rc<RouterCore>, stream: TcpStream) {
    let limits = &core.settings.limits;
    let message = MessageLimits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        message_time: limits.request_time,
    };
    let connection = HttpConnection::new(stream);
    let (mut reader, mut responder) = connection.into_server(message);
    loop {
        let request = reader.next_request(limits.idle_time).await;
        let request = match request {
            Ok(request) => request,
            Err(fault) => {
                refuse_message(core, &mut responder, &fault).await;
                return;
            }
        };
        // Callers are told that a connection ends. One that ended without
        // a word would cut off a request that is under way to it.
        let keeps = request.keeps_alive() && !core.leaving.get();
        responder.reset(!keeps);
        core.in_progress.set(core.in_progress.get() + 1);
        let served =
            serve_request(core, &request, &mut reader, &mut responder).await;
        core.in_progress.set(core.in_progress.get() - 1);
        if !served || !keeps {
            return;
        }
    }
}

/// Answers a message that is not a valid request.
async fn refuse_message(
    core: &RouterCore,
    responder: &mut HttpResponder,
    fault: &HttpFault,
) {
    let Some(error) = message_error(fault) else {
        return;
    };
    core.metrics.note_answer("", error.kind.code());
    // The caller may be gone, and the connection ends in any case.
    let _ = responder.send_last(error_response(&error)).await;
}

/// The response that tells a caller about an error.
pub(super) fn error_response(
    error: &CallError,
) -> http::Response<bytes::Bytes> {
    let status = error.kind.answer().status;
    let mut response = json_response(status, &error.to_json());
    if let Some(seconds) = error.retry_after() {
        let headers = response.headers_mut();
        headers.insert(http::header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Serves one request; `false` if the connection has to be closed.
async fn serve_request(
    core: &Rc<RouterCore>,
    request: &HttpRequest,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) -> bool {
    let mut context = LogContext::default();
    let served =
        route_request(core, request, reader, responder, &mut context).await;
    let error = match served {
        Ok(keeps) => return keeps,
        Err(error) => error,
    };
    core.metrics.note_answer(&context.account, error.kind.code());
    log::info!(
        request_id = context.request_id.as_str(),
        account = context.account.as_str(),
        kind = error.kind.code();
        "request refused: {}", error.message
    );
    if responder.has_begun() {
        return false;
    }
    responder.send(error_response(&error)).await.is_ok()
}

async fn route_request(
    core: &Rc<RouterCore>,
    request: &HttpRequest,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
    context: &mut LogContext,
) -> Result<bool, CallError> {
    let path = request.path();
    if path == ENTRY_PATH {
        expect_method(request, &Method::GET)?;
        let answer = entry_answer(core, request);
        let response = json_response(200, &json!(answer));
        return Ok(responder.send(response).await.is_ok());
    }
    if path == CHAT_PATH {
        expect_method(request, &Method::POST)?;
        return chat::serve(core, request, reader, responder, context).await;
    }
    if let Some(target) = path.strip_prefix(SERVICES_PATH) {
        expect_method(request, &Method::POST)?;
        return service_call::serve(core, request, target, responder, context)
            .await;
    }
    let message = format!("there is no endpoint {path}");
    Err(CallError::new(ErrorKind::UnknownPath, message))
}

fn expect_method(
    request: &HttpRequest,
    method: &Method,
) -> Result<(), CallError> {
    if request.head.method == *method {
        return Ok(());
    }
    let message = format!("the endpoint takes {method} only");
    Err(CallError::new(ErrorKind::MethodNotAllowed, message))
}

/// The addresses that a caller should use.
///
/// A caller without a key gets an answer too, only not one that keeps its
/// account on few routers.
fn entry_answer(core: &RouterCore, request: &HttpRequest) -> EntryAnswer {
    let identity = core.identify(request.header("authorization"));
    let account = match &identity {
        Ok(identity) => identity.budget.account().to_owned(),
        Err(_) => core.new_request_id(),
    };
    let query = request.head.uri.query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut region = core.settings.region.clone();
    for (key, value) in pairs {
        if key == "region" {
            value.clone_into(&mut region);
        }
    }
    let vms = core.directory.vms();
    let own_vm = &core.settings.vm;
    let addresses = rank_entries(vms.iter(), &account, &region, |vm| {
        if vm == own_vm {
            return EntryHealth {
                unusable: core.leaving.get(),
                full: core.table.spare() == 0,
            };
        }
        core.members.health(vm)
    });
    let lifetime_s = core.settings.entry_lifetime.as_secs().max(1);
    EntryAnswer { addresses, lifetime_s }
}
