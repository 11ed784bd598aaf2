//! Records waiting to be appended to the log.

use std::collections::{BTreeMap, VecDeque};

use super::AccountRecord;

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 2_000;

#[derive(Default)]
struct PartitionQueue {
    waiting: VecDeque<AccountRecord>,
    in_flight: Vec<String>,
}

/// One queue of records for each partition, appended in order.
///
/// A batch stays in the outbox until the log confirms it. After a lost
/// answer the same batch is sent again, so the log may contain it twice.
/// Every record is therefore idempotent.
#[derive(Default)]
pub struct RecordOutbox {
    queues: BTreeMap<u32, PartitionQueue>,
}

impl RecordOutbox {
    /// Creates an empty outbox.
    pub fn new() -> RecordOutbox {
        RecordOutbox::default()
    }

    /// Adds a record to the queue of a partition.
    pub fn push(&mut self, partition: u32, record: AccountRecord) {
        let queue = self.queues.entry(partition).or_default();
        queue.waiting.push_back(record);
    }

    /// Starts an append and returns its batch; `None` if no record waits or an
    /// append is in progress.
    pub fn start_append(&mut self, partition: u32) -> Option<Vec<String>> {
        let queue = self.queues.get_mut(&partition)?;
        if !queue.in_flight.is_empty() || queue.waiting.is_empty() {
            return None;
        }
        let count = queue.waiting.len().min(MAX_BATCH_RECORDS);
        for record in queue.waiting.drain(..count) {
            queue.in_flight.push(record.encode());
        }
        Some(queue.in_flight.clone())
    }

    /// Removes the batch in progress, which the log has confirmed.
    pub fn confirm_append(&mut self, partition: u32) {
        let Some(queue) = self.queues.get_mut(&partition) else {
            return;
        };
        queue.in_flight.clear();
        if queue.waiting.is_empty() {
            self.queues.remove(&partition);
        }
    }

    /// Returns the partitions that have waiting records and no append in
    /// progress.
    pub fn waiting_partitions(&self) -> Vec<u32> {
        let mut partitions = Vec::new();
        for (partition, queue) in &self.queues {
            if queue.in_flight.is_empty() && !queue.waiting.is_empty() {
                partitions.push(*partition);
            }
        }
        partitions
    }

    /// Whether no record waits and no append is in progress.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}
