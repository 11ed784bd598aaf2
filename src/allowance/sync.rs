//! Reading and writing the records.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{AllowanceBatch, AllowanceKeeper, allowance_key};
use crate::{
    domain::HolderId,
    ports::{KeyedFault, KeyedRecord, TopicWriter},
    telemetry::LogEvent,
};

/// The topic of the records.
const TOPIC: &str = "keyed.allowance";

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Requests that arrive within this time share one append.
const GROUP_DELAY: Duration = Duration::from_millis(2);

/// Longest random pause before tokens are claimed again after a cut.
const CUT_DELAY_MS: u64 = 12;

/// Claims in a row that one round of reading and writing makes.
const LARGEST_CLAIMS: u32 = 4;

/// A router that holds no tokens looks at the topic this much less often.
const IDLE_FACTOR: u32 = 4;

/// How far an epoch is raised that turned out to be an old one, because the
/// clock was set back.
const EPOCH_STEP: u64 = 60_000;

/// Bits of an incarnation below its time in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// Where this router is in the order of its appends.
#[derive(Debug)]
pub(super) struct AppendState {
    writer: TopicWriter,
    /// Whether earlier epochs are fenced.
    is_fenced: bool,
    /// The number of the next append.
    number: u64,
    /// Whether the append of this number was answered; it was not read back
    /// then.
    is_done: bool,
    /// Whether the append of this number may have been done.
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
            is_done: false,
            in_doubt: false,
        }
    }

    /// Begins the next number.
    fn advance(&mut self) {
        self.number += 1;
        self.is_done = false;
        self.in_doubt = false;
    }

    /// Begins a new epoch.
    fn begin_epoch(&mut self, step: u64) {
        self.writer.epoch += step;
        self.is_fenced = false;
        self.number = 0;
        self.is_done = false;
        self.in_doubt = false;
    }
}

