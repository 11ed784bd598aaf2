//! The records of all VMs, and this VM's usage of each account.
//!
//! * `reports` is what routers tell each other of their records.
//! * `lending` moves tokens from VM to VM.
//! * `claims` computes the records to append.

mod claims;
mod lending;
mod reports;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{
    AllowanceRecord, TokenNeed,
    balance::AccountSummary,
    loans::LentLoans,
    own_use::{AccountTotals, AccountUsage, RecordWriter},
    record::split_key,
    stored::StoredRecord,
};
use crate::{
    ports::{KeyedRecord, TopicPosition},
    telemetry::note_unreadable,
};

/// The incarnation of a VM that wrote last, to any account.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastWriter {
    pub(super) incarnation: u64,
    position: TopicPosition,
}

/// Records to append in one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowanceBatch {
    /// The records, by account.
    pub records: Vec<(String, AllowanceRecord)>,
}

/// A claim that was granted in part or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCut {
    /// The account.
    pub account: String,
    /// Tokens that the record claims.
    pub claimed: u64,
    /// Tokens that may be used.
    pub granted: u64,
}

/// Tokens that an earlier incarnation of this VM had taken and had not
/// recorded as spent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenLoss {
    /// The account.
    pub account: String,
    /// Tokens that are lost.
    pub tokens: u64,
    /// Those of them that were for requests in progress or waiting when the
    /// last record was written.
    pub reserved: u64,
}

/// The records of all VMs and the usage of this VM.
///
/// A record that takes tokens is a claim. It is granted when it is read back,
/// up to what the records before it leave free. Every record counts in full
/// against those after it, whether or not it was granted in full. The sum
/// of the tokens in use therefore never exceeds the total, even if a reader
/// has missed records.
///
/// A topic that was restored from a copy has lost claims whose tokens may be
/// spent. Each router then writes its records again, and claims nothing until
/// the others have done so or a settling time is over. What a router does
/// not write again counts with the most that is known of it here.
#[derive(Debug)]
pub struct AllowanceLedger {
    pub(super) vm: String,
    incarnation: u64,
    horizon: Duration,
    cursor: TopicPosition,
    /// When the era of the cursor was first seen; `None` before any.
    era_began_at: Option<Instant>,
    pub(super) records: BTreeMap<String, BTreeMap<String, StoredRecord>>,
    pub(super) last_writers: BTreeMap<String, LastWriter>,
    /// What other routers have told of records, by account and VM.
    told: BTreeMap<(String, String), AllowanceRecord>,
    pub(super) usage: BTreeMap<String, AccountUsage>,
    loans: LentLoans,
    /// By account; dropped when a record changes.
    pub(super) summaries: BTreeMap<String, AccountSummary>,
    /// This VM's records that have not been read back yet.
    unconfirmed: AllowanceBatch,
    cuts: Vec<ClaimCut>,
    losses: Vec<TokenLoss>,
}

impl AllowanceLedger {
    /// Creates a ledger for one incarnation of a VM.
    ///
    /// Tokens are claimed ahead of need for the demand expected within
    /// `horizon`.
    pub fn new(
        vm: impl Into<String>,
        incarnation: u64,
        horizon: Duration,
    ) -> AllowanceLedger {
        AllowanceLedger {
            vm: vm.into(),
            incarnation,
            horizon,
            cursor: TopicPosition::default(),
            era_began_at: None,
            records: BTreeMap::new(),
            last_writers: BTreeMap::new(),
            told: BTreeMap::new(),
            usage: BTreeMap::new(),
            loans: LentLoans::default(),
            summaries: BTreeMap::new(),
            unconfirmed: AllowanceBatch::default(),
            cuts: Vec::new(),
            losses: Vec::new(),
        }
    }

    /// Returns the position to read from next.
    pub fn cursor(&self) -> TopicPosition {
        self.cursor
    }

    /// Returns the era that was read; `None` before the first read.
    pub fn era(&self) -> Option<u64> {
        self.era_began_at.map(|_| self.cursor.era)
    }

