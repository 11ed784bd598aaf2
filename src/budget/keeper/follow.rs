//! The tasks that read the followed partitions and append to them.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    super::{GrantHolder, LedgerEffect, partition_stream},
    BudgetKeeper,
};
use crate::{
    domain::PortionId,
    ports::{LogCursors, LogFault, LogSlice},
    runtime::spawn,
};

/// Delay of a requested append, so that records queued meanwhile share it.
const FLUSH_DELAY: Duration = Duration::from_millis(2);

/// Maximum time that a read of the log waits for new records.
const MAX_READ_WAIT: Duration = Duration::from_secs(25);

/// Delay after a failed call to the log.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(250);

impl BudgetKeeper {
    /// Reads the followed partitions until the task is dropped.
    pub async fn run_follow(self: Rc<Self>) {
        loop {
            let cursors = self.cursors();
            if cursors.is_empty() {
                self.subscription_changed.notified().await;
                continue;
            }
            let wait = self.read_wait();
            let read = self.ports.log.read(&cursors, wait);
            monoio::select! {
                slices = read => self.apply_slices(&cursors, slices).await,
                () = self.subscription_changed.notified() => {}
            }
        }
    }

    fn read_wait(&self) -> Duration {
        let state = self.state.borrow();
        let mut followed = state.partitions.values();
        // A partition that was not read yet may be empty. Waiting for records
        // would delay the calls that wait for it to become ready.
        if followed.all(|followed| followed.follower.is_ready()) {
            return MAX_READ_WAIT;
        }
        Duration::ZERO
    }

    fn cursors(&self) -> LogCursors {
        let state = self.state.borrow();
        let mut cursors = LogCursors::new();
        for (partition, followed) in &state.partitions {
            let name = partition_stream(*partition);
            cursors.insert(name, followed.follower.cursor());
        }
        cursors
    }

    async fn apply_slices(
        &self,
        cursors: &LogCursors,
        slices: Result<BTreeMap<String, LogSlice>, LogFault>,
    ) {
        let slices = match slices {
            Ok(slices) => slices,
            Err(fault) => {
                self.record_log_fault(&fault);
                self.ports.timer.sleep(LOG_RETRY_DELAY).await;
                return;
            }
        };
        self.log_status.note_answer();
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            for (partition, followed) in &mut state.partitions {
                let name = partition_stream(*partition);
                let Some(slice) = slices.get(&name) else {
                    // A stream that was read and is missing from the result
                    // has no records at or after the cursor.
                    if cursors.contains_key(&name) {
                        followed.follower.mark_end();
                    }
                    continue;
                };
                for effect in followed.follower.apply_slice(slice) {
                    let requested_grants = &mut state.requested_grants;
                    let holder = &mut state.holder;
                    apply_effect(
                        holder,
                        requested_grants,
                        *partition,
                        &effect,
                    );
                }
            }
        }
        self.log_call_done.notify_waiters();
    }

    pub(super) fn record_log_fault(&self, fault: &LogFault) {
        self.log_status.note_fault(fault);
        self.log_call_done.notify_waiters();
    }

    /// Appends queued records when a flush is requested, until the task is
    /// dropped.
    pub async fn run_flush(self: Rc<Self>) {
        loop {
            self.flush_requested.notified().await;
            self.ports.timer.sleep(FLUSH_DELAY).await;
            self.start_appends();
        }
    }

    pub(super) fn start_appends(self: &Rc<Self>) {
        let waiting = self.state.borrow().outbox.waiting_partitions();
        for partition in waiting {
            let batch = self.state.borrow_mut().outbox.start_append(partition);
            let Some(batch) = batch else {
                continue;
            };
            let keeper = self.clone();
            spawn("append", async move {
                keeper.append(partition, batch).await;
            });
        }
    }

    /// Appends a batch, retrying until the log confirms it.
    ///
    /// A retry can append it twice if a confirmation was lost, so the records
    /// are idempotent.
    async fn append(self: Rc<Self>, partition: u32, batch: Vec<String>) {
        let stream = partition_stream(partition);
        loop {
            match self.ports.log.append(&stream, &batch).await {
                Ok(_) => break,
                Err(fault) => self.record_log_fault(&fault),
            }
            self.ports.timer.sleep(LOG_RETRY_DELAY).await;
        }
        self.log_status.note_answer();
        let mut state = self.state.borrow_mut();
        state.outbox.confirm_append(partition);
        state.append_count += 1;
        if !state.outbox.waiting_partitions().is_empty() {
            self.flush_requested.notify_one();
        }
        self.log_call_done.notify_waiters();
    }
}

fn apply_effect(
    holder: &mut GrantHolder,
    requested_grants: &mut BTreeMap<String, Instant>,
    partition: u32,
    effect: &LedgerEffect,
) {
    let now = Instant::now();
    match effect {
        LedgerEffect::Granted { grant, record, tokens } => {
            if record.holder != *holder.id() {
                return;
            }
            requested_grants.remove(&record.budget);
            if *tokens > 0 {
                // Number 0 is the portion of the grant's own holder.
                let portion = PortionId::new(partition, *grant, 0);
                holder.add(portion, &record.budget, *tokens, now);
            }
        }
        // The lender's answer may have been lost, so the borrower also learns
        // of a loan from the log.
        LedgerEffect::Lent { budget, record } => {
            if record.to == *holder.id() {
                holder.add(record.portion, budget, record.tokens, now);
            }
        }
        LedgerEffect::Closed { .. } => {}
    }
}
