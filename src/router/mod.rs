//! The router process.
//!
//! [`RouterCore`] holds what the tasks of one router share. All of them run
//! on one thread; only the peer link has a thread of its own.
//!
//! * [`process`](RouterProcess) starts the tasks and takes the process
//!   through its life: starting, serving, leaving.
//! * `callers` finds the endpoint that a caller asks for.
//! * `chat` and `service_call` serve one request each, from the reservation
//!   to the settlement.
//! * `relay` copies a stream of events to a caller that may be slow.
//! * `claims` remembers idempotency keys.
//! * `control` follows the configuration.
//! * `moves` drives version moves and watches new versions.
//! * `operators` answers operators and monitoring.
//! * `peers` answers other routers.

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
