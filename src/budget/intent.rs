//! The state of a non-idempotent call, by the records of the log.

use super::CallOutcome;
use crate::domain::HolderId;

/// Milliseconds for which an idempotency key is kept.
///
/// The age is the difference between time stamps of the log, so that every
/// reader drops a key at the same record.
pub const KEY_LIFETIME_MS: u64 = 24 * 3600 * 1000;

value_types! {
    /// The first intent recorded for a key.
    pub struct IntentState {
        /// The router that may send the call.
        pub holder: HolderId,
        /// The attempt of that router that may send it.
        pub attempt: u64,
        /// Hash of the call.
        pub fingerprint: u64,
        /// The log's time stamp of the intent, in milliseconds.
        pub time_ms: u64,
        /// How the call ended; `None` until that is recorded.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub outcome: Option<CallOutcome>,
    }
}
