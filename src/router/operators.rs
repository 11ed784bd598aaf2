//! The HTTP endpoints for operators and monitoring.

use std::rc::Rc;

use {
    bytes::Bytes,
    http::{Method, Response},
    monoio::net::TcpListener,
    serde_json::{Value, json},
};

use super::RouterCore;
use crate::{
    adapters::{
        http::{HttpRequest, error_response, json_response, text_response},
        peer::ProcessSignal,
    },
    error::{CallError, ErrorKind},
    ports::MemberStatus,
    process::serve_sync,
};

/// Serves operators' requests. Never returns.
pub(super) async fn run_listener(core: Rc<RouterCore>, listener: TcpListener) {
    serve_sync(listener, move |request| respond(&core, request)).await;
}

fn respond(core: &RouterCore, request: &HttpRequest) -> Response<Bytes> {
    match (&request.head.method, request.path()) {
        (&Method::GET, "/healthz") => text_response(200, "ok\n".to_owned()),
        (&Method::GET, "/readyz") => {
            if core.is_ready() {
                return text_response(200, "ready\n".to_owned());
            }
            text_response(503, "not ready\n".to_owned())
        }
        (&Method::GET, "/metrics") => {
            text_response(200, core.metrics.render())
        }
        (&Method::GET, "/v1/status") => json_response(200, &status(core)),
        (&Method::POST, "/v1/leave") => {
            // If the channel is full, it already holds the same signal.
            let _ = core.leave_requests.try_send(ProcessSignal::Leave);
            json_response(202, &json!({"leaving": true}))
        }
        _ => error_response(&CallError::new(
            ErrorKind::UnknownPath,
            "there is no such endpoint for operators",
        )),
    }
}

/// Returns the body of the status endpoint.
fn status(core: &RouterCore) -> Value {
    let control = core.control.borrow();
    let (revision, preset, control_next) = match control.fold() {
        Some(ledger) => {
            (json!(ledger.revision), ledger.preset.clone(), ledger.next)
        }
        None => (Value::Null, String::new(), 0),
    };
    let mut members = serde_json::Map::new();
    for member in core.members.members() {
        let status = match member.status {
            MemberStatus::Alive => "alive",
            MemberStatus::Suspect => "suspect",
            MemberStatus::Leaving => "leaving",
            MemberStatus::Dead => "dead",
        };
        members.insert(member.id.vm, json!(status));
    }
    let (partitions, portions) = core.keeper.partition_and_portion_counts();
    json!({
        "vm": core.settings.vm,
        "region": core.settings.region,
        "domain": core.settings.domain,
        "incarnation": core.id.incarnation,
        "uptime_s": core.started.elapsed().as_secs(),
        "ready": core.is_ready(),
        "leaving": core.leaving.get(),
        "revision": revision,
        "applied_ms": core.applied_ms.get(),
        "control_next": control_next,
        "preset": preset,
        "log_reachable": core.keeper.is_log_reachable(),
        "list_version": core.directory.version(),
        "in_progress": core.in_progress.get(),
        "spare_slots": core.upstream_table.free_slots(),
        "partitions": partitions,
        "portions": portions,
        "appends": core.keeper.append_count(),
        "members": members,
        "tripped_moves": core.tripped_moves.borrow().clone(),
    })
}
