//! The router process, one on each entry VM.

use std::process::ExitCode;

use {
    clap::Parser,
    magnoliahaven::{
        RouterSettings,
        process::run_process,
        router::RouterProcess,
        runtime::{LaunchOptions, launch},
    },
};

/// Routes requests of client accounts to upstreams.
///
/// Reads its settings from a YAML file and serves until it is told to leave
/// by SIGTERM, SIGINT or `magnolia-ctl leave`. It then finishes every
/// request in progress, settles and returns its grants.
///
/// Exit codes: 0 left with everything settled; 2 faulty settings; 3 an
/// address cannot be used; 4 left with something unsettled.
#[derive(Parser)]
#[command(version)]
struct Options {
    #[command(flatten)]
    launch: LaunchOptions,
}

fn main() -> ExitCode {
    let options = Options::parse();
    launch(&options.launch, run)
}

async fn run(settings: RouterSettings) -> ExitCode {
    let started = RouterProcess::new(settings).and_then(RouterProcess::start);
    run_process(started, RouterProcess::finish).await
}
