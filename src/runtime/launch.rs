//! Starting a process from its command line.

use std::{future::Future, path::PathBuf, process::ExitCode};

use clap::Args;

use super::block_on;
use crate::{
    config::{RouterSettings, parse_size},
    telemetry::{LogEvent, flush_logging, init_logging},
};

/// Exit code if the settings are invalid.
pub const EXIT_SETTINGS: u8 = 2;

/// Exit code if the process cannot start, for example because an address is
/// in use.
pub const EXIT_START: u8 = 3;

/// Exit code if the process ended before everything was settled.
pub const EXIT_UNSETTLED: u8 = 4;

/// Size in bytes from which a block of memory is large.
#[cfg(target_env = "gnu")]
const LARGE_BLOCK_BYTES: libc::c_int = 128 * 1024;

/// Smallest memory of a VM in bytes.
const MIN_MEMORY_BYTES: u64 = 16 * 1024 * 1024;

/// The options that all processes of a fleet have.
#[derive(Args, Clone, Debug)]
pub struct LaunchOptions {
    /// File with the settings.
    #[arg(long, env = "MAGNOLIAHAVEN_SETTINGS")]
    pub settings: PathBuf,
    /// Memory of the VM, for example `160MB`.
    #[arg(long, env = "MAGNOLIA_MEMORY", value_parser = parse_memory)]
    pub memory: Option<u64>,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}

/// Parses the memory of a VM.
fn parse_memory(text: &str) -> Result<u64, String> {
    let size = parse_size(text).filter(|bytes| *bytes >= MIN_MEMORY_BYTES);
    size.ok_or_else(|| "expected at least 16MiB (B, KiB, MiB, MB)".to_owned())
}

/// Lets the allocator return each large block to the system as soon as it is
/// free.
///
/// By default the size from which it does so rises with the blocks that are
/// freed. Bodies would then share the heap with small blocks, and what is
/// free between those would stay with the process.
fn return_large_blocks() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the call changes a setting of the allocator, and no other
    // thread runs yet.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
    }
}

/// Reads the settings, sets up logging and runs a process.
pub fn launch<F: Future<Output = ExitCode>>(
    options: &LaunchOptions,
    run: impl FnOnce(RouterSettings) -> F,
) -> ExitCode {
    return_large_blocks();
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
    let settings = match options.memory {
        Some(bytes) => settings.with_memory(bytes),
        None => settings,
    };
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
