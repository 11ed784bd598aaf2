//! The HTTP interface of the log service and of the list of VMs.
//!
//! There are three calls: an append to one stream, a long-polling read of
//! several streams, and a long-polling read of the list of VMs. `docs/API.md`
//! describes their bodies.

mod client;
mod wire;

pub use self::{
    client::LogClient,
    wire::{
        APPEND_PATH, AppendBody, AppendReply, ErrorReply, READ_PATH, ReadBody,
        ReadReply, VMS_PATH, WireRecord, WireSlice,
    },
};
