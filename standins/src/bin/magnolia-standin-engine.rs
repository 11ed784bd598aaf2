//! A model engine and plain service, for tests and the demo.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use {
    clap::Parser,
    magnolia_standins::{
        engine::{EngineOptions, EngineStandin},
        server::run_standin,
    },
    magnoliahaven::telemetry::init_logging,
};

/// Stand-in for a model engine and for a plain service.
///
/// POST /v1/chat/completions generates, DELETE /v1/streams/ID stops a
/// request, POST /v1/orders takes an order, any other POST is a plain call.
/// POST /admin/faults switches faults, GET /admin/stats counts. Exit code 1
/// if the address cannot be used.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the VM.
    #[arg(long, default_value = "engine")]
    vm: String,
    /// Most requests that the engine carries before it collapses.
    #[arg(long, default_value_t = 16)]
    limit: u32,
    /// Microseconds of a step with an empty batch.
    #[arg(long, default_value_t = 5_000)]
    step_us: u64,
    /// Milliseconds until the first step of a request.
    #[arg(long, default_value_t = 20)]
    prefill_ms: u64,
    /// Milliseconds by which load reports are late.
    #[arg(long, default_value_t = 500)]
    report_lag_ms: u64,
    /// Refuse orders with an old fencing number.
    #[arg(long)]
    fenced: bool,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    let options = Options::parse();
    init_logging(&options.vm);
    let engine = EngineOptions {
        vm: options.vm,
        limit: options.limit,
        step: Duration::from_micros(options.step_us),
        prefill: Duration::from_millis(options.prefill_ms),
        report_lag: Duration::from_millis(options.report_lag_ms),
        fenced: options.fenced,
        seed: options.seed,
    };
    run_standin(options.listen, || EngineStandin::new(engine))
}
