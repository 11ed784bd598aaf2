//! The records of an account partition.

use crate::{
    budget::AccountLedger,
    domain::{HolderId, PortionId},
};

value_types! {
    /// Adds prepaid tokens to a budget.
    pub struct TopUpRecord {
        /// The budget.
        pub budget: String,
        /// Identifies the top-up; another record with the same identifier has
        /// no effect.
        pub id: String,
        /// The tokens to add.
        pub tokens: u64,
        /// The operator who added them.
        pub who: String,
    }

    /// Requests tokens of a budget.
    pub struct GrantRecord {
        /// The budget.
        pub budget: String,
        /// The router that asks.
        pub holder: HolderId,
        /// The least number of tokens that the router can use.
        pub least: u64,
        /// The number of tokens requested.
        pub want: u64,
    }

    /// Lends a part of a grant, as a new portion, to another holder.
    pub struct LendRecord {
        /// The new portion.
        pub portion: PortionId,
        /// The router that may spend from it.
        pub to: HolderId,
        /// Its size in tokens.
        pub tokens: u64,
    }

    /// Reports what has been spent from a portion.
    pub struct SettleRecord {
        /// The portion.
        pub portion: PortionId,
        /// All bills up to this number are final. A bill is the charge for one
        /// request; the holder numbers the bills of a portion from 1.
        pub upto: u32,
        /// Tokens of the bills up to `upto`.
        pub spent: u64,
        /// Final bills beyond `upto`: number and tokens.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub beyond: Vec<(u32, u64)>,
        /// Whether the holder gives the rest of the portion back.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub close: bool,
    }

    /// Announces a non-idempotent call before it is sent.
    pub struct IntentRecord {
        /// The account and the caller's idempotency key.
        pub key: String,
        /// The router that wants to send the call.
        pub holder: HolderId,
        /// Number that distinguishes the attempts of one router.
        pub attempt: u64,
        /// Hash of the call, to detect a key reused for another call.
        pub fingerprint: u64,
    }

    /// How a non-idempotent call ended.
    #[serde(rename_all = "snake_case")]
    pub enum CallOutcome {
        /// The call was not sent; the key may be used again.
        NotRun,
        /// The call was sent and its answer was lost.
        Unknown,
        /// The call was answered.
        Answered {
            /// HTTP status code of the answer.
            status: u16,
            /// The answer, unless it is too large to be kept.
            body: Option<String>,
        },
    }

    /// Records how a non-idempotent call ended.
    pub struct OutcomeRecord {
        /// The account and the caller's idempotency key.
        pub key: String,
        /// The router that announced the call.
        pub holder: HolderId,
        /// The attempt that ended.
        pub attempt: u64,
        /// How it ended.
        pub outcome: CallOutcome,
    }

    /// The whole state of a partition, written before the records that led to
    /// it expire from the log.
    pub struct CheckpointRecord {
        /// The state after all records before the offset `state.next`.
        pub state: AccountLedger,
    }

    /// A record of an account partition.
    #[serde(rename_all = "snake_case")]
    pub enum AccountRecord {
        /// See [`TopUpRecord`].
        TopUp(TopUpRecord),
        /// See [`GrantRecord`].
        Grant(GrantRecord),
        /// See [`LendRecord`].
        Lend(LendRecord),
        /// See [`SettleRecord`].
        Settle(SettleRecord),
        /// See [`IntentRecord`].
        Intent(IntentRecord),
        /// See [`OutcomeRecord`].
        Outcome(OutcomeRecord),
        /// See [`CheckpointRecord`].
        Checkpoint(CheckpointRecord),
    }
}

impl AccountRecord {
    /// Encodes the record as stored in the log.
    pub fn encode(&self) -> String {
        // All map keys in these types are strings or integers, as JSON
        // requires.
        serde_json::to_string(self).expect("serializable record")
    }

    /// Decodes a record of the log; returns `None` if its kind is unknown or
    /// it is malformed.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::AccountRecord;
    ///
    /// assert_eq!(AccountRecord::decode("{\"later\":{}}"), None);
    /// ```
    pub fn decode(payload: &str) -> Option<AccountRecord> {
        serde_json::from_str(payload).ok()
    }
}

/// Returns the partition of a client account.
///
/// # Example
///
/// ```
/// use magnoliahaven::budget::partition_of;
///
/// assert!(partition_of("dairy", 64) < 64);
/// ```
pub fn partition_of(account: &str, partitions: u32) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(account.as_bytes());
    (hash % u64::from(partitions.max(1))) as u32
}

/// Returns the name of a partition's log stream.
pub fn partition_stream(partition: u32) -> String {
    format!("account-{partition}")
}