    /// Begins an era of the topic, whose newest records have to be loaded
    /// next.
    ///
    /// Unconfirmed records are dropped: they were computed from records that
    /// may be lost. Should one be in the topic all the same, it is replaced.
    pub fn begin_era(&mut self, era: u64, now: Instant) {
        self.cursor = TopicPosition { era, offset: 0 };
        self.era_began_at = Some(now);
        self.unconfirmed.records.clear();
    }

    /// Loads the newest record of each key.
    ///
    /// The records are not a consistent snapshot. Claims are granted only
    /// after the records appended in the meantime have been read too, see
    /// [`AllowanceLedger::finish_load`].
    pub fn load(&mut self, records: &[KeyedRecord], next: u64, now: Instant) {
        for record in records {
            self.store(record, now);
        }
        self.cursor.offset = self.cursor.offset.max(next);
    }

    /// Grants claims after a load, once everything up to the end of the topic
    /// has been read.
    ///
    /// With `is_fenced`, unconfirmed records that were not found can no longer
    /// be appended and are dropped.
    pub fn finish_load(
        &mut self,
        prepaid: &BTreeMap<String, u64>,
        is_fenced: bool,
    ) {
        for ((account, vm), told) in self.told.clone() {
            self.apply_told(&account, &vm, told);
        }
        for (account, record) in self.unconfirmed.records.clone() {
            let stored = self.own_record(&account);
            if stored.is_some_and(|stored| stored == record) {
                self.grant(&account, record, prepaid);
            }
        }
        if is_fenced {
            self.unconfirmed.records.clear();
        }
    }

    /// Applies records in order of offset and moves the cursor to `next`.
    pub fn apply(
        &mut self,
        records: &[KeyedRecord],
        next: u64,
        prepaid: &BTreeMap<String, u64>,
        now: Instant,
    ) {
        for record in records {
            let own = self.store(record, now);
            if let Some((account, record)) = own {
                self.grant(&account, record, prepaid);
            }
        }
        self.cursor.offset = self.cursor.offset.max(next);
    }

    /// Stores a record unless a newer one is known, and returns it if this
    /// incarnation wrote it.
    fn store(
        &mut self,
        entry: &KeyedRecord,
        now: Instant,
    ) -> Option<(String, AllowanceRecord)> {
        let Some((account, vm)) = split_key(&entry.key) else {
            note_unreadable(&entry.key, "key is not of the form ACCOUNT/VM");
            return None;
        };
        let value = entry.value.as_deref();
        let Some(record) = value.and_then(AllowanceRecord::decode) else {
            note_unreadable(&entry.key, "value is not an allowance record");
            return None;
        };
        let position =
            TopicPosition { era: self.cursor.era, offset: entry.offset };
        let known = self.records.get(account).and_then(|all| all.get(vm));
        let known = known.copied();
        if known.is_some_and(|known| known.position >= position) {
            return None;
        }
        self.summaries.clear();
        let stored = StoredRecord::new(record, position);
        let stored = known.map_or(stored, |known| known.merge(stored));
        let all = self.records.entry(account.to_owned()).or_default();
        all.insert(vm.to_owned(), stored);
        let is_copy = record.era < position.era;
        if !is_copy || !self.last_writers.contains_key(vm) {
            self.note_writer(vm, stored.record.incarnation, position);
        }
        if vm != self.vm {
            return None;
        }
        let record = stored.record;
        if record.incarnation != self.incarnation {
            // An earlier incarnation may have spent more than it recorded.
            // What it took beyond that is therefore never used again.
            self.set_baseline(account, record, now);
            return None;
        }
        Some((account.to_owned(), record))
    }

    /// Takes over the last record of an earlier incarnation of this VM.
    fn set_baseline(
        &mut self,
        account: &str,
        record: AllowanceRecord,
        now: Instant,
    ) {
        let usage = self.usage_mut(account, now);
        let known = std::mem::replace(&mut usage.baseline, record);
        if known == record || record.unspent() == 0 {
            return;
        }
        self.losses.push(TokenLoss {
            account: account.to_owned(),
            tokens: record.unspent(),
            reserved: record.reserved,
        });
    }

