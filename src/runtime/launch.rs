//! Starting a process from its command line.

use std::{future::Future, path::PathBuf, process::ExitCode};

use clap::Args;

use super::block_on;
use crate::{
    config::RouterSettings,
    telemetry::{LogEvent, flush_logging, init_logging},
};

/// Exit code if the settings are invalid.
pub const EXIT_SETTINGS: u8 = 2;

/// Exit code if the process cannot start, for example because an address is
/// in use.
pub const EXIT_START: u8 = 3;

/// Exit code if the process ended before everything was settled.
pub const EXIT_UNSETTLED: u8 = 4;

/// The options that all processes of a fleet have.
#[derive(Args, Clone, Debug)]
pub struct LaunchOptions {
    /// File with the settings.
    #[arg(long, env = "MAGNOLIAHAVEN_SETTINGS")]
    pub settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}

/// Reads the settings, sets up logging and runs a process.
pub fn launch<F: Future<Output = ExitCode>>(
    options: &LaunchOptions,
    run: impl FnOnce(RouterSettings) -> F,
) -> ExitCode {
    let settings = match RouterSettings::load(&options.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("{}: settings are valid", options.settings.display());
        return ExitCode::SUCCESS;
    }
    init_logging(&settings.vm);
    let code = block_on(run(settings)).unwrap_or_else(|err| {
        log::error!(
            event:% = LogEvent::StartFailed, fault:% = err;
            "cannot create the runtime: {err}"
        );
        ExitCode::from(EXIT_START)
    });
    flush_logging();
    code
}
