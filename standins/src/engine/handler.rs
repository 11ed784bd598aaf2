//! The calls of the engine stand-in.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use {
    http::{Method, Response},
    magnoliahaven::adapters::{
        http::{
            HttpRequest, HttpResponder, RequestReader, StreamWriter,
            json_response,
        },
        upstream::{
            BILL_HEADER, CANCEL_PATH, LOAD_HEADER, PRIOR_TOKENS_HEADER,
            PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER,
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::{Deserialize, Serialize},
    serde_json::json,
};

use super::{ChatPrompt, LoadMeter, PlainBook, StreamBook, StreamClaim};
use crate::server::StandinHandler;

/// How an engine behaves without faults.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The name of the VM.
    pub vm: String,
    /// Most requests that the engine carries.
    pub limit: u32,
    /// Duration of a step with an empty batch.
    pub step: Duration,
    /// Time until the first step of a request.
    pub prefill: Duration,
    /// Age of the load reports.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Faults of an engine, as `/admin/faults` takes them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Share of the requests that fail, in percent.
    pub fail_percent: u32,
    /// Only requests whose prompt or path contains this text fail.
    pub fail_only: String,
    /// Only requests of this priority fail.
    pub fail_priority: Option<u8>,
    /// Requests before the first failure.
    pub fail_after: u64,
    /// Every step takes this many times as long; 0 means 1.
    pub slow_factor: u32,
    /// Slowness shows only with more than this many requests running.
    pub slow_above: u32,
    /// Generation stands still.
    pub stall: bool,
    /// Plain calls run and their answers are lost.
    pub lose_answers: bool,
    /// Streams break off after this many tokens; 0 means never.
    pub break_after: u64,
}

/// A model engine and plain service.
pub struct EngineStandin {
    options: EngineOptions,
    faults: RefCell<EngineFaults>,
    load: RefCell<LoadMeter>,
    streams: RefCell<StreamBook>,
    plain: RefCell<PlainBook>,
    random: RefCell<SmallRng>,
    requests: Cell<u64>,
    failures: Cell<u64>,
    last_request: Cell<Option<Instant>>,
    fence: Cell<u64>,
}

/// Counts a request as running for as long as it lives.
struct RunningGuard<'a> {
    engine: &'a EngineStandin,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.engine.load.borrow_mut().leave();
    }
}

/// An order to the engine.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineOrder {
    fence: u64,
}

impl EngineStandin {
    /// Creates an engine without requests.
    pub fn new(options: EngineOptions) -> EngineStandin {
        let meter =
            LoadMeter::new(options.limit, options.step, options.report_lag);
        let random = SmallRng::seed_from_u64(options.seed);
        EngineStandin {
            options,
            faults: RefCell::default(),
            load: RefCell::new(meter),
            streams: RefCell::new(StreamBook::new()),
            plain: RefCell::new(PlainBook::new()),
            random: RefCell::new(random),
            requests: Cell::new(0),
            failures: Cell::new(0),
            last_request: Cell::new(None),
            fence: Cell::new(0),
        }
    }

