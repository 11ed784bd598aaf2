//! Append-only streams in memory.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use magnoliahaven::{
    TimerService,
    adapters::log::{WireRecord, WireSlice},
};

/// Most records in one read of one stream.
const READ_RECORDS: usize = 5_000;

#[derive(Default)]
struct StreamLog {
    oldest: u64,
    records: VecDeque<(u64, String)>,
}

impl StreamLog {
    fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn forget(&mut self, now_ms: u64, retention: Duration) {
        let oldest_ms = now_ms.saturating_sub(retention.as_millis() as u64);
        while let Some((time_ms, _)) = self.records.front() {
            if *time_ms >= oldest_ms {
                return;
            }
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}

/// Streams by name.
pub struct StreamStore {
    streams: BTreeMap<String, StreamLog>,
    retention: Duration,
}

impl StreamStore {
    /// Creates a store that keeps records for `retention`.
    pub fn new(retention: Duration) -> StreamStore {
        StreamStore { streams: BTreeMap::new(), retention }
    }

    /// Appends a batch and returns the offset of its first record.
    pub fn append(&mut self, stream: &str, records: &[String]) -> u64 {
        let now_ms = TimerService::now_ms();
        let retention = self.retention;
        let log = self.streams.entry(stream.to_owned()).or_default();
        log.forget(now_ms, retention);
        let first = log.next();
        // Time stamps never decrease, whatever the clock does.
        let last_ms = log.records.back().map_or(0, |(time_ms, _)| *time_ms);
        let time_ms = now_ms.max(last_ms);
        for record in records {
            log.records.push_back((time_ms, record.clone()));
        }
        first
    }

    /// Reads the streams that have records at or after their cursor, and
    /// those whose cursor lies before the oldest record.
    pub fn read(
        &mut self,
        cursors: &BTreeMap<String, u64>,
    ) -> BTreeMap<String, WireSlice> {
        let now_ms = TimerService::now_ms();
        let mut slices = BTreeMap::new();
        for (name, cursor) in cursors {
            let Some(log) = self.streams.get_mut(name) else {
                continue;
            };
            log.forget(now_ms, self.retention);
            if *cursor >= log.next() {
                continue;
            }
            let skip = cursor.saturating_sub(log.oldest);
            let mut records = Vec::new();
            let from = log.records.iter().enumerate().skip(skip as usize);
            for (index, (time_ms, payload)) in from.take(READ_RECORDS) {
                let offset = log.oldest + index as u64;
                records.push(WireRecord(offset, *time_ms, payload.clone()));
            }
            let slice =
                WireSlice { oldest: log.oldest, next: log.next(), records };
            slices.insert(name.clone(), slice);
        }
        slices
    }
}
