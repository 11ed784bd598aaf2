//! Settlements, checkpoints and audit lines at intervals.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    super::{AccountRecord, CheckpointRecord, partition_stream},
    BudgetKeeper, RESERVE_POLL,
};
use crate::{domain::account_of, timer::TimerService};

/// A partition that was not used for this long is no longer followed.
const UNUSED_TIME: Duration = Duration::from_secs(600);

/// Streams over which audit lines are spread.
const BILL_STREAMS: u64 = 16;

impl BudgetKeeper {
    /// Settles, returns what is idle and renews checkpoints at intervals,
    /// for as long as the task lives.
    pub async fn run_settle(self: Rc<Self>) {
        let ticks = self.ports.timer.subscribe(self.options.settle_interval);
        loop {
            ticks.tick().await;
            self.follow_owned();
            self.queue_settlements();
            self.renew_checkpoints();
            self.forget_unused();
            self.start_appends();
            self.append_bills().await;
        }
    }

    /// Follows the partitions for whose checkpoints this router stands in.
    fn follow_owned(&self) {
        for partition in 0..self.options.partitions {
            if self.owns(partition) {
                self.follow(partition);
            }
        }
    }

    fn owns(&self, partition: u32) -> bool {
        let stream = partition_stream(partition);
        self.ports.directory.is_first_for(&stream)
    }

    fn queue_settlements(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let now = Instant::now();
        let idle_timeout = self.options.idle_timeout;
        let leaving = self.leaving.get();
        let mut settlements = state.holder.take_settlements();
        settlements.extend(
            state.holder.close_where(|_, _, used| {
                leaving || now - used > idle_timeout
            }),
        );
        for settlement in settlements {
            let account = account_of(&settlement.budget);
            let partition = self.partition(account);
            let record = AccountRecord::Settle(settlement.record);
            state.outbox.push(partition, record);
        }
    }

    fn renew_checkpoints(&self) {
        let age_limit = self.options.log_retention.as_millis() as u64 / 4;
        let now_ms = TimerService::now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for (partition, followed) in &mut state.partitions {
            let follower = &followed.follower;
            let age = now_ms.saturating_sub(follower.checkpoint_ms());
            let Some(ledger) = follower.fold() else {
                continue;
            };
            if age < age_limit {
                followed.checkpoint_asked = false;
                continue;
            }
            if ledger.next == 0
                || followed.checkpoint_asked
                || !self.owns(*partition)
            {
                continue;
            }
            followed.checkpoint_asked = true;
            let checkpoint = CheckpointRecord { state: ledger.clone() };
            let record = AccountRecord::Checkpoint(checkpoint);
            state.outbox.push(*partition, record);
        }
    }

    fn forget_unused(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if !state.holder.is_empty() {
            return;
        }
        state.partitions.retain(|_, f| now - f.used < UNUSED_TIME);
    }

    async fn append_bills(&self) {
        let lines = std::mem::take(&mut self.state.borrow_mut().bills);
        if lines.is_empty() {
            return;
        }
        let mut records = Vec::new();
        for line in &lines {
            // All fields are strings and integers.
            records.push(serde_json::to_string(line).expect("bill line"));
        }
        let stream = bill_stream(self.ports.directory.vm());
        if let Err(fault) = self.ports.log.append(&stream, &records).await {
            self.note_log_fault(&fault);
            self.state.borrow_mut().bills.splice(0..0, lines);
            return;
        }
        self.state.borrow_mut().appends += 1;
    }

    /// Settles everything and returns all portions, waiting up to `time`.
    ///
    /// Returns `false` if records are left that the log did not take.
    pub async fn drain(self: &Rc<Self>, time: Duration) -> bool {
        self.leaving.set(true);
        let deadline = Instant::now() + time;
        loop {
            self.queue_settlements();
            self.start_appends();
            self.append_bills().await;
            let done = {
                let state = self.state.borrow();
                state.outbox.is_empty()
                    && state.holder.is_empty()
                    && state.bills.is_empty()
            };
            if done || Instant::now() >= deadline {
                return done;
            }
            self.ports.timer.sleep(RESERVE_POLL).await;
        }
    }
}

/// The audit stream of the router on a VM.
pub fn bill_stream(vm: &str) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(vm.as_bytes());
    format!("bills-{}", hash % BILL_STREAMS)
}

/// The names of all audit streams.
pub fn bill_streams() -> Vec<String> {
    (0..BILL_STREAMS).map(|number| format!("bills-{number}")).collect()
}
