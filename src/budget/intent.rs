//! What the log knows of a non-idempotent call.

use super::CallOutcome;
use crate::domain::HolderId;

/// Milliseconds for which an idempotency key is remembered.
///
/// The age is taken between the log's own time stamps, so that every reader
/// forgets a key at the same record.
pub const KEY_LIFETIME_MS: u64 = 24 * 3600 * 1000;

value_types! {
    /// The first intent recorded for a key.
    pub struct IntentState {
        /// Who may send the call.
        pub holder: HolderId,
        /// The attempt of that holder that may send it.
        pub attempt: u64,
        /// Hash of the call.
        pub fingerprint: u64,
        /// When the log took the intent, in milliseconds.
        pub time_ms: u64,
        /// How the call ended, once that is recorded.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub outcome: Option<CallOutcome>,
    }
}
