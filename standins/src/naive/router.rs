//! The naive router.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{Request, Response},
    magnoliahaven::{
        adapters::http::{
            HttpClient, HttpFault, HttpReply, HttpRequest, HttpResponder,
            RequestReader, json_response,
        },
        entry::{EntryAddress, EntryAnswer},
        router::SseScanner,
    },
    serde_json::{Value, json},
};

use crate::server::StandinHandler;

/// Longest time for a call to the counter.
const COUNTER_TIME: Duration = Duration::from_millis(250);

/// Longest time for an answer of an engine.
const ENGINE_TIME: Duration = Duration::from_secs(60);

/// Events that may wait for a slow reader: as many as there are.
const READ_AHEAD: usize = usize::MAX;

/// How a naive router is set up.
#[derive(Clone, Debug)]
pub struct NaiveOptions {
    /// All routers, in the order in which they are named to callers.
    pub routers: Vec<SocketAddr>,
    /// The router that counts; `None` if this one does.
    pub counter: Option<SocketAddr>,
    /// Engines of the old version.
    pub old_engines: Vec<SocketAddr>,
    /// Engines of the new version.
    pub new_engines: Vec<SocketAddr>,
    /// Tokens paid for, the same for every key.
    pub paid: u64,
}

/// A router that keeps no promise under failure.
pub struct NaiveRouter {
    options: NaiveOptions,
    http: HttpClient,
    spent: RefCell<BTreeMap<String, u64>>,
    turn: Cell<usize>,
    held: Cell<usize>,
    held_peak: Cell<usize>,
    move_start: Cell<Option<(Instant, Duration)>>,
}

impl NaiveRouter {
    /// Creates a router that has counted nothing.
    pub fn new(options: NaiveOptions) -> NaiveRouter {
        NaiveRouter {
            options,
            http: HttpClient::new().with_connect_timeout(COUNTER_TIME),
            spent: RefCell::default(),
            turn: Cell::new(0),
            held: Cell::new(0),
            held_peak: Cell::new(0),
            move_start: Cell::new(None),
        }
    }

    /// Whether a key has tokens left, as far as the counter knows.
    async fn may_spend(&self, key: &str) -> bool {
        let path = "/counter/check";
        if let Some(counter) = self.options.counter {
            let body = json!({"key": key});
            let reply =
                self.http.post_json(counter, path, &body, COUNTER_TIME);
            if let Ok((_, body)) = reply.await {
                let value: Value =
                    serde_json::from_slice(&body).unwrap_or_default();
                return value["allowed"] == true;
            }
        }
        // Without the counter its own count has to do.
        self.spent.borrow().get(key).copied().unwrap_or(0) < self.options.paid
    }

    async fn add(&self, key: &str, tokens: u64) {
        if let Some(counter) = self.options.counter {
            let body = json!({"key": key, "tokens": tokens});
            let path = "/counter/add";
            let reply =
                self.http.post_json(counter, path, &body, COUNTER_TIME);
            if reply.await.is_ok() {
                return;
            }
        }
        let mut spent = self.spent.borrow_mut();
        *spent.entry(key.to_owned()).or_default() += tokens;
    }

    /// The next engine: in turn, the new version by the clock.
    fn next_engine(&self) -> SocketAddr {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let share = self.move_start.get().map_or(0, |(start, time)| {
            let part = start.elapsed().as_secs_f64() / time.as_secs_f64();
            (part.min(1.0) * 100.0) as usize
        });
        let takes_new = !self.options.new_engines.is_empty()
            && turn.wrapping_mul(37) % 100 < share;
        let engines = if takes_new {
            &self.options.new_engines
        } else {
            &self.options.old_engines
        };
        engines[turn % engines.len()]
    }

    async fn dispatch(
        &self,
        request: &HttpRequest,
    ) -> Result<HttpReply, HttpFault> {
        let attempts = 3;
        let mut last = Err(HttpFault::Closed);
        for _ in 0..attempts {
            last = self.attempt(request).await;
            if matches!(&last, Ok(reply) if reply.status == 200) {
                break;
            }
        }
        last
    }

    async fn attempt(
        &self,
        request: &HttpRequest,
    ) -> Result<HttpReply, HttpFault> {
        let engine = self.next_engine();
        let id = format!("naive-{}-{}", std::process::id(), self.turn.get());
        let connection = self.http.connect(engine).await?;
        let message = Request::post(request.path())
            .header("x-request-id", id)
            .body(request.body.clone())
            .map_err(std::io::Error::other)?;
        self.http.send(engine, connection, message, ENGINE_TIME).await
    }

    async fn chat(
        &self,
        request: &HttpRequest,
        responder: &mut HttpResponder,
    ) -> bool {
        let auth = request.header("authorization").unwrap_or_default();
        let key = auth.to_owned();
        if !self.may_spend(&key).await {
            return refuse(responder, 402, "budget_exhausted").await;
        }
        let Ok(reply) = self.dispatch(request).await else {
            return refuse(responder, 502, "upstream_failed").await;
        };
        if reply.status != 200 {
            return refuse(responder, 502, "upstream_failed").await;
        }
        let (kept, tokens) = self.relay(reply, responder).await;
        self.add(&key, tokens).await;
        kept
    }

