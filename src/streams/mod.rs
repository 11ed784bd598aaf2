//! Following a stream of the log from a checkpoint or from its start.
//!
//! The log keeps records for a limited time, and a VM keeps nothing. Every
//! state that must last is therefore a fold over a stream, and is written to
//! that stream again as a checkpoint before its records leave the log. A
//! type that folds records implements [`StreamFold`]; [`StreamFollower`]
//! finds the starting point and feeds it.

use crate::ports::{LogRecord, LogSlice};

/// A state that is computed from the records of a stream in order.
///
/// Two readers that apply the same records have equal states.
pub trait StreamFold: Default {
    /// What the application of one record changed.
    type Effect;

    /// Applies the next record; an older one has no effect.
    fn apply(&mut self, record: &LogRecord) -> Option<Self::Effect>;

    /// Offset of the first record that has not been applied.
    fn next_offset(&self) -> u64;

    /// The state that a record carries, if it is a checkpoint.
    fn from_checkpoint(payload: &str) -> Option<Self>;

    /// The record that carries this state as a checkpoint.
    fn to_checkpoint(&self) -> String;
}

/// Follows one stream.
///
/// A fresh reader may find a stream whose beginning is gone. It then keeps
/// what it reads aside until it meets a checkpoint that covers the gap.
#[derive(Debug, Default)]
pub struct StreamFollower<F> {
    fold: Option<F>,
    aside: Vec<LogRecord>,
    next: u64,
    caught_up: bool,
    checkpoint_ms: u64,
}

impl<F: StreamFold> StreamFollower<F> {
    /// Creates a follower that has read nothing.
    pub fn new() -> StreamFollower<F> {
        StreamFollower {
            fold: None,
            aside: Vec::new(),
            next: 0,
            caught_up: false,
            checkpoint_ms: 0,
        }
    }

    /// The state, once a starting point has been found.
    pub fn fold(&self) -> Option<&F> {
        self.fold.as_ref()
    }

    /// Takes the state out.
    pub fn into_fold(self) -> Option<F> {
        self.fold
    }

    /// Adopts a state from elsewhere if it is ahead of this one.
    ///
    /// Reading goes on behind the adopted state.
    pub fn adopt(&mut self, fold: F) -> bool {
        let known = self.fold.as_ref().map_or(0, F::next_offset);
        if fold.next_offset() <= known {
            return false;
        }
        self.next = self.next.max(fold.next_offset());
        self.aside.clear();
        self.fold = Some(fold);
        true
    }

    /// The offset to read from next.
    pub fn cursor(&self) -> u64 {
        self.next
    }

    /// Whether the end of the stream has been reached at least once.
    pub fn is_ready(&self) -> bool {
        self.caught_up && self.fold.is_some()
    }

    /// The log's time of the newest checkpoint or, without one, of the
    /// first record that was read; in milliseconds.
    pub fn checkpoint_ms(&self) -> u64 {
        self.checkpoint_ms
    }

    /// Applies what a read returned and reports the effects in order.
    pub fn apply_slice(&mut self, slice: &LogSlice) -> Vec<F::Effect> {
        if slice.oldest > self.next {
            // Records were missed for good. Only a checkpoint helps.
            self.fold = None;
            self.aside.clear();
        } else if self.next == 0 && slice.oldest == 0 {
            self.fold.get_or_insert_default();
        }
        let mut effects = Vec::new();
        for record in &slice.records {
            if record.offset < self.next {
                continue;
            }
            self.next = record.offset + 1;
            self.note_checkpoint(record, &mut effects);
            self.apply(record, &mut effects);
        }
        self.next = self.next.max(slice.oldest);
        self.caught_up |= self.next >= slice.next;
        effects
    }

    /// Notes that the stream holds nothing at or after the cursor.
    pub fn mark_end(&mut self) {
        self.caught_up = true;
        if self.next == 0 {
            self.fold.get_or_insert_default();
        }
    }

    fn apply(&mut self, record: &LogRecord, effects: &mut Vec<F::Effect>) {
        let Some(fold) = &mut self.fold else {
            self.aside.push(record.clone());
            return;
        };
        effects.extend(fold.apply(record));
    }

    fn note_checkpoint(
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
        let first_aside = self.aside.first().map(|record| record.offset);
        if state.next_offset() < first_aside.unwrap_or(record.offset) {
            return;
        }
        self.fold = Some(state);
        for record in std::mem::take(&mut self.aside) {
            self.apply(&record, effects);
        }
    }
}
