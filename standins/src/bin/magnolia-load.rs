//! The load and experiment tool.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use {
    clap::Parser,
    magnolia_standins::{
        load::{CallTarget, LoadOptions, LoadPace, run_load},
        server::block_on,
    },
    serde_json::json,
};

/// Exit code if an answer was wrong.
const EXIT_WRONG: u8 = 1;

/// Sends chat requests as callers do and prints a report in JSON.
///
/// With --engines as well as --routers the same load goes first straight to
/// the engines and then through the routers; the report then has the
/// latency that the routers add. Exit codes: 0 done; 1 a whole answer was
/// not the one asked for; 2 wrong arguments.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// Routers that are asked for addresses.
    #[arg(long, value_delimiter = ',')]
    routers: Vec<SocketAddr>,
    /// Engines that are used directly.
    #[arg(long, value_delimiter = ',')]
    engines: Vec<SocketAddr>,
    /// Keys of client accounts, used in turn.
    #[arg(long, value_delimiter = ',', required = true)]
    keys: Vec<String>,
    /// The model.
    #[arg(long, default_value = "assistant")]
    model: String,
    /// Callers at once.
    #[arg(long, default_value_t = 64)]
    callers: usize,
    /// Requests a second in an open loop; a closed loop without it.
    #[arg(long)]
    rate: Option<f64>,
    /// Seconds for which requests are started.
    #[arg(long, default_value_t = 10)]
    duration_s: u64,
    /// Fewest output tokens of an answer.
    #[arg(long, default_value_t = 16)]
    least_tokens: u64,
    /// Most output tokens of an answer.
    #[arg(long, default_value_t = 48)]
    most_tokens: u64,
    /// Ask for whole answers instead of streams.
    #[arg(long)]
    whole: bool,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    let options = Options::parse();
    if options.routers.is_empty() && options.engines.is_empty() {
        eprintln!("--routers or --engines is needed");
        return ExitCode::from(2);
    }
    match block_on(run(&options)) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("no runtime: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> ExitCode {
    let mut reports = serde_json::Map::new();
    let mut wrong = 0;
    let mut first_tokens = Vec::new();
    let targets = [
        ("direct", CallTarget::Engines(options.engines.clone())),
        ("routed", CallTarget::Routers(options.routers.clone())),
    ];
    for (name, target) in targets {
        let (CallTarget::Engines(list) | CallTarget::Routers(list)) = &target;
        if list.is_empty() {
            continue;
        }
        let report = run_load(&load_options(options, target)).await;
        wrong += report.wrong_answers;
        first_tokens.push(report.first_token);
        reports.insert(name.to_owned(), json!(report));
    }
    if let [direct, routed] = first_tokens.as_slice() {
        let added = json!({
            "p50": routed.p50_ms - direct.p50_ms,
            "p95": routed.p95_ms - direct.p95_ms,
            "p99": routed.p99_ms - direct.p99_ms,
        });
        reports.insert("added_first_token_ms".to_owned(), added);
    }
    println!("{}", serde_json::Value::Object(reports));
    if wrong > 0 {
        return ExitCode::from(EXIT_WRONG);
    }
    ExitCode::SUCCESS
}

fn load_options(options: &Options, target: CallTarget) -> LoadOptions {
    LoadOptions {
        target,
        keys: options.keys.clone(),
        model: options.model.clone(),
        callers: options.callers,
        pace: options.rate.map_or(LoadPace::Closed, LoadPace::Open),
        duration: Duration::from_secs(options.duration_s),
        least_tokens: options.least_tokens,
        most_tokens: options.most_tokens,
        streams: !options.whole,
        seed: options.seed,
    }
}