    /// Records which incarnation of a VM wrote last.
    fn note_writer(
        &mut self,
        vm: &str,
        incarnation: u64,
        position: TopicPosition,
    ) {
        let writer = LastWriter { incarnation, position };
        let known = self.last_writers.entry(vm.to_owned()).or_insert(writer);
        if known.position < position {
            *known = writer;
        }
    }

    /// Grants the claim of an unconfirmed record, which must be the newest one
    /// read, up to what the records of other VMs leave free.
    fn grant(
        &mut self,
        account: &str,
        record: AllowanceRecord,
        prepaid: &BTreeMap<String, u64>,
    ) {
        let unconfirmed = &mut self.unconfirmed.records;
        let index =
            unconfirmed.iter().position(|(a, r)| a == account && *r == record);
        let Some(index) = index else {
            return;
        };
        unconfirmed.remove(index);
        let prepaid = prepaid.get(account).copied().unwrap_or(0);
        let others = self.total_taken(account) - record.taken;
        let Some(usage) = self.usage.get_mut(account) else {
            return;
        };
        let claimed = record.taken.saturating_sub(usage.baseline.taken);
        let left = prepaid.saturating_sub(others + usage.baseline.taken);
        let granted = usage.limit.max(claimed.min(left));
        usage.limit = granted;
        if granted < claimed {
            let account = account.to_owned();
            self.cuts.push(ClaimCut { account, claimed, granted });
        }
    }

    /// Returns the claims that were cut since the last call.
    pub fn take_cuts(&mut self) -> Vec<ClaimCut> {
        std::mem::take(&mut self.cuts)
    }

    /// Returns the losses that were found since the last call.
    pub fn take_losses(&mut self) -> Vec<TokenLoss> {
        std::mem::take(&mut self.losses)
    }

    pub(super) fn usage_mut(
        &mut self,
        account: &str,
        now: Instant,
    ) -> &mut AccountUsage {
        let horizon = self.horizon;
        let usage = self.usage.entry(account.to_owned());
        usage.or_insert_with(|| AccountUsage::new(horizon, now))
    }

    /// Whether this VM has no tokens in use and none available.
    pub fn is_idle(&self) -> bool {
        self.usage.values().all(AccountUsage::is_idle)
    }

    /// Returns this VM's record as last read from the topic.
    fn own_record(&self, account: &str) -> Option<AllowanceRecord> {
        let stored = self.records.get(account)?.get(&self.vm)?;
        Some(stored.record)
    }

    /// Reserves tokens for a request; returns `false` if too few are
    /// available.
    pub fn reserve(
        &mut self,
        account: &str,
        need: TokenNeed,
        now: Instant,
    ) -> bool {
        let is_reserved = self.reserve_waiting(account, need.tokens(), now);
        if is_reserved {
            self.usage_mut(account, now).demand.record(need, now);
        }
        is_reserved
    }

    /// Reserves tokens for a request whose demand
    /// [`AllowanceLedger::add_waiting`] has already recorded.
    pub fn reserve_waiting(
        &mut self,
        account: &str,
        tokens: u64,
        now: Instant,
    ) -> bool {
        let usage = self.usage_mut(account, now);
        if usage.available() < tokens {
            return false;
        }
        usage.reserved += tokens;
        true
    }

    /// Ends a request that had `tokens` reserved and has used `used` of them.
    pub fn settle(&mut self, account: &str, tokens: u64, used: u64) {
        let Some(usage) = self.usage.get_mut(account) else {
            return;
        };
        usage.reserved -= tokens;
        usage.spent += used.min(tokens);
    }

    /// Adds the tokens that a request waits for. They count as demand whether or
    /// not the request gets them.
    pub fn add_waiting(
        &mut self,
        account: &str,
        need: TokenNeed,
        now: Instant,
    ) {
        let usage = self.usage_mut(account, now);
        usage.waiting.push(need.tokens());
        usage.demand.record(need, now);
    }

    /// Removes tokens added by [`AllowanceLedger::add_waiting`] from the
    /// waiting ones.
    pub fn remove_waiting(&mut self, account: &str, tokens: u64) {
        let Some(usage) = self.usage.get_mut(account) else {
            return;
        };
        if let Some(index) = usage.waiting.iter().position(|t| *t == tokens) {
            usage.waiting.swap_remove(index);
        }
    }
}
