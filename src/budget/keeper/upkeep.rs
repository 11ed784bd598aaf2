//! Periodic settlements, checkpoints and appends to the audit stream.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    super::{AccountRecord, CheckpointRecord, partition_stream},
    BudgetKeeper, POLL_INTERVAL,
};
use crate::{domain::account_of, timer::TimerService};

/// Time after which an unused partition is no longer followed.
const UNUSED_PARTITION_TIMEOUT: Duration = Duration::from_secs(600);

/// The number of streams over which audit lines are spread.
const BILL_STREAM_COUNT: u64 = 16;

impl BudgetKeeper {
    /// Settles, gives idle portions back and renews checkpoints at intervals,
    /// until the task is dropped.
    pub async fn run_settle(self: Rc<Self>) {
        let ticks = self.ports.timer.interval(self.options.settle_interval);
        loop {
            ticks.tick().await;
            self.follow_checkpointed();
            self.queue_settlements();
            self.renew_checkpoints();
            self.unfollow_unused();
            self.start_appends();
            self.append_bills().await;
        }
    }

    /// Follows the partitions whose checkpoints this router renews.
    fn follow_checkpointed(&self) {
        for partition in 0..self.options.partitions {
            if self.renews_checkpoint_of(partition) {
                self.follow(partition);
            }
        }
    }

    fn renews_checkpoint_of(&self, partition: u32) -> bool {
        let stream = partition_stream(partition);
        self.ports.directory.is_first_for(&stream)
    }

    fn queue_settlements(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let now = Instant::now();
        let idle_timeout = self.options.idle_timeout;
        let is_draining = self.is_draining.get();
        let mut settlements = state.holder.take_settlements();
        settlements.extend(state.holder.close_where(|_, _, last_used| {
            is_draining || now - last_used > idle_timeout
        }));
        for settlement in settlements {
            let account = account_of(&settlement.budget);
            let partition = self.partition(account);
            let record = AccountRecord::Settle(settlement.record);
            state.outbox.push(partition, record);
        }
    }

    fn renew_checkpoints(&self) {
        let max_age = self.options.log_retention.as_millis() as u64 / 4;
        let now_ms = TimerService::now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for (partition, followed) in &mut state.partitions {
            let follower = &followed.follower;
            let age = now_ms.saturating_sub(follower.checkpoint_ms());
            let Some(ledger) = follower.fold() else {
                continue;
            };
            if age < max_age {
                followed.is_checkpoint_requested = false;
                continue;
            }
            if ledger.next == 0
                || followed.is_checkpoint_requested
                || !self.renews_checkpoint_of(*partition)
            {
                continue;
            }
            followed.is_checkpoint_requested = true;
            let checkpoint = CheckpointRecord { state: ledger.clone() };
            let record = AccountRecord::Checkpoint(checkpoint);
            state.outbox.push(*partition, record);
        }
    }

    fn unfollow_unused(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if !state.holder.is_empty() {
            return;
        }
        state
            .partitions
            .retain(|_, f| now - f.last_used < UNUSED_PARTITION_TIMEOUT);
    }

    async fn append_bills(&self) {
        let lines = std::mem::take(&mut self.state.borrow_mut().bill_lines);
        if lines.is_empty() {
            return;
        }
        let mut records = Vec::new();
        for line in &lines {
            // All fields are strings or integers, which always serialize.
            records.push(serde_json::to_string(line).expect("bill line"));
        }
        let stream = bill_stream(self.ports.directory.vm());
        if let Err(fault) = self.ports.log.append(&stream, &records).await {
            self.record_log_fault(&fault);
            self.state.borrow_mut().bill_lines.splice(0..0, lines);
            return;
        }
        self.state.borrow_mut().append_count += 1;
    }

    /// Settles everything and gives all portions back, waiting up to `time`.
    ///
    /// Returns `false` if some records could not be appended in time.
    pub async fn drain(self: &Rc<Self>, time: Duration) -> bool {
        self.is_draining.set(true);
        let deadline = Instant::now() + time;
        loop {
            self.queue_settlements();
            self.start_appends();
            self.append_bills().await;
            let is_drained = {
                let state = self.state.borrow();
                state.outbox.is_empty()
                    && state.holder.is_empty()
                    && state.bill_lines.is_empty()
            };
            if is_drained || Instant::now() >= deadline {
                return is_drained;
            }
            self.ports.timer.sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the audit stream of the router on a VM.
pub fn bill_stream(vm: &str) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(vm.as_bytes());
    format!("bills-{}", hash % BILL_STREAM_COUNT)
}

/// Returns the names of all audit streams.
pub fn bill_streams() -> Vec<String> {
    (0..BILL_STREAM_COUNT).map(|number| format!("bills-{number}")).collect()
}
