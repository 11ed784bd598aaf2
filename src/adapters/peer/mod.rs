//! gRPC calls between routers with `tonic`.
//!
//! `tonic` needs a `tokio` runtime, which runs in a thread of its own.
//! Channels connect it with the thread of the router, so that the router's
//! tasks need not be `Send`. The thread also receives the signals of the
//! process.
//!
//! `generated.rs` is generated from `proto/peer.proto`; `CONTRIBUTING.md`
//! describes how to regenerate it.

#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod generated;

mod accepted;
mod convert;
mod encode;
mod fault;
mod health;
mod limits;
mod link;
mod outbound;
mod pace;
mod server;
mod stream;
mod thread;

pub use self::{
    pace::ReplacementPace,
    thread::{InboundCall, PeerClient, PeerThread, ProcessSignal},
};

/// Maximum size of a message of a peer in bytes. The largest message is one
/// with a control state.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Metadata of each call with the name of the VM that makes it.
const VM_KEY: &str = "vm-bin";
