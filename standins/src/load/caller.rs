//! One caller.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::Request,
    magnoliahaven::{
        adapters::{
            http::{HttpClient, HttpFault, HttpReply, ReplyTimeouts},
            upstream::REQUEST_ID_HEADER,
        },
        entry::EntryAnswer,
        router::SseScanner,
    },
    serde_json::{Value, json},
};

use crate::engine::expected_text;

/// Longest time for an entry answer.
const ENTRY_TIME: Duration = Duration::from_secs(1);

/// Longest time for one request.
const CALL_TIME: Duration = Duration::from_secs(60);

/// Where a caller sends its requests.
#[derive(Clone, Debug)]
pub enum CallTarget {
    /// Routers that are asked for addresses.
    Routers(Vec<SocketAddr>),
    /// Engines that are used directly, one after another.
    Engines(Vec<SocketAddr>),
}

/// One request.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The model.
    pub model: String,
    /// The prompt; `len=N` in it asks for `N` tokens.
    pub prompt: String,
    /// Output tokens that the whole answer has.
    pub length: u64,
    /// Whether the answer is streamed.
    pub streams: bool,
    /// The idempotency key.
    pub key: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer arrived.
    Answered,
    /// The whole answer arrived, and it answers something else.
    WrongAnswer,
    /// The router refused the request with this kind.
    Refused {
        /// The kind of the error.
        kind: String,
        /// What the error says about whether the request ran.
        ran: String,
        /// Seconds after which to come back.
        retry_after_s: Option<u64>,
    },
    /// The answer broke off, or none came.
    Broken,
}

/// What a caller saw of a request.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// How it ended.
    pub end: CallEnd,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between two tokens.
    pub gaps: Vec<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Total tokens that the answer states.
    pub tokens: u64,
    /// Where the request was sent.
    pub address: Option<SocketAddr>,
}

/// A caller with its connections and its entry answer.
pub struct LoadCaller {
    client: HttpClient,
    target: CallTarget,
    key: String,
    region: String,
    addresses: Vec<SocketAddr>,
    valid_until: Instant,
    next_engine: usize,
    number: usize,
    sent: u64,
}

impl LoadCaller {
    /// Creates a caller with the key of a client account.
    pub fn new(target: CallTarget, key: &str, number: usize) -> LoadCaller {
        LoadCaller {
            client: HttpClient::new(),
            target,
            key: key.to_owned(),
            region: String::new(),
            addresses: Vec::new(),
            valid_until: Instant::now(),
            next_engine: number,
            number,
            sent: 0,
        }
    }

    /// Sets the region that the caller names when it asks for addresses.
    pub fn with_region(mut self, region: &str) -> LoadCaller {
        region.clone_into(&mut self.region);
        self
    }

    /// The address to use now; `None` if no router answers.
    pub async fn address(&mut self) -> Option<SocketAddr> {
        let routers = match &self.target {
            CallTarget::Engines(engines) => {
                self.next_engine += 1;
                return Some(engines[self.next_engine % engines.len()]);
            }
            CallTarget::Routers(routers) => routers.clone(),
        };
        if !self.addresses.is_empty() && Instant::now() < self.valid_until {
            return self.addresses.first().copied();
        }
        for step in 0..routers.len() {
            let index = (self.next_engine + step) % routers.len();
            let answer = self.ask(routers[index]).await;
            let Some(answer) = answer.filter(|a| !a.addresses.is_empty())
            else {
                continue;
            };
            let lifetime = Duration::from_secs(answer.lifetime_s);
            self.valid_until = Instant::now() + lifetime;
            let addresses = answer.addresses.iter();
            self.addresses = addresses.map(|entry| entry.address).collect();
            return self.addresses.first().copied();
        }
        None
    }

