//! Request and response bodies of the log service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Path of the append call.
pub const APPEND_PATH: &str = "/v1/append";

/// Path of the read call.
pub const READ_PATH: &str = "/v1/read";

/// Path of the list of VMs.
pub const VMS_PATH: &str = "/v1/vms";

/// One record: offset, milliseconds since the epoch, payload.
///
/// Serialized as a list, which is shorter than an object: a read returns
/// very many records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord(pub u64, pub u64, pub String);

value_types! {
    /// The request to append a batch of records to one stream.
    #[serde(deny_unknown_fields)]
    pub struct AppendBody {
        /// The stream.
        pub stream: String,
        /// The records in order.
        pub records: Vec<String>,
    }

    /// The answer to an append.
    pub struct AppendReply {
        /// Offset of the first record of the batch.
        pub offset: u64,
    }

    /// The request to read several streams.
    #[serde(deny_unknown_fields)]
    pub struct ReadBody {
        /// The offset to start at in each stream.
        pub cursors: BTreeMap<String, u64>,
        /// Longest wait for a first record, in milliseconds.
        pub wait_ms: u64,
    }

    /// The part of one stream that a read returns.
    pub struct WireSlice {
        /// Offset of the oldest record that is still kept.
        pub oldest: u64,
        /// Offset after the newest record.
        pub next: u64,
        /// The records in order of offset.
        pub records: Vec<WireRecord>,
    }

    /// The answer to a read; streams without new records are left out.
    pub struct ReadReply {
        /// The streams with records at or after their cursor.
        pub streams: BTreeMap<String, WireSlice>,
    }

    /// The answer to a call that was refused and had no effect.
    pub struct ErrorReply {
        /// Why the call was refused.
        pub error: String,
    }
}
