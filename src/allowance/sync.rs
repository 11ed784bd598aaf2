//! Appending this router's records to the topic and reading all new ones.
//!
//! The appends of a router form epochs, one or more for each incarnation. A
//! new epoch first fences the earlier ones. Within an epoch the topic takes
//! the appends once and in order of their numbers, so an append whose answer
//! was lost is repeated with the same number.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{AllowanceBatch, AllowanceKeeper, SyncPace, allowance_key};
use crate::{
    domain::HolderId,
    ports::{KeyedFault, KeyedRecord, KeyedSlice, TopicWriter},
    telemetry::LogEvent,
};

/// The topic of the records.
const TOPIC: &str = "keyed.allowance";

/// Delay before the next round after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay of a requested append, so that requests arriving together share it.
const BATCH_DELAY: Duration = Duration::from_millis(2);

/// Upper bound of the random delay before a cut claim is repeated.
const MAX_CLAIM_RETRY_DELAY_MS: u64 = 12;

/// Maximum number of successive claims in one synchronization.
const MAX_CLAIM_ROUNDS: u32 = 4;

/// Factor by which the interval grows for a router that holds no tokens.
const IDLE_INTERVAL_FACTOR: u32 = 4;

/// Milliseconds by which an epoch is raised that turned out to be stale,
/// because the clock was set back.
const STALE_EPOCH_STEP: u64 = 60_000;

/// The random bits of an incarnation, below its start time in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// The position of this router in the sequence of its appends.
#[derive(Debug)]
pub(super) struct AppendState {
    writer: TopicWriter,
    /// Whether earlier epochs have been fenced.
    is_fenced: bool,
    /// The number of the current append within the epoch.
    number: u64,
    /// Whether the current append was acknowledged. It stays current until
    /// its records are read back.
    is_acknowledged: bool,
    /// Whether the current append may have taken effect without an answer.
    in_doubt: bool,
}

impl AppendState {
    /// Creates the state of a router that has not appended yet.
    pub(super) fn new(id: &HolderId) -> AppendState {
        let epoch = id.incarnation >> INCARNATION_RANDOM_BITS;
        AppendState {
            writer: TopicWriter { name: id.vm.clone(), epoch },
            is_fenced: false,
            number: 0,
            is_acknowledged: false,
            in_doubt: false,
        }
    }

    /// Moves on to the next append.
    fn advance(&mut self) {
        self.number += 1;
        self.is_acknowledged = false;
        self.in_doubt = false;
    }

    /// Starts a new epoch, `step` above the current one.
    fn begin_epoch(&mut self, step: u64) {
        self.writer.epoch += step;
        self.is_fenced = false;
        self.number = 0;
        self.is_acknowledged = false;
        self.in_doubt = false;
    }
}