    fn run(&self) -> RunningGuard<'_> {
        self.load.borrow_mut().enter();
        RunningGuard { engine: self }
    }

    /// Whether the next request fails.
    fn fails(&self, text: &str, request: &HttpRequest) -> bool {
        let faults = self.faults.borrow();
        let number = self.requests.get() + 1;
        self.requests.set(number);
        self.last_request.set(Some(Instant::now()));
        let priority = request.header(PRIORITY_HEADER);
        let priority = priority.and_then(|text| text.parse().ok());
        let concerned = text.contains(&faults.fail_only)
            && (faults.fail_priority.is_none()
                || faults.fail_priority == priority);
        if !concerned || number <= faults.fail_after {
            return false;
        }
        let dice = self.random.borrow_mut().random_range(0..100);
        let fails = dice < faults.fail_percent;
        self.failures.set(self.failures.get() + u64::from(fails));
        fails
    }

    /// Waits for the next step of a request.
    ///
    /// Past the limit less urgent requests get fewer of the steps.
    async fn step(&self, priority: u32) {
        while self.faults.borrow().stall {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        let step = {
            let load = self.load.borrow();
            let faults = self.faults.borrow();
            let slow = load.running() > faults.slow_above;
            let factor = if slow { faults.slow_factor.max(1) } else { 1 };
            let crowded = load.running() > self.options.limit;
            let turns = if crowded { 1 + priority } else { 1 };
            load.step() * factor * turns
        };
        if step.is_zero() {
            yield_now().await;
            return;
        }
        monoio::time::sleep(step).await;
    }

    fn head(&self, claim: &StreamClaim) -> Response<()> {
        let mut head = Response::new(());
        let headers = head.headers_mut();
        let load = self.load.borrow_mut().report();
        headers.insert(LOAD_HEADER, load.into());
        headers.insert(PRIOR_TOKENS_HEADER, claim.prior.into());
        if let Ok(bill) = claim.bill.parse() {
            headers.insert(BILL_HEADER, bill);
        }
        head
    }

    async fn chat(
        &self,
        request: &HttpRequest,
        reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> bool {
        let Some(prompt) = ChatPrompt::parse(&request.body) else {
            let response = json_response(400, &json!({"error": "malformed"}));
            return responder.send(response).await.is_ok();
        };
        if self.fails(&prompt.text, request) {
            let response = json_response(500, &json!({"error": "fault"}));
            return responder.send(response).await.is_ok();
        }
        let id = request.header(REQUEST_ID_HEADER).unwrap_or("none");
        let bill = request.header(BILL_HEADER).unwrap_or_default();
        let claim = self.streams.borrow_mut().claim(id, bill, prompt.tokens());
        let _running = self.run();
        monoio::select! {
            kept = self.generate(&prompt, id, &claim, request, responder) => {
                kept
            }
            // The stream stays known and can be resumed.
            () = reader.wait_closed() => false,
        }
    }

    async fn generate(
        &self,
        prompt: &ChatPrompt,
        id: &str,
        claim: &StreamClaim,
        request: &HttpRequest,
        responder: &mut HttpResponder,
    ) -> bool {
        if claim.fresh {
            monoio::time::sleep(self.options.prefill).await;
        }
        if !prompt.streams {
            return self.generate_whole(prompt, id, claim, responder).await;
        }
        let resume = request.header(RESUME_HEADER);
        let from = resume.and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut head = self.head(claim);
        let value = http::HeaderValue::from_static("text/event-stream");
        head.headers_mut().insert("content-type", value);
        let Ok(mut writer) = responder.start_stream(head).await else {
            return false;
        };
        for index in from..prompt.length {
            if !self.make_token(id, claim, index).await {
                return false;
            }
            let text = prompt.output(index);
            let event = json!({"choices": [
                {"index": 0, "delta": {"content": text}}
            ]});
            if !send_event(&mut writer, &event.to_string()).await {
                return false;
            }
        }
        let event = json!({"choices": [], "usage": usage(prompt)});
        send_event(&mut writer, &event.to_string()).await
            && send_event(&mut writer, "[DONE]").await
            && writer.finish().await.is_ok()
    }

    async fn generate_whole(
        &self,
        prompt: &ChatPrompt,
        id: &str,
        claim: &StreamClaim,
        responder: &mut HttpResponder,
    ) -> bool {
        let mut whole = String::new();
        for index in 0..prompt.length {
            if !self.make_token(id, claim, index).await {
                return false;
            }
            whole.push_str(&prompt.output(index));
        }
        let body = json!({
            "choices": [{"index": 0, "message": {
                "role": "assistant", "content": whole,
            }}],
            "usage": usage(prompt),
        });
        let mut response = json_response(200, &body);
        let head = self.head(claim);
        for (name, value) in head.headers() {
            response.headers_mut().insert(name, value.clone());
        }
        responder.send(response).await.is_ok()
    }

    /// Makes the token at a position, unless it exists already.
    async fn make_token(
        &self,
        id: &str,
        claim: &StreamClaim,
        index: u64,
    ) -> bool {
        let broken = self.faults.borrow().break_after;
        if broken > 0 && index >= broken {
            return false;
        }
        if index >= claim.generated {
            self.step(claim.priority).await;
        }
        let mut streams = self.streams.borrow_mut();
        if !streams.is_current(id, claim.epoch) {
            return false;
        }
        streams.advance(id, index + 1);
        true
    }

    async fn plain(
        &self,
        request: &HttpRequest,
        responder: &mut HttpResponder,
    ) -> bool {
        let _running = self.run();
        self.step(0).await;
        if self.fails(request.path(), request) {
            let response = json_response(500, &json!({"error": "fault"}));
            return responder.send(response).await.is_ok();
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let runs = self.plain.borrow_mut().run(&body);
        if self.faults.borrow().lose_answers {
            return false;
        }
        let answer = json!({"served_by": self.options.vm, "runs": runs});
        responder.send(json_response(200, &answer)).await.is_ok()
    }

    fn stop(&self, id: &str) -> Response<bytes::Bytes> {
        match self.streams.borrow_mut().stop(id) {
            Some(total_tokens) => {
                json_response(200, &json!({"total_tokens": total_tokens}))
            }
            None => json_response(404, &json!({"error": "unknown"})),
        }
    }

    fn order(&self, request: &HttpRequest) -> Response<bytes::Bytes> {
        let order = serde_json::from_slice::<EngineOrder>(&request.body);
        let Ok(order) = order else {
            return json_response(400, &json!({"error": "malformed"}));
        };
        if self.options.fenced && order.fence < self.fence.get() {
            let known = self.fence.get();
            return json_response(
                409,
                &json!({"error": "old", "fence": known}),
            );
        }
        self.fence.set(order.fence);
        json_response(200, &json!({}))
    }

    fn admin(&self, request: &HttpRequest) -> Response<bytes::Bytes> {
        match request.path() {
            "/admin/faults" => match serde_json::from_slice(&request.body) {
                Ok(faults) => {
                    *self.faults.borrow_mut() = faults;
                    json_response(200, &json!({}))
                }
                Err(err) => {
                    json_response(400, &json!({"error": err.to_string()}))
                }
            },
            "/admin/reset-peak" => {
                self.load.borrow_mut().reset_peak();
                json_response(200, &json!({}))
            }
            "/admin/stats" => json_response(200, &self.stats()),
            _ => json_response(404, &json!({"error": "no such call"})),
        }
    }

    fn stats(&self) -> serde_json::Value {
        let load = self.load.borrow();
        let streams = self.streams.borrow();
        let plain = self.plain.borrow();
        let idle = self.last_request.get().map(|at| at.elapsed());
        json!({
            "vm": self.options.vm,
            "running": load.running(),
            "peak": load.peak(),
            "limit": self.options.limit,
            "requests": self.requests.get(),
            "failures": self.failures.get(),
            "runs": streams.runs(),
            "tokens": streams.tokens(),
            "plain_runs": plain.total(),
            "plain_repeated": plain.repeated(),
            "idle_ms": idle.map(|idle| idle.as_millis() as u64),
        })
    }
}

/// Lets the other tasks of the thread run.
async fn yield_now() {
    let mut yielded = false;
    poll_fn(|context| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

fn usage(prompt: &ChatPrompt) -> serde_json::Value {
    json!({
        "prompt_tokens": prompt.tokens(),
        "completion_tokens": prompt.length,
        "total_tokens": prompt.tokens() + prompt.length,
    })
}

async fn send_event(writer: &mut StreamWriter<'_>, data: &str) -> bool {
    writer.send(format!("data: {data}\n\n").as_bytes()).await.is_ok()
}

impl StandinHandler for EngineStandin {
    async fn handle(
        self: Rc<Self>,
        request: HttpRequest,
        reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> bool {
        let path = request.path();
        if path.starts_with("/admin/") {
            return responder.send(self.admin(&request)).await.is_ok();
        }
        if path == "/v1/chat/completions" {
            return self.chat(&request, reader, responder).await;
        }
        if path == "/v1/orders" {
            return responder.send(self.order(&request)).await.is_ok();
        }
        if request.head.method == Method::DELETE
            && let Some(id) = path.strip_prefix(CANCEL_PATH)
        {
            return responder.send(self.stop(id)).await.is_ok();
        }
        self.plain(&request, responder).await
    }
}
