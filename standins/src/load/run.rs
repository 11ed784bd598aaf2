//! Many callers at once.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    CallEnd, CallRequest, CallTarget, LoadCaller, LoadReport,
    report::OutcomeLog,
};

/// Longest wait of a caller that was refused.
const LONGEST_RETRY: Duration = Duration::from_secs(2);

/// When callers send their next request.
#[derive(Clone, Copy, Debug)]
pub enum LoadPace {
    /// As soon as the last one has ended.
    Closed,
    /// At this many requests a second over all callers, whether or not
    /// earlier ones have ended.
    Open(f64),
}

/// What a load run does.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Where requests go.
    pub target: CallTarget,
    /// Keys of client accounts, used in turn.
    pub keys: Vec<String>,
    /// The model.
    pub model: String,
    /// Callers at once; in an open loop, callers that take turns.
    pub callers: usize,
    /// When callers send.
    pub pace: LoadPace,
    /// For how long requests are started.
    pub duration: Duration,
    /// Fewest output tokens of an answer.
    pub least_tokens: u64,
    /// Most output tokens of an answer.
    pub most_tokens: u64,
    /// Whether answers are streamed.
    pub streams: bool,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Runs a load and reports what its callers saw.
pub async fn run_load(options: &LoadOptions) -> LoadReport {
    let log = Rc::new(RefCell::new(OutcomeLog::new()));
    let started = Instant::now();
    match options.pace {
        LoadPace::Closed => run_closed(options, &log).await,
        LoadPace::Open(rate) => run_open(options, rate, &log).await,
    }
    let log = log.replace(OutcomeLog::new());
    log.finish(started.elapsed())
}

fn make_request(
    options: &LoadOptions,
    random: &mut SmallRng,
    caller: usize,
    number: u64,
) -> CallRequest {
    let tokens = options.least_tokens..=options.most_tokens;
    let length = random.random_range(tokens);
    CallRequest {
        model: options.model.clone(),
        prompt: format!("caller {caller} request {number} len={length}"),
        length,
        streams: options.streams,
        key: None,
    }
}

fn key_of(options: &LoadOptions, caller: usize) -> &str {
    &options.keys[caller % options.keys.len()]
}

async fn run_closed(options: &LoadOptions, log: &Rc<RefCell<OutcomeLog>>) {
    let end = Instant::now() + options.duration;
    let mut tasks = Vec::new();
    for number in 0..options.callers {
        let (options, log) = (options.clone(), log.clone());
        tasks.push(monoio::spawn(async move {
            run_caller(&options, number, end, &log).await;
        }));
    }
    for task in tasks {
        task.await;
    }
}

async fn run_caller(
    options: &LoadOptions,
    number: usize,
    end: Instant,
    log: &RefCell<OutcomeLog>,
) {
    let key = key_of(options, number);
    let mut caller = LoadCaller::new(options.target.clone(), key, number);
    let seed = options.seed.wrapping_add(number as u64);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut sent = 0;
    while Instant::now() < end {
        let request = make_request(options, &mut random, number, sent);
        sent += 1;
        let outcome = caller.call(&request).await;
        log.borrow_mut().note(&outcome);
        match outcome.end {
            CallEnd::Refused { retry_after_s, .. } => {
                let wait = Duration::from_secs(retry_after_s.unwrap_or(1));
                let left = end.saturating_duration_since(Instant::now());
                let wait = wait.min(LONGEST_RETRY).min(left);
                monoio::time::sleep(wait).await;
            }
            CallEnd::Broken => {
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
            _ => {}
        }
    }
}

async fn run_open(
    options: &LoadOptions,
    rate: f64,
    log: &Rc<RefCell<OutcomeLog>>,
) {
    let mut random = SmallRng::seed_from_u64(options.seed);
    let started = Instant::now();
    let mut idle: Vec<(usize, LoadCaller)> = Vec::new();
    for number in 0..options.callers {
        let key = key_of(options, number);
        let caller = LoadCaller::new(options.target.clone(), key, number);
        idle.push((number, caller));
    }
    let idle = Rc::new(RefCell::new(idle));
    let mut tasks = Vec::new();
    let mut next = Duration::ZERO;
    let mut sent = 0;
    while next < options.duration {
        let wait = (started + next).saturating_duration_since(Instant::now());
        monoio::time::sleep(wait).await;
        let request = make_request(options, &mut random, 0, sent);
        sent += 1;
        // Exponential gaps make independent arrivals.
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        next += Duration::from_secs_f64(-uniform.ln() / rate);
        let (number, mut caller) =
            idle.borrow_mut().pop().unwrap_or_else(|| {
                let number = sent as usize;
                let key = key_of(options, number);
                let target = options.target.clone();
                (number, LoadCaller::new(target, key, number))
            });
        let (log, idle) = (log.clone(), idle.clone());
        tasks.push(monoio::spawn(async move {
            let outcome = caller.call(&request).await;
            log.borrow_mut().note(&outcome);
            idle.borrow_mut().push((number, caller));
        }));
    }
    for task in tasks {
        task.await;
    }
}
