//! Measures the slopes behind `docs/CAPACITY.md`.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    process::ExitCode,
    sync::atomic::{AtomicUsize, Ordering},
};

use {
    clap::Parser,
    magnolia_standins::{
        server::block_on,
        slopes::{SlopeLine, fleet_slopes, ledger_slopes},
    },
    serde_json::json,
};

/// Bytes that are allocated at the moment.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, which counts what it hands out.
struct CountingAllocator;

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of this method.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of this method.
        unsafe { System.dealloc(memory, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Prints one JSON line for each slope: its points, its growth for each
/// unit of size and its value at size zero. Exit code 1 if a fleet cannot
/// be started.
#[derive(Parser)]
#[command(version)]
struct Options {}

fn main() -> ExitCode {
    Options::parse();
    let print = |line: &SlopeLine| println!("{}", json!(line));
    ledger_slopes(|| ALLOCATED.load(Ordering::Relaxed), print);
    match block_on(fleet_slopes(print)) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(err)) | Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
