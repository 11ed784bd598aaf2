//! The endpoints for callers.

use std::{rc::Rc, time::Duration};

use {
    bytes::Bytes,
    http::{Method, Response},
    serde_json::json,
};

use super::{RouterCore, chat, service_call};
use crate::{
    adapters::http::{
        HttpRequest, HttpResponder, RequestReader, error_response,
        json_response,
    },
    catalog::CallerLimits,
    entry::{EntryAnswer, EntryHealth, rank_entries},
    error::{CallError, ErrorKind},
    process::{DeclaredVersion, ProcessCore, ProcessView},
    telemetry::{LogContext, LogEvent},
};

/// Path of the chat-completions endpoint.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path prefix for calls of plain services.
const SERVICES_PATH: &str = "/v1/services/";

/// Path of the endpoint that lists the routers a caller should use.
const ENTRY_PATH: &str = "/v1/entry";

impl ProcessCore for RouterCore {
    fn view(&self) -> ProcessView<'_> {
        ProcessView {
            settings: &self.settings,
            metrics: &self.metrics,
            timer: &self.timer,
            members: &self.members,
            peers: &self.ports.peers,
            load: &self.in_progress,
            memory: &self.request_memory,
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    fn set_leaving(&self) {
        self.leaving.set(true);
    }

    fn caller_limits(&self) -> CallerLimits {
        self.settings.limits.for_callers()
    }

    fn declared(&self) -> DeclaredVersion {
        let control = self.control.borrow();
        DeclaredVersion {
            version: control.fold().map_or(0, |ledger| ledger.next),
            age: Duration::ZERO,
        }
    }

    fn error_answer(&self, error: &CallError) -> Response<Bytes> {
        error_response(error)
    }

    async fn serve_call(
        self: &Rc<Self>,
        request: HttpRequest,
        reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> bool {
        serve_request(self, &request, reader, responder).await
    }
}

/// Serves one request and returns whether the connection can be kept open.
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
        Ok(keep_alive) => return keep_alive,
        Err(error) => error,
    };
    core.metrics.note_answer(&context.account, error.kind.code());
    log::info!(
        event:% = LogEvent::RequestFailed,
        request_id = context.request_id.as_str(),
        account = context.account.as_str(),
        kind = error.kind.code(),
        retry_ms = error.retry_delay().map_or(0, |w| w.as_millis() as u64);
        "request refused: {}", error.message
    );
    if responder.has_begun() {
        return false;
    }
    responder.send(error_response(&error)).await.is_ok()
}

/// Passes a request to its endpoint and returns whether the connection can
/// be kept open.
async fn route_request(
    core: &Rc<RouterCore>,
    request: &HttpRequest,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
    context: &mut LogContext,
) -> Result<bool, CallError> {
    let path = request.path();
    if path == ENTRY_PATH {
        check_method(request, &Method::GET)?;
        let answer = entry_answer(core, request);
        let response = json_response(200, &json!(answer));
        return Ok(responder.send(response).await.is_ok());
    }
    if path == CHAT_PATH {
        check_method(request, &Method::POST)?;
        return chat::serve(core, request, reader, responder, context).await;
    }
    if let Some(target) = path.strip_prefix(SERVICES_PATH) {
        check_method(request, &Method::POST)?;
        return service_call::serve(core, request, target, responder, context)
            .await;
    }
    let message = format!("there is no endpoint {path}");
    Err(CallError::new(ErrorKind::UnknownPath, message))
}

fn check_method(
    request: &HttpRequest,
    method: &Method,
) -> Result<(), CallError> {
    if request.head.method == *method {
        return Ok(());
    }
    let message = format!("the endpoint takes {method} only");
    Err(CallError::new(ErrorKind::MethodNotAllowed, message))
}

/// Returns the addresses of the routers that a caller should use.
///
/// The ranking keeps the requests of an account on few routers. A caller
/// without a valid key gets a ranking that differs with each request.
fn entry_answer(core: &RouterCore, request: &HttpRequest) -> EntryAnswer {
    let identity = core.authenticate(request.header("authorization"));
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
                full: core.upstream_table.free_slots() == 0,
            };
        }
        core.members.health(vm)
    });
    let lifetime_s = core.settings.entry_lifetime.as_secs().max(1);
    EntryAnswer { addresses, lifetime_s }
}
