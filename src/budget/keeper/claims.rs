//! Announcing calls that must not run twice.

use std::time::Instant;

use super::{
    super::{
        AccountRecord, CallOutcome, IntentRecord, IntentState, OutcomeRecord,
    },
    BudgetKeeper, RESERVE_POLL,
};
use crate::error::{CallError, ErrorKind};

/// Most outcomes that are kept until they are read back.
const LOCAL_OUTCOMES: usize = 10_000;

/// The result of announcing a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallClaim {
    /// This router may send the call, once.
    Won {
        /// The attempt to name in the outcome.
        attempt: u64,
    },
    /// The key is taken.
    Taken(IntentState),
}

impl BudgetKeeper {
    /// Announces a non-idempotent call and waits until the log has decided
    /// who may send it.
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
        let full = format!("{account}/{key}");
        let deadline = Instant::now() + self.options.claim_timeout;
        if !self.wait_ready(account, deadline).await {
            return Err(log_unavailable());
        }
        if let Some(intent) = self.intent(account, &full) {
            return Ok(CallClaim::Taken(intent));
        }
        let attempt = self.push_intent(account, &full, fingerprint);
        let id = self.id();
        loop {
            let changed = self.changed.notified();
            if let Some(intent) = self.intent(account, &full) {
                let won = intent.holder == id && intent.attempt == attempt;
                if won {
                    return Ok(CallClaim::Won { attempt });
                }
                // The key may be freed before this intent is applied, which
                // would then win with nobody to send the call.
                self.give_up_intent(account, key, attempt);
                return Ok(CallClaim::Taken(intent));
            }
            if Instant::now() >= deadline {
                // The intent may still reach the log. The outcome behind it
                // frees the key again.
                self.give_up_intent(account, key, attempt);
                return Err(log_unavailable());
            }
            let _ = monoio::time::timeout(RESERVE_POLL, changed).await;
        }
    }

    pub(super) async fn wait_ready(
        &self,
        account: &str,
        deadline: Instant,
    ) -> bool {
        let partition = self.partition(account);
        loop {
            let changed = self.changed.notified();
            if !self.is_log_reachable() {
                return false;
            }
            let ready = {
                let state = self.state.borrow();
                let followed = state.partitions.get(&partition);
                followed.is_some_and(|f| f.follower.is_ready())
            };
            if ready {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            let _ = monoio::time::timeout(RESERVE_POLL, changed).await;
        }
    }

    fn push_intent(&self, account: &str, full: &str, fingerprint: u64) -> u64 {
        let mut state = self.state.borrow_mut();
        state.last_attempt += 1;
        let attempt = state.last_attempt;
        let record = AccountRecord::Intent(IntentRecord {
            key: full.to_owned(),
            holder: state.holder.id().clone(),
            attempt,
            fingerprint,
        });
        state.outbox.push(self.partition(account), record);
        self.urgent.notify_one();
        attempt
    }

    fn give_up_intent(&self, account: &str, key: &str, attempt: u64) {
        self.record_outcome(account, key, attempt, CallOutcome::NotRun);
    }

    /// The intent of a key, with the outcome that this router has recorded
    /// and not read back yet.
    fn intent(&self, account: &str, full: &str) -> Option<IntentState> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let followed = state.partitions.get(&self.partition(account))?;
        let known = followed.follower.fold()?.intents.get(full);
        let mut intent = known?.clone();
        if intent.outcome.is_some() {
            state.outcomes.remove(full);
            return Some(intent);
        }
        if intent.holder == *state.holder.id() {
            intent.outcome = state.outcomes.get(full).cloned();
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
        let full = format!("{account}/{key}");
        let mut state = self.state.borrow_mut();
        if outcome != CallOutcome::NotRun {
            if state.outcomes.len() >= LOCAL_OUTCOMES {
                state.outcomes.pop_first();
            }
            state.outcomes.insert(full.clone(), outcome.clone());
        }
        let record = AccountRecord::Outcome(OutcomeRecord {
            key: full,
            holder: state.holder.id().clone(),
            attempt,
            outcome,
        });
        state.outbox.push(self.partition(account), record);
        self.urgent.notify_one();
    }
}

fn log_unavailable() -> CallError {
    let message = "the call was not sent, because its intent could not be \
                   recorded";
    CallError::new(ErrorKind::LogUnavailable, message)
}