impl AllowanceKeeper {
    /// Reads and writes the records for as long as the task lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            let synced = self.sync().await;
            if let Err(fault) = &synced {
                self.store.note_fault(fault);
                self.changed.notify_waiters();
                self.ports.timer.sleep(RETRY_DELAY).await;
                continue;
            }
            self.store.note_answer();
            let is_idle = self.book.borrow().is_idle();
            let factor = if is_idle { IDLE_FACTOR } else { 1 };
            let pause = self.options.settle_interval * factor;
            let pause = self.ports.timer.sleep(pause);
            monoio::select! {
                () = pause => {}
                () = self.urgent.notified() => {
                    self.ports.timer.sleep(GROUP_DELAY).await;
                }
            }
        }
    }

    /// Writes what has changed here and reads everything new, again while
    /// claims are cut.
    async fn sync(&self) -> Result<(), KeyedFault> {
        // The last settlement of a router that ends may fall into a round.
        let _turn = self.turn.lock().await;
        self.fence().await?;
        for _ in 0..LARGEST_CLAIMS {
            let draft = self.draft();
            if !draft.records.is_empty() {
                self.append(&draft).await?;
            }
            self.read_all().await?;
            if !draft.records.is_empty()
                && !self.book.borrow().has_unconfirmed()
            {
                self.append.borrow_mut().advance();
            }
            if !self.note_cuts() {
                break;
            }
            let delay = rand::random::<u64>() % CUT_DELAY_MS;
            let delay = Duration::from_millis(delay);
            self.ports.timer.sleep(delay).await;
        }
        Ok(())
    }

    /// Ends earlier epochs of this VM and reads what they have left.
    async fn fence(&self) -> Result<(), KeyedFault> {
        if self.append.borrow().is_fenced {
            return Ok(());
        }
        let writer = self.append.borrow().writer.clone();
        let fenced = self.ports.topics.fence(TOPIC, &writer).await;
        if fenced == Err(KeyedFault::Fenced) {
            self.append.borrow_mut().begin_epoch(EPOCH_STEP);
        }
        fenced?;
        self.loaded.set(false);
        self.read_all().await?;
        let prepaid = self.prepaid.borrow();
        self.book.borrow_mut().finish_load(&prepaid, true);
        self.append.borrow_mut().is_fenced = true;
        Ok(())
    }

    fn draft(&self) -> AllowanceBatch {
        let mut book = self.book.borrow_mut();
        if self.leaving.get() {
            return book.release_batch();
        }
        let prepaid = self.prepaid.borrow();
        let routers = self.ports.directory.entry_count() as u64;
        book.next_batch(&prepaid, routers, Instant::now())
    }

    async fn append(&self, draft: &AllowanceBatch) -> Result<(), KeyedFault> {
        let (writer, number, was_in_doubt) = {
            let mut state = self.append.borrow_mut();
            if state.is_done {
                return Ok(());
            }
            let was_in_doubt = std::mem::replace(&mut state.in_doubt, true);
            (state.writer.clone(), state.number, was_in_doubt)
        };
        let mut records = Vec::with_capacity(draft.records.len());
        for (account, record) in &draft.records {
            records.push(KeyedRecord {
                key: allowance_key(account, &self.id.vm),
                value: Some(record.encode()),
                offset: 0,
            });
        }
        let topics = &self.ports.topics;
        let done = topics.append(TOPIC, &writer, number, &records).await;
        let mut state = self.append.borrow_mut();
        match &done {
            Ok(()) => state.is_done = true,
            Err(KeyedFault::Fenced | KeyedFault::OutOfSequence) => {
                log::warn!(
                    event:% = LogEvent::AppendFenced,
                    epoch = writer.epoch, number;
                    "appends go on in a new epoch"
                );
                state.begin_epoch(1);
            }
            Err(KeyedFault::Refused { .. }) if !was_in_doubt => {
                state.in_doubt = false;
                self.book.borrow_mut().discard_unconfirmed();
            }
            Err(_) => {}
        }
        done
    }

    async fn read_all(&self) -> Result<(), KeyedFault> {
        let mut was_loaded = false;
        loop {
            let from = self.book.borrow().cursor();
            let topics = &self.ports.topics;
            let is_load = !self.loaded.get();
            let read = if is_load {
                topics.newest(TOPIC).await
            } else {
                topics.read(TOPIC, from, Duration::ZERO).await
            };
            let slice = match read {
                Ok(slice) => slice,
                Err(KeyedFault::Expired) => {
                    self.loaded.set(false);
                    continue;
                }
                Err(fault) => return Err(fault),
            };
            if slice.end < from {
                // An answer from before what is known here.
                let reason = "the topic's end went back".to_owned();
                return Err(KeyedFault::Refused { reason });
            }
            self.loaded.set(true);
            let now = Instant::now();
            let mut book = self.book.borrow_mut();
            if is_load {
                // The newest records are no snapshot: read on from there.
                was_loaded = true;
                book.load(&slice.records, slice.next, now);
                continue;
            }
            let prepaid = self.prepaid.borrow();
            book.apply(&slice.records, slice.next, &prepaid, now);
            if slice.next < slice.end {
                continue;
            }
            if was_loaded {
                book.finish_load(&prepaid, false);
            }
            break;
        }
        self.reads.set(self.reads.get() + 1);
        self.changed.notify_waiters();
        Ok(())
    }

    /// Writes a line for each claim that was cut; `true` if there was one.
    fn note_cuts(&self) -> bool {
        let cuts = self.book.borrow_mut().take_cuts();
        self.cuts.set(self.cuts.get() + cuts.len() as u64);
        for cut in &cuts {
            log::info!(
                event:% = LogEvent::ClaimCut,
                account = cut.account.as_str(),
                claimed = cut.claimed, granted = cut.granted;
                "other routers had claimed the tokens before"
            );
        }
        !cuts.is_empty()
    }

    /// Gives everything back that no request needs, waiting up to `time`.
    ///
    /// Returns `false` if the topic did not take the records.
    pub async fn drain(&self, time: Duration) -> bool {
        self.leaving.set(true);
        let released = monoio::time::timeout(time, self.release()).await;
        matches!(released, Ok(Ok(())))
    }

    /// Writes until nothing is left to give back. What was open before does
    /// not give everything back.
    async fn release(&self) -> Result<(), KeyedFault> {
        loop {
            self.sync().await?;
            let left = self.book.borrow_mut().release_batch();
            if left.records.is_empty() {
                return Ok(());
            }
        }
    }
}
