//! The operators' shared screen.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use {
    clap::Parser,
    magnoliahaven::{
        ctl::{CtlClient, run_board},
        runtime::block_on,
    },
};

/// Shows the preset in force, version moves, budgets near their end, routers
/// and VMs that leave, and how old all of this is.
///
/// Works with the log out as well: it says so, keeps what it knew and asks
/// the routers. Exit code 1 if there is no runtime.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// Address of the platform's log.
    #[arg(long, env = "MAGNOLIA_LOG_ADDRESS")]
    #[arg(default_value = "127.0.0.1:7400")]
    log: SocketAddr,
    /// Number of account partitions, as in the routers' settings.
    #[arg(long, env = "MAGNOLIA_PARTITIONS", default_value_t = 16)]
    partitions: u32,
    /// Seconds between two readings.
    #[arg(long, default_value_t = 2)]
    period_s: u64,
    /// Show the screen once and exit.
    #[arg(long)]
    once: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let period = Duration::from_secs(options.period_s);
    let period = (!options.once).then_some(period);
    let ran = block_on(async {
        let client = CtlClient::new(options.log, options.partitions);
        run_board(&client, period).await;
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("no runtime: {err}");
            ExitCode::FAILURE
        }
    }
}