    /// Reads ahead without a bound while the caller reads.
    async fn relay(
        &self,
        mut reply: HttpReply,
        responder: &mut HttpResponder,
    ) -> (bool, u64) {
        let mut head = Response::new(());
        if let Some(value) = reply.headers.get("content-type") {
            head.headers_mut().insert("content-type", value.clone());
        }
        let Ok(mut writer) = responder.start_stream(head).await else {
            return (false, 0);
        };
        let deadline = Instant::now() + ENGINE_TIME;
        let mut scanner = SseScanner::new();
        let mut waiting: Vec<u8> = Vec::new();
        let (mut tokens, mut ended, mut kept) = (0, false, true);
        while kept && !(ended && waiting.is_empty()) {
            let chunk = std::mem::take(&mut waiting);
            let mut write = std::pin::pin!(writer.send(&chunk));
            loop {
                let reads = !ended && waiting.len() < READ_AHEAD;
                monoio::select! {
                    part = reply.body.next_chunk(deadline), if reads => {
                        let Ok(Some(part)) = part else {
                            ended = true;
                            continue;
                        };
                        self.take_part(&part, &mut waiting);
                        tokens = scan(&mut scanner, &part).unwrap_or(tokens);
                    }
                    sent = &mut write => {
                        self.held.set(self.held.get() - chunk.len());
                        kept = sent.is_ok();
                        break;
                    }
                }
            }
            if waiting.is_empty() && !ended {
                match reply.body.next_chunk(deadline).await {
                    Ok(Some(part)) => {
                        self.take_part(&part, &mut waiting);
                        tokens = scan(&mut scanner, &part).unwrap_or(tokens);
                    }
                    _ => ended = true,
                }
            }
        }
        self.held.set(self.held.get() - waiting.len());
        (kept && writer.finish().await.is_ok(), tokens)
    }

    /// Keeps a part until the caller reads it.
    fn take_part(&self, part: &[u8], waiting: &mut Vec<u8>) {
        waiting.extend_from_slice(part);
        let held = self.held.get() + part.len();
        self.held.set(held);
        self.held_peak.set(self.held_peak.get().max(held));
    }

    fn counter(&self, request: &HttpRequest) -> Response<Bytes> {
        let value: Value =
            serde_json::from_slice(&request.body).unwrap_or_default();
        let key = value["key"].as_str().unwrap_or_default().to_owned();
        let mut spent = self.spent.borrow_mut();
        let spent = spent.entry(key).or_default();
        *spent += value["tokens"].as_u64().unwrap_or(0);
        json_response(200, &json!({"allowed": *spent < self.options.paid}))
    }

    fn entry(&self) -> Response<Bytes> {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let mut addresses = Vec::new();
        for (number, address) in self.options.routers.iter().enumerate() {
            addresses.push(EntryAddress {
                vm: format!("router-{number}"),
                address: *address,
                region: String::new(),
                domain: String::new(),
            });
        }
        let count = addresses.len();
        addresses.rotate_left(turn % count);
        json_response(200, &json!(EntryAnswer { addresses, lifetime_s: 1 }))
    }

    fn admin(&self, request: &HttpRequest) -> Response<Bytes> {
        if request.path() == "/admin/move" {
            let value: Value =
                serde_json::from_slice(&request.body).unwrap_or_default();
            let time = value["time_ms"].as_u64().unwrap_or(1_000);
            let time = Duration::from_millis(time);
            self.move_start.set(Some((Instant::now(), time)));
        }
        let spent: u64 = self.spent.borrow().values().sum();
        let held_peak = self.held_peak.get();
        json_response(200, &json!({"spent": spent, "held_peak": held_peak}))
    }
}

/// The total tokens, if the events of a part state them.
fn scan(scanner: &mut SseScanner, part: &[u8]) -> Option<u64> {
    scanner.push(part);
    let mut tokens = None;
    while let Some(event) = scanner.next_event() {
        tokens = event.total_tokens.or(tokens);
    }
    tokens
}

async fn refuse(
    responder: &mut HttpResponder,
    status: u16,
    kind: &str,
) -> bool {
    let body = json!({"error": {"kind": kind, "ran": "unknown"}});
    responder.send(json_response(status, &body)).await.is_ok()
}

impl StandinHandler for NaiveRouter {
    async fn handle(
        self: Rc<Self>,
        request: HttpRequest,
        _reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> bool {
        let path = request.path();
        let response = match path {
            "/v1/chat/completions" => {
                return self.chat(&request, responder).await;
            }
            "/v1/entry" => self.entry(),
            "/readyz" => json_response(200, &json!({})),
            _ if path.starts_with("/counter/") => self.counter(&request),
            _ => self.admin(&request),
        };
        responder.send(response).await.is_ok()
    }
}
