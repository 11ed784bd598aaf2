//! Links between routers by `tonic`.
//!
//! `tonic` needs a `tokio` runtime. One thread runs it, and channels join it
//! to the thread of the router, whose tasks need not be `Send`. The thread
//! also waits for the process's signals.
//!
//! `generated.rs` comes from `proto/peer.proto`; `CONTRIBUTING.md` tells how
//! to renew it.

#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod generated;

mod convert;
mod link;

pub use self::link::{InboundCall, PeerClient, PeerThread, ProcessSignal};
