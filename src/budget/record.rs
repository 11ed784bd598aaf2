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
        /// Identity of the top-up; a repetition has no effect.
        pub id: String,
        /// The tokens to add.
        pub tokens: u64,
        /// The operator.
        pub who: String,
    }

    /// Asks for tokens of a budget.
    pub struct GrantRecord {
        /// The budget.
        pub budget: String,
        /// Who asks.
        pub holder: HolderId,
        /// The least number of tokens that is of use.
        pub least: u64,
        /// The number of tokens asked for.
        pub want: u64,
    }

    /// Splits a portion off a grant for another holder.
    pub struct LendRecord {
        /// The new portion.
        pub portion: PortionId,
        /// Its holder.
        pub to: HolderId,
        /// Its size in tokens.
        pub tokens: u64,
    }

    /// States what has been spent from a portion.
    pub struct SettleRecord {
        /// The portion.
        pub portion: PortionId,
        /// All bills up to this number are final.
        pub upto: u32,
        /// Tokens of the bills up to `upto`.
        pub spent: u64,
        /// Final bills beyond `upto`: number and tokens.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub beyond: Vec<(u32, u64)>,
        /// The holder gives the rest of the portion back.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub close: bool,
    }

    /// Announces a non-idempotent call before it is sent.
    pub struct IntentRecord {
        /// The account and the caller's idempotency key.
        pub key: String,
        /// Who wants to send the call.
        pub holder: HolderId,
        /// Tells apart the attempts of one holder.
        pub attempt: u64,
        /// Hash of the call, to detect a key that is used twice.
        pub fingerprint: u64,
    }

    /// How a non-idempotent call ended.
    #[serde(rename_all = "snake_case")]
    pub enum CallOutcome {
        /// The call never left; the key may be used again.
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
        /// Who announced the call.
        pub holder: HolderId,
        /// The attempt that ended.
        pub attempt: u64,
        /// How it ended.
        pub outcome: CallOutcome,
    }

    /// The whole state of a partition, written again before the records
    /// that led to it leave the log.
    pub struct CheckpointRecord {
        /// The state after all records before `state.next`.
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
    /// The record as it stands in the log.
    pub fn encode(&self) -> String {
        // Every key in the types above is a string or an integer, which is
        // all that JSON asks of them.
        serde_json::to_string(self).expect("serializable record")
    }

    /// Reads a record from the log; `None` if it is of an unknown kind.
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

/// The partition of a client account.
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

/// The log stream of a partition.
pub fn partition_stream(partition: u32) -> String {
    format!("account-{partition}")
}
