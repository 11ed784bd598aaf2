//! What a front end has understood of one request.

use std::{rc::Rc, time::Instant};

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Response},
};

use super::GatewayCore;
use crate::{
    adapters::http::HttpRequest,
    catalog::{AccountSpec, RouteSpec},
    error::CallError,
};

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's content.
    pub id: String,
    /// Its size in tokens.
    pub tokens: u64,
}

/// The tokens that a request uses at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCeiling {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
}

impl TokenCeiling {
    /// The sum of both.
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
        self.prompt + self.output
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Identity of the request.
    pub id: String,
    /// Who pays; `None` on public routes.
    pub account: Option<Rc<AccountSpec>>,
    /// The route.
    pub route: Rc<RouteSpec>,
    /// The service that takes the request.
    pub service: String,
    /// Version of the catalog by which the request is served.
    pub catalog_version: u64,
    /// How urgent the request is, 0 first.
    pub rank: u8,
    /// When the request had arrived.
    pub arrived_at: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The tokens that the request uses at most.
    pub ceiling: TokenCeiling,
    /// The parts of the prompt in order; the last one is its own.
    pub prompt_parts: Vec<PromptPart>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub target: String,
    /// Headers that the upstream receives as they are.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl CallRequest {
    /// When the caller gets a final answer at the latest.
    pub fn answer_deadline(&self) -> Instant {
        self.deadline.min(self.arrived_at + self.route.timeout)
    }

    /// The client account's name; empty on public routes.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// Tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u64 {
        let shared =
            self.prompt_parts.split_last().map_or(&[][..], |(_, s)| s);
        shared.iter().map(|part| part.tokens).sum()
    }

    /// Identity of the part that the prompt begins with, if it is shared.
    pub fn first_shared_part(&self) -> Option<&str> {
        let (_, shared) = self.prompt_parts.split_last()?;
        shared.first().map(|part| part.id.as_str())
    }

    /// Identity of the longest run of parts that other requests share.
    pub fn shared_prefix_id(&self) -> Option<&str> {
        let shared = self.prompt_parts.len().checked_sub(2)?;
        Some(&self.prompt_parts[shared].id)
    }
}

/// Translates between a wire form and the gateway's types.
pub trait GatewayFront {
    /// The identity that a caller gave its request; empty if there is none.
    fn request_id(&self, request: &HttpRequest) -> String;

    /// Understands a request of a caller.
    ///
    /// # Errors
    ///
    /// Why the request is refused without being served.
    fn decode_call(
        &self,
        core: &GatewayCore,
        request: HttpRequest,
    ) -> Result<CallRequest, CallError>;

    /// The answer that tells a caller about an error.
    fn error_answer(&self, error: &CallError) -> Response<Bytes>;

    /// The answer to a caller that asks where to connect.
    fn entry_answer(
        &self,
        core: &GatewayCore,
        request: &HttpRequest,
    ) -> Response<Bytes>;

    /// The answer to a check of readiness.
    fn readiness_answer(
        &self,
        request: &HttpRequest,
        is_ready: bool,
    ) -> Response<Bytes>;
}
