//! Reading the followed partitions and appending to them.

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
};

/// Urgent records that arrive within this time share one append.
const GROUP_DELAY: Duration = Duration::from_millis(2);

/// Longest wait of one read of the log.
const READ_WAIT: Duration = Duration::from_secs(25);

/// Pause after a failed call to the log.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(250);

impl BudgetKeeper {
    /// Follows the subscribed partitions for as long as the task lives.
    pub async fn run_follow(self: Rc<Self>) {
        loop {
            let cursors = self.cursors();
            if cursors.is_empty() {
                self.resubscribed.notified().await;
                continue;
            }
            let wait = self.read_wait();
            let read = self.ports.log.read(&cursors, wait);
            monoio::select! {
                slices = read => self.take_slices(&cursors, slices).await,
                () = self.resubscribed.notified() => {}
            }
        }
    }

    fn read_wait(&self) -> Duration {
        let state = self.state.borrow();
        let mut followed = state.partitions.values();
        // A partition without an answer yet may be empty; the wait would
        // hide that from its readers.
        if followed.all(|followed| followed.follower.is_ready()) {
            return READ_WAIT;
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

    async fn take_slices(
        &self,
        cursors: &LogCursors,
        slices: Result<BTreeMap<String, LogSlice>, LogFault>,
    ) {
        let slices = match slices {
            Ok(slices) => slices,
            Err(fault) => {
                self.note_log_fault(&fault);
                self.ports.timer.sleep(LOG_RETRY_DELAY).await;
                return;
            }
        };
        self.log_state.note_answer();
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            for (partition, followed) in &mut state.partitions {
                let name = partition_stream(*partition);
                let Some(slice) = slices.get(&name) else {
                    if cursors.contains_key(&name) {
                        followed.follower.mark_end();
                    }
                    continue;
                };
                for effect in followed.follower.apply_slice(slice) {
                    let asked = &mut state.asked;
                    let holder = &mut state.holder;
                    take_effect(holder, asked, *partition, &effect);
                }
            }
        }
        self.changed.notify_waiters();
    }

    pub(super) fn note_log_fault(&self, fault: &LogFault) {
        self.log_state.note_fault(fault);
        self.changed.notify_waiters();
    }

    /// Appends urgent records for as long as the task lives.
    pub async fn run_flush(self: Rc<Self>) {
        loop {
            self.urgent.notified().await;
            self.ports.timer.sleep(GROUP_DELAY).await;
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
            monoio::spawn(async move {
                keeper.append(partition, batch).await;
            });
        }
    }

    /// Appends a batch, again and again until the log confirms it.
    async fn append(self: Rc<Self>, partition: u32, batch: Vec<String>) {
        let stream = partition_stream(partition);
        loop {
            match self.ports.log.append(&stream, &batch).await {
                Ok(_) => break,
                Err(fault) => self.note_log_fault(&fault),
            }
            self.ports.timer.sleep(LOG_RETRY_DELAY).await;
        }
        self.log_state.note_answer();
        let mut state = self.state.borrow_mut();
        state.outbox.confirm_append(partition);
        state.appends += 1;
        if !state.outbox.waiting_partitions().is_empty() {
            self.urgent.notify_one();
        }
        self.changed.notify_waiters();
    }
}

fn take_effect(
    holder: &mut GrantHolder,
    asked: &mut BTreeMap<String, Instant>,
    partition: u32,
    effect: &LedgerEffect,
) {
    let now = Instant::now();
    match effect {
        LedgerEffect::Granted { grant, record, tokens } => {
            if record.holder != *holder.id() {
                return;
            }
            asked.remove(&record.budget);
            if *tokens > 0 {
                let portion = PortionId::new(partition, *grant, 0);
                holder.add(portion, &record.budget, *tokens, now);
            }
        }
        // The answer to a loan may have been lost; the log has it too.
        LedgerEffect::Lent { budget, record } => {
            if record.to == *holder.id() {
                holder.add(record.portion, budget, record.tokens, now);
            }
        }
        LedgerEffect::Closed { .. } => {}
    }
}
