//! The router process.
//!
//! [`RouterCore`] holds the state that the tasks of one router share. All
//! tasks run on a single thread; only the peer link has its own thread.
//!
//! * [`process`](RouterProcess) starts the tasks and controls the lifecycle
//!   of the process: starting, serving, leaving.
//! * `callers` dispatches requests of callers to the endpoints.
//! * `chat` and `service_call` each serve one kind of request, from the
//!   reservation of tokens to the settlement of the bill.
//! * `relay` forwards a stream of events to a caller that may read slowly.
//! * `sse` parses server-sent events.
//! * `claims` stores which router and upstream serve an idempotency key.
//! * `control` follows the configuration and the list of VMs.
//! * `moves` performs version moves: progressive rollouts of a new version
//!   with automatic rollback.
//! * `operators` serves operators and monitoring.
//! * `peers` handles calls of other routers.

mod callers;
mod chat;
mod claims;
mod control;
mod core;
mod moves;
mod operators;
mod peers;
mod process;
mod relay;
mod service_call;
mod sse;

pub use self::{
    claims::{ClaimTable, KeyClaim},
    core::{CallerIdentity, RouterCore, RouterPorts},
    process::RouterProcess,
    sse::{SseEvent, SseScanner},
};
