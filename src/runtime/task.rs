//! Tasks that end alone if they panic.
//!
//! All requests of a process share one thread. A panic that ended the process
//! would end the requests of all callers with it.

use std::{
    any::Any,
    future::Future,
    panic::AssertUnwindSafe,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use futures_util::FutureExt;

use super::sleep;
use crate::telemetry::LogEvent;

/// Delay before a loop that panicked starts again.
const RESTART_DELAY: Duration = Duration::from_millis(250);

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of panics that tasks of this process had.
pub fn panic_count() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Runs a future and returns its output; returns `None` if it panicked.
///
/// The panic is logged and counted under the name of the task.
///
/// # Example
///
/// ```
/// use magnoliahaven::runtime::{block_on, catch_panic};
///
/// let caught = block_on(catch_panic("sum", async { 1 + 1 })).unwrap();
/// assert_eq!(caught, Some(2));
/// ```
pub async fn catch_panic<F: Future>(
    task: &'static str,
    future: F,
) -> Option<F::Output> {
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(output) => Some(output),
        Err(payload) => {
            PANICS.fetch_add(1, Ordering::Relaxed);
            let fault = panic_text(payload.as_ref());
            log::error!(
                event:% = LogEvent::TaskPanicked, task, fault;
                "task {task} panicked: {fault}"
            );
            None
        }
    }
}

/// Spawns a task that ends alone if it panics.
pub fn spawn(task: &'static str, future: impl Future<Output = ()> + 'static) {
    // Each future that wraps another one by value holds it once more.
    let future = Box::pin(future);
    monoio::spawn(async move {
        catch_panic(task, future).await;
    });
}

/// Spawns a loop for the lifetime of the process. It starts again if it
/// panics, from the state that it shares with other tasks.
pub fn spawn_loop<F: Future<Output = ()>>(
    task: &'static str,
    make_loop: impl Fn() -> F + 'static,
) {
    monoio::spawn(async move {
        while catch_panic(task, make_loop()).await.is_none() {
            sleep(RESTART_DELAY).await;
        }
    });
}

/// Returns the message of a panic.
fn panic_text(payload: &(dyn Any + Send)) -> &str {
    if let Some(text) = payload.downcast_ref::<&str>() {
        return text;
    }
    let text = payload.downcast_ref::<String>();
    text.map_or("no message", String::as_str)
}
