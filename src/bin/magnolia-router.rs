//! The router process, one on each entry VM.

use std::process::ExitCode;

use {
    clap::Parser,
    magnoliahaven::{
        RouterSettings,
        router::RouterProcess,
        runtime::{EXIT_START, EXIT_UNSETTLED, LaunchOptions, launch},
        telemetry::LogEvent,
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
    let process = RouterProcess::new(settings).and_then(RouterProcess::start);
    let process = match process {
        Ok(process) => process,
        Err(fault) => {
            log::error!(
                event:% = LogEvent::StartFailed, fault:%; "{fault}"
            );
            return ExitCode::from(EXIT_START);
        }
    };
    if process.serve().await.finish().await {
        return ExitCode::SUCCESS;
    }
    ExitCode::from(EXIT_UNSETTLED)
}
