//! Parsing and validation of a chat request.

use {
    bytes::Bytes,
    serde_json::{Value, json},
};

use super::super::{CallerIdentity, RouterCore};
use crate::{
    adapters::http::HttpRequest,
    config::{ServiceDocument, ServiceKind},
    error::{CallError, ErrorKind},
};

/// Maximum value of `max_tokens` in a request.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A validated chat request.
pub(super) struct ChatCall {
    pub(super) identity: CallerIdentity,
    pub(super) service: String,
    pub(super) document: ServiceDocument,
    pub(super) request_id: String,
    pub(super) key: Option<String>,
    pub(super) fingerprint: u64,
    pub(super) is_stream: bool,
    /// An upper bound on the tokens that the request uses, which are
    /// reserved before it is sent.
    pub(super) ceiling: u64,
    pub(super) body: Bytes,
}

/// Checks that an account is below its limit of concurrent requests at this
/// router.
pub(in crate::router) fn check_account_limit(
    core: &RouterCore,
    identity: &CallerIdentity,
) -> Result<(), CallError> {
    let account = identity.budget.account();
    if core.upstream_table.in_progress_of(account)
        < identity.concurrent as usize
    {
        return Ok(());
    }
    let message = format!(
        "account {account} has {} requests in progress here",
        identity.concurrent,
    );
    Err(CallError::new(ErrorKind::AccountLimit, message))
}

fn bad_request(message: impl Into<String>) -> CallError {
    CallError::new(ErrorKind::BadRequest, message)
}

/// Parses and validates a request, and completes the body that is sent to
/// the upstream.
pub(super) fn parse_request(
    core: &RouterCore,
    request: &HttpRequest,
    identity: CallerIdentity,
) -> Result<ChatCall, CallError> {
    let mut body: Value = serde_json::from_slice(&request.body)
        .map_err(|err| bad_request(format!("the body is not JSON: {err}")))?;
    let Some(fields) = body.as_object_mut() else {
        return Err(bad_request("the body is not a JSON object"));
    };
    let Some(service) = fields.get("model").and_then(Value::as_str) else {
        return Err(bad_request("`model` must name a model"));
    };
    let service = service.to_owned();
    let messages = fields.get("messages").and_then(Value::as_array);
    if messages.is_none_or(Vec::is_empty) {
        return Err(bad_request("`messages` must be a list of messages"));
    }
    let is_stream = match fields.get("stream") {
        None => false,
        Some(Value::Bool(is_stream)) => *is_stream,
        Some(_) => return Err(bad_request("`stream` must be true or false")),
    };
    let document = core.service(&service)?;
    if document.kind != ServiceKind::Model {
        let message = format!("{service:?} is not a model");
        return Err(CallError::new(ErrorKind::UnknownService, message));
    }
    let max_tokens = match fields.get("max_tokens") {
        None => document.max_tokens,
        Some(value) => value
            .as_u64()
            .filter(|n| (1..=MAX_OUTPUT_TOKENS).contains(n))
            .ok_or_else(|| {
                bad_request(format!(
                    "`max_tokens` must be from 1 to {MAX_OUTPUT_TOKENS}"
                ))
            })?,
    };
    fields.insert("max_tokens".to_owned(), json!(max_tokens));
    if is_stream {
        // The bill is based on the token usage, which an engine includes in
        // a stream only on request.
        fields.insert(
            "stream_options".to_owned(),
            json!({"include_usage": true}),
        );
    }
    let body = Bytes::from(body.to_string());
    let key = idempotency_key(request)?;
    let account = identity.budget.account();
    let request_id = match &key {
        None => core.new_request_id(),
        Some(key) => keyed_request_id(account, key),
    };
    // Each token of the prompt takes at least one byte.
    let ceiling = body.len() as u64 + max_tokens;
    let fingerprint = xxhash_rust::xxh3::xxh3_64(&body);
    Ok(ChatCall {
        identity,
        service,
        document,
        request_id,
        key,
        fingerprint,
        is_stream,
        ceiling,
        body,
    })
}

/// Returns the caller's idempotency key, if the request has one.
pub(in crate::router) fn idempotency_key(
    request: &HttpRequest,
) -> Result<Option<String>, CallError> {
    let Some(value) = request.head.headers.get("idempotency-key") else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!(
            "`Idempotency-Key` must have 1 to {MAX_KEY_BYTES} printable bytes"
        );
        return Err(bad_request(message));
    }
    Ok(Some(key.to_owned()))
}

/// Returns the ID of a request with an idempotency key. It is the same at
/// every router and needs no escaping in a URL path.
fn keyed_request_id(account: &str, key: &str) -> String {
    let full = format!("{account}/{key}");
    format!("key-{:032x}", xxhash_rust::xxh3::xxh3_128(full.as_bytes()))
}
