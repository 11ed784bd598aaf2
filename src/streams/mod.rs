//! Event-sourced state: folds over streams of the log.
//!
//! The log retains records for a limited time, and a VM stores nothing.
//! State that must last is therefore a fold over a stream, and is written to
//! the same stream as a checkpoint before its records expire. A type that
//! folds records implements [`StreamFold`]; [`StreamFollower`] finds the
//! checkpoint or the start of the stream and applies the records after it.

use crate::ports::{LogRecord, LogSlice};

/// State that is computed from the records of a stream in order.
///
/// Readers that apply the same records have equal states.
pub trait StreamFold: Default {
    /// The outcome of applying one record, for the reader to act on.
    type Effect;

    /// Applies the next record; an older one has no effect.
    fn apply(&mut self, record: &LogRecord) -> Option<Self::Effect>;

    /// Returns the offset of the first record that has not been applied.
    fn next_offset(&self) -> u64;

    /// Returns the state in a record, if it is a checkpoint.
    fn from_checkpoint(payload: &str) -> Option<Self>;

    /// Returns the payload of a checkpoint record with this state.
    fn to_checkpoint(&self) -> String;
}

/// Follows one stream.
///
/// The start of the stream may have expired before a new reader reads it.
/// The reader then buffers records until it finds a checkpoint that covers
/// the missing ones.
#[derive(Debug, Default)]
pub struct StreamFollower<F> {
    fold: Option<F>,
    buffered: Vec<LogRecord>,
    next: u64,
    caught_up: bool,
    checkpoint_ms: u64,
}

impl<F: StreamFold> StreamFollower<F> {
    /// Creates a follower that has read nothing.
    pub fn new() -> StreamFollower<F> {
        StreamFollower {
            fold: None,
            buffered: Vec::new(),
            next: 0,
            caught_up: false,
            checkpoint_ms: 0,
        }
    }

    /// Returns the state, once the start of the stream or a checkpoint has
    /// been found.
    pub fn fold(&self) -> Option<&F> {
        self.fold.as_ref()
    }

    /// Returns the state by value.
    pub fn into_fold(self) -> Option<F> {
        self.fold
    }

    /// Adopts a state from another source if it is newer; returns whether it
    /// was.
    ///
    /// Reading continues after the adopted state.
    pub fn adopt(&mut self, fold: F) -> bool {
        let known = self.fold.as_ref().map_or(0, F::next_offset);
        if fold.next_offset() <= known {
            return false;
        }
        self.next = self.next.max(fold.next_offset());
        self.buffered.clear();
        self.fold = Some(fold);
        true
    }

    /// Returns the offset to read from next.
    pub fn cursor(&self) -> u64 {
        self.next
    }

    /// Returns whether there is a state and the end of the stream has been
    /// reached at least once.
    pub fn is_ready(&self) -> bool {
        self.caught_up && self.fold.is_some()
    }

    /// Returns the log's time of the newest checkpoint or, without one, of
    /// the first record that was read; in milliseconds.
    pub fn checkpoint_ms(&self) -> u64 {
        self.checkpoint_ms
    }

    /// Applies the result of a read and returns the effects in order.
    pub fn apply_slice(&mut self, slice: &LogSlice) -> Vec<F::Effect> {
        if slice.oldest > self.next {
            // Records have expired unread; only a checkpoint replaces them.
            self.fold = None;
            self.buffered.clear();
        } else if self.next == 0 && slice.oldest == 0 {
            self.fold.get_or_insert_default();
        }
        let mut effects = Vec::new();
        for record in &slice.records {
            if record.offset < self.next {
                continue;
            }
            self.next = record.offset + 1;
            self.restore_from_checkpoint(record, &mut effects);
            self.apply(record, &mut effects);
        }
        self.next = self.next.max(slice.oldest);
        self.caught_up |= self.next >= slice.next;
        effects
    }

    /// Marks the end of the stream as reached: there is no record at or after
    /// the cursor.
    pub fn mark_end(&mut self) {
        self.caught_up = true;
        if self.next == 0 {
            self.fold.get_or_insert_default();
        }
    }

    fn apply(&mut self, record: &LogRecord, effects: &mut Vec<F::Effect>) {
        let Some(fold) = &mut self.fold else {
            self.buffered.push(record.clone());
            return;
        };
        effects.extend(fold.apply(record));
    }

    /// Restores the state from a record that is a checkpoint, if there is no
    /// state yet, and updates `checkpoint_ms`.
    fn restore_from_checkpoint(
        &mut self,
        record: &LogRecord,
        effects: &mut Vec<F::Effect>,
    ) {
        if self.checkpoint_ms == 0 {
            self.checkpoint_ms = record.time_ms;
        }
        let Some(state) = F::from_checkpoint(&record.payload) else {
            return;
        };
        self.checkpoint_ms = record.time_ms;
        if self.fold.is_some() {
            return;
        }
        let first_buffered = self.buffered.first().map(|record| record.offset);
        // The records between the checkpoint and the first buffered one are
        // missing.
        if state.next_offset() < first_buffered.unwrap_or(record.offset) {
            return;
        }
        self.fold = Some(state);
        for record in std::mem::take(&mut self.buffered) {
            self.apply(&record, effects);
        }
    }
}
