//! Implements [`ProcessCore`]: how a gateway serves its callers.

use std::{rc::Rc, time::Instant};

use {bytes::Bytes, http::Response};

use super::{GatewayCore, serve};
use crate::{
    adapters::http::{HttpRequest, HttpResponder, RequestReader},
    catalog::CallerLimits,
    error::CallError,
    process::{DeclaredVersion, ProcessCore, ProcessView, refuse},
};

impl ProcessCore for GatewayCore {
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
        self.leaving_since.get().is_some()
    }

    fn set_leaving(&self) {
        self.leaving_since.set(Some(Instant::now()));
    }

    /// Returns the limits from the catalog. Without one, or if it sets none,
    /// the limits from the settings apply.
    fn caller_limits(&self) -> CallerLimits {
        let declared = self.catalog().ok().and_then(|c| c.limits());
        declared.unwrap_or_else(|| self.settings.limits.for_callers())
    }

    fn declared(&self) -> DeclaredVersion {
        let catalog = self.catalog.borrow();
        DeclaredVersion {
            version: catalog.as_ref().map_or(0, |c| c.version()),
            age: self.catalog_age(),
        }
    }

    fn error_answer(&self, error: &CallError) -> Response<Bytes> {
        self.ports.front.error_answer(error)
    }

    async fn serve_call(
        self: &Rc<Self>,
        request: HttpRequest,
        reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> bool {
        let request_id = self.ports.front.request_id(&request);
        let call = self.reject_if_stale();
        let call =
            call.and_then(|()| self.ports.front.decode_call(self, request));
        let call = call.and_then(|call| {
            self.reject_if_leaving(&call)?;
            Ok(call)
        });
        match call {
            Ok(call) => {
                let call = Rc::new(call);
                serve::serve(self, &call, reader, responder).await
            }
            Err(error) => {
                let error = self.make_retryable_unless_fresh(error);
                refuse(self, responder, &request_id, &error).await
            }
        }
    }
}
