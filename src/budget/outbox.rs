//! Records on their way to the log.

use std::collections::{BTreeMap, VecDeque};

use super::AccountRecord;

/// Most records in one append.
const BATCH_RECORDS: usize = 2_000;

#[derive(Default)]
struct PartitionQueue {
    waiting: VecDeque<AccountRecord>,
    in_flight: Vec<String>,
}

/// Queues of records by partition, each appended in order.
///
/// A batch stays in the outbox until the log confirms it. After a lost
/// answer the same batch is sent again, so the log may hold it twice; every
/// record is idempotent for that reason.
#[derive(Default)]
pub struct RecordOutbox {
    queues: BTreeMap<u32, PartitionQueue>,
}

impl RecordOutbox {
    /// Creates an empty outbox.
    pub fn new() -> RecordOutbox {
        RecordOutbox::default()
    }

    /// Queues a record.
    pub fn push(&mut self, partition: u32, record: AccountRecord) {
        let queue = self.queues.entry(partition).or_default();
        queue.waiting.push_back(record);
    }

    /// Starts an append; `None` if nothing waits or one is in progress.
    pub fn start_append(&mut self, partition: u32) -> Option<Vec<String>> {
        let queue = self.queues.get_mut(&partition)?;
        if !queue.in_flight.is_empty() || queue.waiting.is_empty() {
            return None;
        }
        let count = queue.waiting.len().min(BATCH_RECORDS);
        for record in queue.waiting.drain(..count) {
            queue.in_flight.push(record.encode());
        }
        Some(queue.in_flight.clone())
    }

    /// Notes that the append in progress has taken effect.
    pub fn confirm_append(&mut self, partition: u32) {
        let Some(queue) = self.queues.get_mut(&partition) else {
            return;
        };
        queue.in_flight.clear();
        if queue.waiting.is_empty() {
            self.queues.remove(&partition);
        }
    }

    /// Partitions with records that wait.
    pub fn waiting_partitions(&self) -> Vec<u32> {
        let mut partitions = Vec::new();
        for (partition, queue) in &self.queues {
            if queue.in_flight.is_empty() && !queue.waiting.is_empty() {
                partitions.push(*partition);
            }
        }
        partitions
    }

    /// Whether nothing waits and nothing is in progress.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}