impl AllowanceKeeper {
    /// Reads and writes the records at intervals and when a request waits for
    /// tokens, until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            let synced = self.sync().await;
            if let Err(fault) = &synced {
                self.topic_state.note_fault(fault);
                self.changed.notify_waiters();
                self.ports.timer.sleep(RETRY_DELAY).await;
                continue;
            }
            self.topic_state.note_answer();
            if self.pace() == SyncPace::Dormant {
                self.sync_requested.notified().await;
                // The newest records are fewer than those missed meanwhile.
                self.is_loaded.set(false);
                continue;
            }
            let is_idle = self.ledger.borrow().is_idle();
            let factor = if is_idle { IDLE_INTERVAL_FACTOR } else { 1 };
            let wait = self.options.settle_interval * factor;
            let wait = self.ports.timer.sleep(wait);
            monoio::select! {
                () = wait => {}
                () = self.sync_requested.notified() => {
                    self.ports.timer.sleep(BATCH_DELAY).await;
                }
            }
        }
    }

    /// Returns how this router synchronizes its records at present.
    fn pace(&self) -> SyncPace {
        let mut ledger = self.ledger.borrow_mut();
        let unused_for = self.last_needed.get().map(|at| at.elapsed());
        let serving = self.serving.get();
        let pace = SyncPace::new(serving, unused_for, !ledger.is_idle());
        // A last record may be left to append although no tokens are.
        if pace == SyncPace::Dormant
            && !ledger.release_batch().records.is_empty()
        {
            return SyncPace::Releasing;
        }
        pace
    }

    /// Appends this router's changed records and reads all new ones, and
    /// repeats both while claims are cut.
    async fn sync(&self) -> Result<(), KeyedFault> {
        // `drain` may start while `run` is still synchronizing.
        let _guard = self.sync_lock.lock().await;
        self.fence().await?;
        for _ in 0..MAX_CLAIM_ROUNDS {
            let batch = self.next_batch();
            if !batch.records.is_empty() {
                self.append(&batch).await?;
            }
            self.read_all().await?;
            if !self.append_state.borrow().is_fenced {
                // A new era has begun; the next round writes the records
                // again.
                break;
            }
            if !batch.records.is_empty()
                && !self.ledger.borrow().has_unconfirmed()
            {
                self.append_state.borrow_mut().advance();
            }
            if !self.log_cuts() {
                break;
            }
            let delay = rand::random::<u64>() % MAX_CLAIM_RETRY_DELAY_MS;
            let delay = Duration::from_millis(delay);
            self.ports.timer.sleep(delay).await;
        }
        Ok(())
    }

    /// Fences the earlier epochs of this VM and reads their last records.
    async fn fence(&self) -> Result<(), KeyedFault> {
        if self.append_state.borrow().is_fenced {
            return Ok(());
        }
        let writer = self.append_state.borrow().writer.clone();
        let fenced = self.ports.topics.fence(TOPIC, &writer).await;
        if fenced == Err(KeyedFault::Fenced) {
            self.append_state.borrow_mut().begin_epoch(STALE_EPOCH_STEP);
        }
        fenced?;
        let era = self.ports.topics.era();
        self.is_loaded.set(false);
        self.read_all().await?;
        if self.ledger.borrow().era().is_some_and(|read| read > era) {
            let reason = "the topic was restored behind the fence".to_owned();
            return Err(KeyedFault::Refused { reason });
        }
        let prepaid = self.prepaid.borrow();
        self.ledger.borrow_mut().finish_load(&prepaid, true);
        self.append_state.borrow_mut().is_fenced = true;
        self.log_losses();
        Ok(())
    }

    fn next_batch(&self) -> AllowanceBatch {
        let should_release =
            self.is_draining.get() || self.pace() != SyncPace::Serving;
        let mut ledger = self.ledger.borrow_mut();
        if !self.may_claim.get() {
            return AllowanceBatch::default();
        }
        if should_release {
            return ledger.release_batch();
        }
        let prepaid = self.prepaid.borrow();
        let routers = self.serving.get().serving_routers;
        ledger.next_batch(&prepaid, routers, Instant::now())
    }

    /// Appends a batch under the current number, unless that has been
    /// acknowledged already.
    async fn append(&self, batch: &AllowanceBatch) -> Result<(), KeyedFault> {
        let (writer, number, was_in_doubt) = {
            let mut state = self.append_state.borrow_mut();
            if state.is_acknowledged {
                return Ok(());
            }
            let was_in_doubt = std::mem::replace(&mut state.in_doubt, true);
            (state.writer.clone(), state.number, was_in_doubt)
        };
        let mut records = Vec::with_capacity(batch.records.len());
        for (account, record) in &batch.records {
            records.push(KeyedRecord {
                key: allowance_key(account, &self.id.vm),
                value: Some(record.encode()),
                offset: 0,
            });
        }
        let topics = &self.ports.topics;
        let appended = topics.append(TOPIC, &writer, number, &records).await;
        let mut state = self.append_state.borrow_mut();
        match &appended {
            Ok(()) => state.is_acknowledged = true,
            Err(KeyedFault::Fenced | KeyedFault::OutOfSequence) => {
                log::warn!(
                    event:% = LogEvent::AppendFenced,
                    epoch = writer.epoch, number;
                    "append fenced or out of sequence; starting a new epoch"
                );
                state.begin_epoch(1);
            }
            Err(KeyedFault::Refused { .. }) if !was_in_doubt => {
                state.in_doubt = false;
                self.ledger.borrow_mut().discard_unconfirmed();
            }
            Err(_) => {}
        }
        appended
    }

    /// Reads up to the end of the topic, from the newest record of each key
    /// if nothing was loaded or the history has expired.
    async fn read_all(&self) -> Result<(), KeyedFault> {
        let mut has_loaded = false;
        loop {
            let cursor = self.ledger.borrow().cursor();
            let topics = &self.ports.topics;
            let is_load = !self.is_loaded.get();
            let read = if is_load {
                topics.newest(TOPIC).await
            } else {
                topics.read(TOPIC, cursor.offset, Duration::ZERO).await
            };
            let slice = match read {
                Ok(slice) => slice,
                Err(KeyedFault::Expired) => {
                    self.is_loaded.set(false);
                    continue;
                }
                Err(fault) => return Err(fault),
            };
            if self.begin_era_of(&slice) && !is_load {
                self.is_loaded.set(false);
                continue;
            }
            let from = self.ledger.borrow().cursor();
            if slice.position(slice.end) < from {
                // The answer is older than what has been read already.
                let reason = "the end of the topic moved backwards".to_owned();
                return Err(KeyedFault::Refused { reason });
            }
            self.is_loaded.set(true);
            let now = Instant::now();
            let mut ledger = self.ledger.borrow_mut();
            if is_load {
                // The newest records are not a consistent snapshot, so the
                // records from `next` on are read as well.
                has_loaded = true;
                ledger.load(&slice.records, slice.next, now);
                continue;
            }
            let prepaid = self.prepaid.borrow();
            ledger.apply(&slice.records, slice.next, &prepaid, now);
            if slice.next < slice.end {
                continue;
            }
            if has_loaded {
                ledger.finish_load(&prepaid, false);
            }
            break;
        }
        self.complete_reads.set(self.complete_reads.get() + 1);
        self.changed.notify_waiters();
        Ok(())
    }

    /// Begins the era of a slice if it is the first or a new one; returns
    /// whether it is.
    ///
    /// In a new era the topic has lost records of this writer, so that a new
    /// epoch has to begin too.
    fn begin_era_of(&self, slice: &KeyedSlice) -> bool {
        let known = self.ledger.borrow().era();
        if known.is_some_and(|known| known >= slice.era) {
            return false;
        }
        let now = Instant::now();
        self.ledger.borrow_mut().begin_era(slice.era, now);
        let mut state = self.append_state.borrow_mut();
        if known.is_some() && state.is_fenced {
            state.begin_epoch(1);
            self.sync_requested.notify_one();
        }
        true
    }

    /// Has the records written again if the topic was restored.
    ///
    /// A router that holds no tokens reads nothing by itself, but others
    /// count what it has spent.
    pub fn note_era(&self, era: u64) {
        let known = self.ledger.borrow().era();
        if known.is_some_and(|known| known < era) {
            self.sync_requested.notify_one();
        }
    }

    /// Logs each claim that was cut and returns whether there was one.
    fn log_cuts(&self) -> bool {
        let cuts = self.ledger.borrow_mut().take_cuts();
        self.cut_claims.set(self.cut_claims.get() + cuts.len() as u64);
        for cut in &cuts {
            log::info!(
                event:% = LogEvent::ClaimCut,
                account = cut.account.as_str(),
                claimed = cut.claimed, granted = cut.granted;
                "claim cut: other routers had claimed the tokens first"
            );
        }
        !cuts.is_empty()
    }

    /// Logs what an earlier incarnation of this VM had left.
    fn log_losses(&self) {
        let losses = self.ledger.borrow_mut().take_losses();
        for loss in &losses {
            let lost = self.lost_tokens.get();
            self.lost_tokens.set(lost.saturating_add(loss.tokens));
            log::info!(
                event:% = LogEvent::TokensLost,
                account = loss.account.as_str(),
                tokens = loss.tokens, reserved = loss.reserved;
                "an earlier process on this VM ended with tokens in hand"
            );
        }
    }

    /// Gives back all tokens that no request needs, waiting up to `time`.
    ///
    /// Returns `false` if the records could not be appended in time.
    pub async fn drain(&self, time: Duration) -> bool {
        self.is_draining.set(true);
        let released = monoio::time::timeout(time, self.release()).await;
        matches!(released, Ok(Ok(())))
    }

    /// Synchronizes until nothing is left to give back. The first round may
    /// only repeat records from before the drain.
    async fn release(&self) -> Result<(), KeyedFault> {
        loop {
            self.sync().await?;
            let left = self.ledger.borrow_mut().release_batch();
            if left.records.is_empty() {
                return Ok(());
            }
        }
    }
}
