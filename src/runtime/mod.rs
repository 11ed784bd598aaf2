//! The `monoio` runtime: starting a process, tasks, timers, overlapping
//! calls.

mod backoff;
mod in_flight;
mod launch;
mod overlap;
mod task;

use std::{future::Future, io, time::Duration};

pub use self::{
    backoff::RetryBackoff,
    in_flight::{InFlightCount, InFlightGuard},
    launch::{
        EXIT_SETTINGS, EXIT_START, EXIT_UNSETTLED, LaunchOptions, launch,
    },
    overlap::{OverlapOptions, OverlappedCalls, TimedAnswer},
    task::{catch_panic, panic_count, spawn, spawn_loop},
};

/// Runs a future to completion on a new runtime with the legacy driver.
///
/// The driver is chosen explicitly, because `monoio` by default uses
/// `io_uring` where the kernel supports it.
///
/// # Errors
///
/// Returns the error of the operating system if the runtime cannot be
/// created.
///
/// # Example
///
/// ```
/// let sum = magnoliahaven::runtime::block_on(async { 1 + 1 });
/// assert_eq!(sum.unwrap(), 2);
/// ```
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(future))
}

/// Completes after `delay`.
pub async fn sleep(delay: Duration) {
    monoio::time::sleep(delay).await;
}