    async fn ask(&self, router: SocketAddr) -> Option<EntryAnswer> {
        let path = format!("/v1/entry?region={}", self.region);
        let request = Request::get(path)
            .header("authorization", format!("Bearer {}", self.key))
            .body(Bytes::new())
            .ok()?;
        let time = ReplyTimeouts::within(ENTRY_TIME);
        let reply = self.client.fetch(router, request, time).await;
        let (_, body) = reply.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Goes on to the next address after one has failed.
    pub fn give_up_address(&mut self) {
        if !self.addresses.is_empty() {
            self.addresses.remove(0);
        }
    }

    /// Sends one request.
    pub async fn call(&mut self, request: &CallRequest) -> CallOutcome {
        let started = Instant::now();
        self.sent += 1;
        let address = self.address().await;
        let mut outcome = CallOutcome {
            end: CallEnd::Broken,
            first_token: None,
            gaps: Vec::new(),
            total: Duration::ZERO,
            tokens: 0,
            address,
        };
        if let Some(address) = address {
            let sent = self.send(address, request, started, &mut outcome);
            if sent.await.is_err() {
                outcome.end = CallEnd::Broken;
            }
        }
        if outcome.end == CallEnd::Broken {
            self.give_up_address();
        }
        outcome.total = started.elapsed();
        outcome
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: &CallRequest,
        started: Instant,
        outcome: &mut CallOutcome,
    ) -> Result<(), HttpFault> {
        let connection = self.client.connect(address).await?;
        let body = json!({
            "model": request.model,
            "messages": [{"role": "user", "content": request.prompt}],
            "max_tokens": request.length,
            "stream": request.streams,
        });
        let mut message = Request::post("/v1/chat/completions")
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        if let CallTarget::Engines(_) = self.target {
            // A router names each request; without one the caller has to,
            // or the engine takes all of them for the same.
            let id = format!("direct-{}-{}", self.number, self.sent);
            message = message.header(REQUEST_ID_HEADER, id);
        }
        if let Some(key) = &request.key {
            message = message.header("idempotency-key", key);
        }
        let message = message
            .body(Bytes::from(body.to_string()))
            .map_err(std::io::Error::other)?;
        let reply =
            self.client.send(address, connection, message, CALL_TIME).await?;
        let deadline = started + CALL_TIME;
        if reply.status != 200 {
            let body = reply.body.collect(deadline).await?;
            outcome.end = refusal(&body);
            return Ok(());
        }
        if request.streams {
            return read_stream(reply, request, started, outcome).await;
        }
        let body = reply.body.collect(deadline).await?;
        outcome.first_token = Some(started.elapsed());
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        let text = value["choices"][0]["message"]["content"].as_str();
        outcome.tokens = value["usage"]["total_tokens"].as_u64().unwrap_or(0);
        outcome.end = compare(request, text.unwrap_or_default());
        Ok(())
    }
}

fn refusal(body: &[u8]) -> CallEnd {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let text = |name: &str| error[name].as_str().unwrap_or("?").to_owned();
    CallEnd::Refused {
        kind: text("kind"),
        ran: text("ran"),
        retry_after_s: error["retry_after_s"].as_u64(),
    }
}

fn compare(request: &CallRequest, text: &str) -> CallEnd {
    if text == expected_text(&request.prompt, request.length) {
        return CallEnd::Answered;
    }
    CallEnd::WrongAnswer
}

async fn read_stream(
    mut reply: HttpReply,
    request: &CallRequest,
    started: Instant,
    outcome: &mut CallOutcome,
) -> Result<(), HttpFault> {
    let mut scanner = SseScanner::new();
    let mut text = String::new();
    let mut last = started;
    let mut done = false;
    let deadline = started + CALL_TIME;
    while let Some(part) = reply.body.next_chunk(deadline).await? {
        scanner.push(&part);
        while let Some(event) = scanner.next_event() {
            done |= event.done;
            let data = event.bytes.strip_prefix(b"data: ");
            let data = data.unwrap_or_default().trim_ascii_end();
            let Ok(value) = serde_json::from_slice::<Value>(data) else {
                continue;
            };
            if let Some(tokens) = event.total_tokens {
                outcome.tokens = tokens;
            }
            let delta = value["choices"][0]["delta"]["content"].as_str();
            let Some(delta) = delta else {
                continue;
            };
            text.push_str(delta);
            let now = Instant::now();
            if outcome.first_token.is_none() {
                outcome.first_token = Some(now - started);
            } else {
                outcome.gaps.push(now - last);
            }
            last = now;
        }
    }
    if done {
        outcome.end = compare(request, &text);
    }
    Ok(())
}
