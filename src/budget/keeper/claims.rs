//! Claims of idempotency keys, so that a non-idempotent call is sent at most
//! once.
//!
//! A router appends an intent before it sends such a call. The first intent of
//! a key in the log wins; the outcome of the call is recorded behind it.

use std::time::Instant;

use super::{
    super::{
        AccountRecord, CallOutcome, IntentRecord, IntentState, OutcomeRecord,
    },
    BudgetKeeper, POLL_INTERVAL,
};
use crate::error::{CallError, ErrorKind};

/// Maximum number of outcomes that are kept until they are read back.
const MAX_LOCAL_OUTCOMES: usize = 10_000;

/// The result of claiming the key of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallClaim {
    /// This router may send the call once.
    Won {
        /// The attempt to record the outcome for.
        attempt: u64,
    },
    /// The key has been claimed before.
    Taken(IntentState),
}

impl BudgetKeeper {
    /// Claims the key of a non-idempotent call and waits until the log has
    /// decided which router may send it.
    ///
    /// # Errors
    ///
    /// `LogUnavailable` if the decision did not arrive in time. The call
    /// must then not be sent.
    pub async fn claim(
        &self,
        account: &str,
        key: &str,
        fingerprint: u64,
    ) -> Result<CallClaim, CallError> {
        self.follow_account(account);
        let full_key = format!("{account}/{key}");
        let deadline = Instant::now() + self.options.claim_timeout;
        if !self.wait_ready(account, deadline).await {
            return Err(log_unavailable());
        }
        if let Some(intent) = self.intent(account, &full_key) {
            return Ok(CallClaim::Taken(intent));
        }
        let attempt = self.push_intent(account, &full_key, fingerprint);
        let id = self.id();
        loop {
            let call_done = self.log_call_done.notified();
            if let Some(intent) = self.intent(account, &full_key) {
                let is_won = intent.holder == id && intent.attempt == attempt;
                if is_won {
                    return Ok(CallClaim::Won { attempt });
                }
                // If the key is freed before this intent is applied, the
                // intent would win although no router sends the call.
                self.withdraw_intent(account, key, attempt);
                return Ok(CallClaim::Taken(intent));
            }
            if Instant::now() >= deadline {
                // The intent may still reach the log. The outcome recorded
                // after it frees the key again.
                self.withdraw_intent(account, key, attempt);
                return Err(log_unavailable());
            }
            let _ = monoio::time::timeout(POLL_INTERVAL, call_done).await;
        }
    }

    /// Waits until the partition of an account has been read; returns `false`
    /// if the log is unreachable or `deadline` has passed.
    pub(super) async fn wait_ready(
        &self,
        account: &str,
        deadline: Instant,
    ) -> bool {
        let partition = self.partition(account);
        loop {
            let call_done = self.log_call_done.notified();
            if !self.is_log_reachable() {
                return false;
            }
            let is_ready = {
                let state = self.state.borrow();
                let followed = state.partitions.get(&partition);
                followed.is_some_and(|f| f.follower.is_ready())
            };
            if is_ready {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            let _ = monoio::time::timeout(POLL_INTERVAL, call_done).await;
        }
    }

    fn push_intent(
        &self,
        account: &str,
        full_key: &str,
        fingerprint: u64,
    ) -> u64 {
        let mut state = self.state.borrow_mut();
        state.last_attempt += 1;
        let attempt = state.last_attempt;
        let record = AccountRecord::Intent(IntentRecord {
            key: full_key.to_owned(),
            holder: state.holder.id().clone(),
            attempt,
            fingerprint,
        });
        state.outbox.push(self.partition(account), record);
        self.flush_requested.notify_one();
        attempt
    }

    fn withdraw_intent(&self, account: &str, key: &str, attempt: u64) {
        self.record_outcome(account, key, attempt, CallOutcome::NotRun);
    }

    /// Returns the intent of a key, with the outcome that this router has
    /// recorded even if it has not been read back yet.
    fn intent(&self, account: &str, full_key: &str) -> Option<IntentState> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let followed = state.partitions.get(&self.partition(account))?;
        let known = followed.follower.fold()?.intents.get(full_key);
        let mut intent = known?.clone();
        if intent.outcome.is_some() {
            state.local_outcomes.remove(full_key);
            return Some(intent);
        }
        if intent.holder == *state.holder.id() {
            intent.outcome = state.local_outcomes.get(full_key).cloned();
        }
        Some(intent)
    }

    /// Records how a non-idempotent call ended.
    pub fn record_outcome(
        &self,
        account: &str,
        key: &str,
        attempt: u64,
        outcome: CallOutcome,
    ) {
        let full_key = format!("{account}/{key}");
        let mut state = self.state.borrow_mut();
        if outcome != CallOutcome::NotRun {
            if state.local_outcomes.len() >= MAX_LOCAL_OUTCOMES {
                state.local_outcomes.pop_first();
            }
            state.local_outcomes.insert(full_key.clone(), outcome.clone());
        }
        let record = AccountRecord::Outcome(OutcomeRecord {
            key: full_key,
            holder: state.holder.id().clone(),
            attempt,
            outcome,
        });
        state.outbox.push(self.partition(account), record);
        self.flush_requested.notify_one();
    }
}

fn log_unavailable() -> CallError {
    let message = "the call was not sent, because its intent could not be \
                   recorded";
    CallError::new(ErrorKind::LogUnavailable, message)
}
