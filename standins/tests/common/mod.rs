//! What the tests with real processes share.

#![allow(dead_code, missing_docs)]

use std::{
    future::Future,
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    magnolia_standins::{
        fleet::{Fleet, key_of},
        load::{CallRequest, CallTarget, LoadCaller},
        server::block_on,
    },
    magnoliahaven::{
        adapters::http::{HttpClient, ReplyTimeouts},
        ctl::BudgetRow,
    },
    serde_json::Value,
};

/// Longest time for something that has to happen in the end.
pub const EVENTUALLY: Duration = Duration::from_secs(20);

pub fn run(test: impl Future<Output = ()>) {
    block_on(test).expect("runtime");
}

/// Repeats `check` until it holds.
pub async fn eventually<F: Future<Output = bool>>(
    what: &str,
    mut check: impl FnMut() -> F,
) {
    let deadline = Instant::now() + EVENTUALLY;
    while !check().await {
        assert!(Instant::now() < deadline, "never happened: {what}");
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A streamed request of `length` output tokens.
pub fn request(name: &str, length: u64) -> CallRequest {
    CallRequest {
        model: "assistant".to_owned(),
        prompt: format!("{name} len={length}"),
        length,
        streams: true,
        key: None,
    }
}

/// A caller of one router only.
pub fn caller_of(fleet: &Fleet, router: usize, budget: &str) -> LoadCaller {
    // A fixed address stands for an entry answer that names one router.
    let address = fleet.routers[router].callers;
    let target = CallTarget::Engines(vec![address]);
    LoadCaller::new(target, &key_of(budget), 0)
}

/// A caller that asks any router for addresses.
pub fn caller(fleet: &Fleet, budget: &str) -> LoadCaller {
    let target = CallTarget::Routers(fleet.callers());
    LoadCaller::new(target, &key_of(budget), 0)
}

/// The balance of a budget.
pub async fn balance(fleet: &Fleet, budget: &str) -> BudgetRow {
    let rows = fleet.ctl().budgets(None).await.expect("budgets");
    let mut rows = rows.into_iter();
    rows.find(|row| row.budget == budget).expect("declared budget")
}

/// Tokens that all engines have used.
pub async fn engine_tokens(fleet: &Fleet) -> u64 {
    let mut tokens = 0;
    for number in 0..fleet.engines.len() {
        let stats = fleet.engine_stats(number).await;
        tokens += stats["tokens"].as_u64().expect("tokens");
    }
    tokens
}

/// A counter summed over all engines.
pub async fn engine_sum(fleet: &Fleet, field: &str) -> u64 {
    let mut sum = 0;
    for number in 0..fleet.engines.len() {
        let stats = fleet.engine_stats(number).await;
        sum += stats[field].as_u64().expect("a counter");
    }
    sum
}

/// Posts a plain call and returns status and body.
pub async fn post_call(
    address: SocketAddr,
    path: &str,
    budget: &str,
    key: Option<&str>,
    body: &str,
) -> Option<(StatusCode, Value)> {
    let mut request = Request::post(path)
        .header("authorization", format!("Bearer {}", key_of(budget)));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Bytes::from(body.to_owned())).ok()?;
    let client = HttpClient::new();
    let time = ReplyTimeouts::within(EVENTUALLY);
    let reply = client.fetch(address, request, time).await.ok()?;
    let value = serde_json::from_slice(&reply.1).unwrap_or_default();
    Some((reply.0, value))
}
