//! Understanding a request.

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

/// Largest number of output tokens that a caller may ask for.
const LARGEST_MAX_TOKENS: u64 = 1_000_000;

/// Longest idempotency key in bytes.
const KEY_BYTES: usize = 255;

/// A chat request that has been understood.
pub(super) struct ChatCall {
    pub(super) identity: CallerIdentity,
    pub(super) service: String,
    pub(super) document: ServiceDocument,
    pub(super) request_id: String,
    pub(super) key: Option<String>,
    pub(super) fingerprint: u64,
    pub(super) streams: bool,
    pub(super) ceiling: u64,
    pub(super) body: Bytes,
}

/// Refuses a request of an account that has its share in use.
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

pub(super) fn parse(
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
    let streams = match fields.get("stream") {
        None => false,
        Some(Value::Bool(streams)) => *streams,
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
            .filter(|n| (1..=LARGEST_MAX_TOKENS).contains(n))
            .ok_or_else(|| {
                bad_request(format!(
                    "`max_tokens` must be from 1 to {LARGEST_MAX_TOKENS}"
                ))
            })?,
    };
    fields.insert("max_tokens".to_owned(), json!(max_tokens));
    if streams {
        // The bill needs the usage, which streams state on request only.
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
    // A token covers at least one byte of the prompt.
    let ceiling = body.len() as u64 + max_tokens;
    let fingerprint = xxhash_rust::xxh3::xxh3_64(&body);
    Ok(ChatCall {
        identity,
        service,
        document,
        request_id,
        key,
        fingerprint,
        streams,
        ceiling,
        body,
    })
}

/// The caller's idempotency key, if it gave one.
pub(in crate::router) fn idempotency_key(
    request: &HttpRequest,
) -> Result<Option<String>, CallError> {
    let Some(value) = request.head.headers.get("idempotency-key") else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > KEY_BYTES {
        let message = format!(
            "`Idempotency-Key` must have 1 to {KEY_BYTES} printable bytes"
        );
        return Err(bad_request(message));
    }
    Ok(Some(key.to_owned()))
}

/// The identity of a request with an idempotency key: the same at every
/// router, and without characters that a path would need to escape.
fn keyed_request_id(account: &str, key: &str) -> String {
    let full = format!("{account}/{key}");
    format!("key-{:032x}", xxhash_rust::xxh3::xxh3_128(full.as_bytes()))
}
