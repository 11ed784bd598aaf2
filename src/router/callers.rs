//! How a router serves callers.

use std::{rc::Rc, time::Duration};

use {
    bytes::Bytes,
    http::{Method, Response},
    serde_json::json,
};

use super::{RouterCore, chat, service_call};
use crate::{
    adapters::http::{
        HttpRequest, HttpResponder, RequestReader, json_response,
    },
    catalog::CallerLimits,
    entry::{EntryAnswer, EntryHealth, rank_entries},
    error::{CallError, ErrorKind},
    process::{DeclaredVersion, ProcessCore, ProcessView},
    telemetry::{LogContext, LogEvent},
};

/// Path of the chat-completions endpoint.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path below which plain services are called.
const SERVICES_PATH: &str = "/v1/services/";

/// Path of entry answers.
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

/// The response that tells a caller about an error.
pub(super) fn error_response(error: &CallError) -> Response<Bytes> {
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
        event:% = LogEvent::RequestFailed,
        request_id = context.request_id.as_str(),
        account = context.account.as_str(),
        kind = error.kind.code(),
        retry_ms = error.retry_wait().map_or(0, |w| w.as_millis() as u64);
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
                full: core.table.free_slots() == 0,
            };
        }
        core.members.health(vm)
    });
    let lifetime_s = core.settings.entry_lifetime.as_secs().max(1);
    EntryAnswer { addresses, lifetime_s }
}
