//! A decoded request, and the translation from and to a wire format.

use std::{rc::Rc, time::Instant};

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Response},
};

use super::GatewayCore;
use crate::{
    adapters::http::HttpRequest,
    catalog::{AccountSpec, RouteSpec},
    domain::saturating_sum,
    error::CallError,
};

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content; equal parts have the same identifier.
    pub id: String,
    /// Size in tokens.
    pub tokens: u64,
}

/// The maximum number of tokens that a request may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCeiling {
    /// Prompt tokens.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub output: u64,
}

impl TokenCeiling {
    /// Returns the sum of prompt and output tokens.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::gateway::TokenCeiling;
    ///
    /// let ceiling = TokenCeiling { prompt: 100, output: 20 };
    /// assert_eq!(ceiling.total(), 120);
    /// ```
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Request identifier, chosen by the caller.
    pub id: String,
    /// The client account that pays; `None` on public routes.
    pub account: Option<Rc<AccountSpec>>,
    /// The route that the request matched.
    pub route: Rc<RouteSpec>,
    /// The service that handles the request.
    pub service: String,
    /// Version of the catalog that the request was decoded with.
    pub catalog_version: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When the request had been received in full.
    pub arrived_at: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The maximum number of tokens that the request may use.
    pub ceiling: TokenCeiling,
    /// The parts of the prompt in order. The last one is unique to this
    /// request; the others may occur in other requests.
    pub prompt_parts: Vec<PromptPart>,
    /// Identifier of the last event that the caller has received, if the
    /// request resumes a stream.
    pub resume_after: Option<u64>,
    /// The HTTP method.
    pub method: Method,
    /// The path and query of the URI.
    pub target: String,
    /// Headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
}

impl CallRequest {
    /// Returns the time at which the request fails if it has no answer: the
    /// caller's deadline or the timeout of the route, whichever is first.
    pub fn answer_deadline(&self) -> Instant {
        self.deadline.min(self.arrived_at + self.route.timeout)
    }

    /// Returns the client account's name, or an empty string on public
    /// routes.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// Returns the parts of the prompt that other requests may share.
    fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the identifiers of the shared parts.
    pub fn shared_part_ids(&self) -> impl Iterator<Item = &str> + Clone {
        self.shared_parts().iter().map(|part| part.id.as_str())
    }

    /// Returns the size of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u64 {
        saturating_sum(self.shared_parts().iter().map(|part| part.tokens))
    }

    /// Returns the identifier of the first part if it is shared.
    pub fn first_shared_part(&self) -> Option<&str> {
        let (_, shared) = self.prompt_parts.split_last()?;
        shared.first().map(|part| part.id.as_str())
    }

    /// Returns the identifier of the last shared part. Placement uses it as
    /// the identifier of the whole shared prefix.
    pub fn shared_prefix_id(&self) -> Option<&str> {
        let shared = self.prompt_parts.len().checked_sub(2)?;
        Some(&self.prompt_parts[shared].id)
    }
}

/// Translates between a wire format and the gateway's types.
pub trait GatewayFront {
    /// Returns the request identifier, or an empty string if the caller
    /// sent none.
    fn request_id(&self, request: &HttpRequest) -> String;

    /// Decodes a request and matches it to a route and a client account.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is rejected.
    fn decode_call(
        &self,
        core: &GatewayCore,
        request: HttpRequest,
    ) -> Result<CallRequest, CallError>;

    /// Returns the response that reports an error to a caller.
    fn error_answer(&self, error: &CallError) -> Response<Bytes>;

    /// Returns the response to a query for the addresses of the entry VMs.
    fn entry_answer(
        &self,
        core: &GatewayCore,
        request: &HttpRequest,
    ) -> Response<Bytes>;

    /// Returns the response to a readiness check.
    fn readiness_answer(
        &self,
        request: &HttpRequest,
        is_ready: bool,
    ) -> Response<Bytes>;
}
