//! Connections of callers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use {
    monoio::net::{TcpListener, TcpStream},
    tokio::sync::Notify,
};

use super::{ProcessCore, ProcessView};
use crate::{
    adapters::http::{
        HttpConnection, HttpFault, HttpRequest, HttpResponder, MessageLimits,
        RequestReader, accept_until, message_error,
    },
    catalog::CallerLimits,
    error::CallError,
    telemetry::LogEvent,
};

/// Accepts callers until `stop` is notified.
pub(crate) async fn run_callers<C: ProcessCore>(
    core: Rc<C>,
    listener: TcpListener,
    stop: Rc<Notify>,
) {
    let take = |stream| {
        let ProcessView { metrics, settings, .. } = core.view();
        let open = metrics.connections.get() as usize;
        if open >= settings.limits.connections {
            metrics.note_event("connection_refused");
            return;
        }
        let core = core.clone();
        monoio::spawn(async move {
            core.view().metrics.connections.inc();
            serve_connection(&core, stream).await;
            core.view().metrics.connections.dec();
        });
    };
    accept_until(listener, stop, take).await;
}

/// Serves the requests of one connection, one after another.
async fn serve_connection<C: ProcessCore>(core: &Rc<C>, stream: TcpStream) {
    let connection = HttpConnection::new(stream);
    let limits = message_limits(&core.caller_limits());
    let (mut reader, mut responder) = connection.into_server(limits);
    loop {
        let request = match next_request(core.as_ref(), &mut reader).await {
            Ok(request) => request,
            Err(fault) => {
                refuse_message(core, &mut responder, &fault).await;
                return;
            }
        };
        // Callers are told that a connection ends. One that ended without
        // a word would cut off a request that is under way to it.
        let keeps = request.keeps_alive() && !core.is_leaving();
        responder.reset(!keeps);
        let ProcessView { load, .. } = core.view();
        load.set(load.get() + 1);
        let served = core.serve_call(request, &mut reader, &mut responder);
        let served = served.await;
        load.set(load.get() - 1);
        if !served || !keeps {
            return;
        }
    }
}

fn message_limits(limits: &CallerLimits) -> MessageLimits {
    MessageLimits {
        head_bytes: limits.max_head_bytes,
        body_bytes: limits.max_body_bytes,
        message_timeout: limits.request_timeout,
        stall_timeout: None,
    }
}

/// Reads the next request within the limits that are in force by then.
async fn next_request<C: ProcessCore>(
    core: &C,
    reader: &mut RequestReader,
) -> Result<HttpRequest, HttpFault> {
    let idle_since = Instant::now();
    loop {
        let idle_timeout = core.caller_limits().idle_timeout;
        let left = idle_timeout.saturating_sub(idle_since.elapsed());
        if left.is_zero() {
            return Err(HttpFault::Closed);
        }
        match reader.wait_request(left).await {
            // A longer time may have come into force.
            Err(HttpFault::TimedOut) => {}
            Err(fault) => return Err(fault),
            Ok(()) => break,
        }
    }
    reader.set_limits(message_limits(&core.caller_limits()));
    reader.next_request(Duration::ZERO).await
}

/// Answers a request that is not served; `false` if the caller is gone.
pub(crate) async fn refuse<C: ProcessCore>(
    core: &Rc<C>,
    responder: &mut HttpResponder,
    request_id: &str,
    error: &CallError,
) -> bool {
    core.view().metrics.note_answer("", error.kind.code());
    let declared = core.declared();
    log::info!(
        event:% = LogEvent::RequestRefused, request_id,
        kind = error.kind.code(), catalog = declared.version,
        catalog_age_ms = declared.age.as_millis() as u64;
        "refused: {}", error.message
    );
    responder.send(core.error_answer(error)).await.is_ok()
}

/// Answers a message that is not a valid request.
async fn refuse_message<C: ProcessCore>(
    core: &Rc<C>,
    responder: &mut HttpResponder,
    fault: &HttpFault,
) {
    let Some(error) = message_error(fault) else {
        return;
    };
    responder.reset(true);
    // The caller may be gone, and the connection ends in any case.
    let _ = refuse(core, responder, "", &error).await;
}
