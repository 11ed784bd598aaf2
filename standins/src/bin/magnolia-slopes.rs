//! Measures the slopes behind `docs/CAPACITY.md`.

use std::process::ExitCode;

use {
    clap::Parser,
    magnolia_standins::{
        server::block_on,
        slopes::{SlopeLine, fleet_slopes, ledger_slopes},
    },
    serde_json::json,
};

/// Prints one JSON line for each slope: its points, its growth for each
/// unit of size and its value at size zero. Exit code 1 if a fleet cannot
/// be started.
#[derive(Parser)]
#[command(version)]
struct Options {}

fn main() -> ExitCode {
    Options::parse();
    let print = |line: &SlopeLine| println!("{}", json!(line));
    ledger_slopes(print);
    match block_on(fleet_slopes(print)) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(err)) | Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
