//! Connections of callers.

use std::rc::Rc;

use {
    monoio::net::{TcpListener, TcpStream},
    tokio::sync::Notify,
};

use super::{GatewayCore, dispatch};
use crate::{
    adapters::http::{
        HttpConnection, HttpFault, HttpResponder, MessageLimits, accept_until,
        message_error,
    },
    catalog::CallerLimits,
    error::CallError,
};

/// Accepts callers until `stop` is notified.
pub(super) async fn run_listener(
    core: Rc<GatewayCore>,
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

/// Bounds from the catalog, or from the settings before one is known.
fn caller_limits(core: &GatewayCore) -> CallerLimits {
    let declared = core.catalog().ok().and_then(|c| c.limits());
    let limits = &core.settings.limits;
    declared.unwrap_or(CallerLimits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        request_time: limits.request_time,
        idle_time: limits.idle_time,
    })
}

/// Serves the requests of one connection, one after another.
async fn serve_connection(core: &Rc<GatewayCore>, stream: TcpStream) {
    let limits = caller_limits(core);
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
        let keeps = request.keeps_alive() && !core.is_leaving();
        responder.reset(!keeps);
        core.in_progress.set(core.in_progress.get() + 1);
        let front = core.ports.front.clone();
        let call = front.decode_call(core, request);
        let call = call.and_then(|call| {
            core.check_leaving(&call)?;
            Ok(call)
        });
        let served = match call {
            Ok(call) => {
                let call = Rc::new(call);
                dispatch::serve(core, &call, &mut reader, &mut responder).await
            }
            Err(error) => refuse(core, &mut responder, &error).await,
        };
        core.in_progress.set(core.in_progress.get() - 1);
        if !served || !keeps {
            return;
        }
    }
}

async fn refuse(
    core: &GatewayCore,
    responder: &mut HttpResponder,
    error: &CallError,
) -> bool {
    core.metrics.note_answer("", error.kind.code());
    log::info!(kind = error.kind.code(); "refused: {}", error.message);
    let answer = core.ports.front.error_answer(error);
    responder.send(answer).await.is_ok()
}

/// Answers a message that is not a valid request.
async fn refuse_message(
    core: &GatewayCore,
    responder: &mut HttpResponder,
    fault: &HttpFault,
) {
    let Some(error) = message_error(fault) else {
        return;
    };
    responder.reset(true);
    // The caller may be gone, and the connection ends in any case.
    let _ = refuse(core, responder, &error).await;
}
