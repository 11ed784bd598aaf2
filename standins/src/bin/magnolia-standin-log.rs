//! The platform's append-only log and list of VMs, for tests and the demo.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use {
    clap::Parser,
    magnolia_standins::{log::LogStandin, server::run_standin},
    magnoliahaven::telemetry::init_logging,
};

/// Stand-in for the platform's append-only log and its list of VMs.
///
/// POST /v1/append and /v1/read, GET /v1/vms. POST /admin/faults switches
/// outages, delays and lost answers, POST /admin/vms changes the list, GET
/// /admin/stats counts calls. Exit code 1 if the address cannot be used.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7400")]
    listen: SocketAddr,
    /// Seconds for which records are kept.
    #[arg(long, default_value_t = 86_400)]
    retention_s: u64,
    /// Milliseconds after which a change of the list of VMs shows.
    #[arg(long, default_value_t = 200)]
    vm_lag_ms: u64,
}

fn main() -> ExitCode {
    let options = Options::parse();
    init_logging("standin-log");
    let retention = Duration::from_secs(options.retention_s);
    let lag = Duration::from_millis(options.vm_lag_ms);
    run_standin(options.listen, || LogStandin::new(retention, lag))
}
