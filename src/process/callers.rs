//! Connections of callers.

use std::{
    cell::Cell,
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
        RequestReader, accept_until, request_error,
    },
    catalog::CallerLimits,
    error::{CallError, ErrorKind},
    runtime::{catch_panic, spawn},
    telemetry::{LogEvent, RouterMetrics},
};

/// Accepts connections of callers until `stop` is notified.
///
/// A connection beyond the limit of the settings is closed at once.
pub(crate) async fn run_callers<C: ProcessCore>(
    core: Rc<C>,
    listener: TcpListener,
    stop: Rc<Notify>,
) {
    let serve = |stream| {
        let ProcessView { metrics, settings, .. } = core.view();
        let open_count = metrics.connections.get() as usize;
        if open_count >= settings.limits.connections {
            metrics.note_event("connection_refused");
            return;
        }
        let core = core.clone();
        spawn("connection", async move {
            let _open = OpenConnection::new(core.view().metrics);
            serve_connection(&core, stream).await;
        });
    };
    accept_until(listener, stop, serve).await;
}

/// Serves the requests of one connection, one after another.
async fn serve_connection<C: ProcessCore>(core: &Rc<C>, stream: TcpStream) {
    let connection = HttpConnection::new(stream);
    let limits = message_limits(&core.caller_limits());
    let memory = core.view().memory.clone();
    let (mut reader, mut responder) = connection.into_server(limits, memory);
    loop {
        let request = next_request(core.as_ref(), &mut reader).await;
        core.view().note_memory();
        let request = match request {
            Ok(request) => request,
            Err(fault) => {
                refuse_unreadable(core, &mut reader, &mut responder, &fault)
                    .await;
                return;
            }
        };
        // Announces the end of a connection with `Connection: close`.
        // Closing it without notice would lose a request that is already on
        // its way.
        let keep_alive = request.keeps_alive() && !core.is_leaving();
        responder.begin(&request, !keep_alive);
        let is_usable =
            serve_request(core, request, &mut reader, &mut responder).await;
        reader.end_request();
        core.view().note_memory();
        if !is_usable || !keep_alive {
            return;
        }
    }
}

/// Serves one request; returns `false` if the connection has to be closed.
///
/// A request whose task panics gets an answer too, which promises nothing.
async fn serve_request<C: ProcessCore>(
    core: &Rc<C>,
    request: HttpRequest,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) -> bool {
    let ProcessView { load, .. } = core.view();
    let _load = RequestLoad::new(load);
    // An idle connection has no room for the state of a request.
    let served = Box::pin(core.serve_call(request, reader, responder));
    if let Some(is_usable) = catch_panic("request", served).await {
        return is_usable;
    }
    if !responder.has_begun() {
        let message = "the request met an internal error";
        let error = CallError::new(ErrorKind::OutcomeUnknown, message);
        responder.reset(true);
        refuse(core, responder, "", &error).await;
    }
    false
}

/// An open connection of a caller, counted until this value is dropped.
struct OpenConnection<'a> {
    metrics: &'a RouterMetrics,
}

impl<'a> OpenConnection<'a> {
    fn new(metrics: &'a RouterMetrics) -> OpenConnection<'a> {
        metrics.connections.inc();
        OpenConnection { metrics }
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.metrics.connections.dec();
    }
}

/// A request in progress, counted until this value is dropped.
struct RequestLoad<'a> {
    load: &'a Cell<usize>,
}

impl<'a> RequestLoad<'a> {
    fn new(load: &'a Cell<usize>) -> RequestLoad<'a> {
        load.set(load.get() + 1);
        RequestLoad { load }
    }
}

impl Drop for RequestLoad<'_> {
    fn drop(&mut self) {
        self.load.set(self.load.get() - 1);
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

/// Reads the next request.
///
/// The limits may change while the connection is idle; those in force when
/// the request arrives apply.
async fn next_request<C: ProcessCore>(
    core: &C,
    reader: &mut RequestReader,
) -> Result<HttpRequest, HttpFault> {
    let idle_since = Instant::now();
    loop {
        let idle_timeout = core.caller_limits().idle_timeout;
        let time_left = idle_timeout.saturating_sub(idle_since.elapsed());
        if time_left.is_zero() {
            return Err(HttpFault::Closed);
        }
        match reader.wait_request(time_left).await {
            // A longer idle time may have come into force.
            Err(HttpFault::TimedOut) => {}
            Err(fault) => return Err(fault),
            Ok(()) => break,
        }
    }
    reader.set_limits(message_limits(&core.caller_limits()));
    reader.next_request(Duration::ZERO).await
}

/// Answers a request with an error instead of serving it; returns `false`
/// if the caller is gone.
pub(crate) async fn refuse<C: ProcessCore>(
    core: &Rc<C>,
    responder: &mut HttpResponder,
    request_id: &str,
    error: &CallError,
) -> bool {
    // The account is not known, so the answer counts for the label `other`.
    core.view().metrics.note_answer("", error.kind.code());
    let declarations = core.declared();
    log::info!(
        event:% = LogEvent::RequestRefused, request_id,
        kind = error.kind.code(), catalog = declarations.version,
        catalog_age_ms = declarations.age.as_millis() as u64;
        "request refused: {}", error.message
    );
    responder.send(core.error_answer(error)).await.is_ok()
}

/// Answers a request that could not be read, with an empty request ID, and
/// lets the caller read the answer before the connection is closed.
async fn refuse_unreadable<C: ProcessCore>(
    core: &Rc<C>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
    fault: &HttpFault,
) {
    let Some(error) = request_error(fault) else {
        return;
    };
    responder.reset(true);
    if refuse(core, responder, "", &error).await {
        reader.end_connection(responder).await;
    }
}
