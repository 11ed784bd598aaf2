//! The measures of the promises, beside the naive baseline.

use std::{cell::Cell, process::ExitCode};

use {
    clap::Parser,
    magnolia_standins::{measure::run_measures, server::block_on},
};

/// Runs the product and the naive baseline through the same faults.
///
/// Prints one JSON line for each measure. Exit code 1 if a bound is broken
/// or a fleet cannot be started.
#[derive(Parser)]
#[command(version)]
struct Options {}

fn main() -> ExitCode {
    Options::parse();
    let broken = Cell::new(0);
    let ran = block_on(run_measures(|line| {
        println!("{}", line.to_json());
        broken.set(broken.get() + u32::from(!line.is_ok()));
    }));
    match ran {
        Ok(Ok(())) if broken.get() == 0 => ExitCode::SUCCESS,
        Ok(Ok(())) => {
            eprintln!("{} bounds are broken", broken.get());
            ExitCode::FAILURE
        }
        Ok(Err(err)) | Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
