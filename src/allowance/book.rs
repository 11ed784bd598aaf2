//! The records of all VMs, and the own use of them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{
    AllowanceRecord,
    loans::LoanBook,
    own_use::{AccountState, OwnUse},
    record::split_key,
};
use crate::{
    ports::{KeyedRecord, LendRequest},
    telemetry::note_unreadable,
};

/// One record of another VM or the own one.
#[derive(Clone, Copy, Debug)]
struct SeenRecord {
    record: AllowanceRecord,
    offset: u64,
}

/// What is known of one account, for decisions and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllowanceBalance {
    /// Tokens that no VM has taken.
    pub free: u64,
    /// Tokens taken by VMs that may still be spent.
    pub held: u64,
    /// Tokens that were lost with VMs.
    pub lost: u64,
    /// Tokens that this VM can give to requests.
    pub available: u64,
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

/// All records, and this VM's use of them.
///
/// A record that takes tokens is a claim. It is granted when it is read back,
/// as far as the records before it leave tokens free. Every record counts in
/// full for those behind it, granted or not, so that the sum of what VMs may
/// use never exceeds the total, whatever a reader has missed.
#[derive(Debug)]
pub struct AllowanceLedger {
    vm: String,
    incarnation: u64,
    horizon: Duration,
    cursor: u64,
    seen: BTreeMap<String, BTreeMap<String, SeenRecord>>,
    own: BTreeMap<String, OwnUse>,
    loans: LoanBook,
    /// The own records that were not read back yet.
    open: AllowanceBatch,
    cuts: Vec<ClaimCut>,
}

impl AllowanceLedger {
    /// Creates a book for one incarnation of a VM.
    ///
    /// `horizon` is the demand for which tokens are taken ahead of need.
    pub fn new(
        vm: impl Into<String>,
        incarnation: u64,
        horizon: Duration,
    ) -> AllowanceLedger {
        AllowanceLedger {
            vm: vm.into(),
            incarnation,
            horizon,
            cursor: 0,
            seen: BTreeMap::new(),
            own: BTreeMap::new(),
            loans: LoanBook::default(),
            open: AllowanceBatch::default(),
            cuts: Vec::new(),
        }
    }

    /// The offset to read from next.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Takes the newest record of each key.
    ///
    /// They are no snapshot. Claims are granted once what was appended
    /// meanwhile is read too, see [`AllowanceLedger::finish_load`].
    pub fn load(&mut self, records: &[KeyedRecord], next: u64, now: Instant) {
        for record in records {
            self.see(record, now);
        }
        self.cursor = self.cursor.max(next);
    }

    /// Grants claims after a load, when everything up to the end is read.
    ///
    /// With `is_fenced`, open records that are not there never will be.
    pub fn finish_load(
        &mut self,
        prepaid: &BTreeMap<String, u64>,
        is_fenced: bool,
    ) {
        for (account, record) in self.open.records.clone() {
            let seen = self.seen_record(&account);
            if seen.is_some_and(|seen| seen == record) {
                self.grant(&account, record, prepaid);
            }
        }
        if is_fenced {
            self.open.records.clear();
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
            let own = self.see(record, now);
            if let Some((account, record)) = own {
                self.grant(&account, record, prepaid);
            }
        }
        self.cursor = self.cursor.max(next);
    }

    /// Notes a record; returns it if it is one of this incarnation.
    fn see(
        &mut self,
        entry: &KeyedRecord,
        now: Instant,
    ) -> Option<(String, AllowanceRecord)> {
        let Some((account, vm)) = split_key(&entry.key) else {
            note_unreadable(&entry.key, "no key of an allowance");
            return None;
        };
        let value = entry.value.as_deref();
        let Some(record) = value.and_then(AllowanceRecord::decode) else {
            note_unreadable(&entry.key, "no allowance");
            return None;
        };
        let offset = entry.offset;
        let seen = self.seen.entry(account.to_owned()).or_default();
        if seen.get(vm).is_some_and(|known| known.offset >= offset) {
            return None;
        }
        seen.insert(vm.to_owned(), SeenRecord { record, offset });
        if vm != self.vm {
            return None;
        }
        if record.incarnation != self.incarnation {
            // What an earlier incarnation took without spending it cannot
            // be told from what it spent last, so nobody uses it again.
            self.own_use(account, now).base = record;
            return None;
        }
        Some((account.to_owned(), record))
    }

    /// Grants the claim of an open record, the newest one that was read, as
    /// far as the records of others leave tokens.
    fn grant(
        &mut self,
        account: &str,
        record: AllowanceRecord,
        prepaid: &BTreeMap<String, u64>,
    ) {
        let open = &mut self.open.records;
        let place =
            open.iter().position(|(a, r)| a == account && *r == record);
        let Some(place) = place else {
            return;
        };
        open.remove(place);
        let prepaid = prepaid.get(account).copied().unwrap_or(0);
        let others = self.taken(account) - record.taken;
        let Some(own) = self.own.get_mut(account) else {
            return;
        };
        let claimed = record.taken - own.base.taken;
        let left = prepaid.saturating_sub(others + own.base.taken);
        let granted = own.limit.max(claimed.min(left));
        own.limit = granted;
        if granted < claimed {
            let account = account.to_owned();
            self.cuts.push(ClaimCut { account, claimed, granted });
        }
    }

    /// The claims that were cut since the last call.
    pub fn take_cuts(&mut self) -> Vec<ClaimCut> {
        std::mem::take(&mut self.cuts)
    }

    fn own_use(&mut self, account: &str, now: Instant) -> &mut OwnUse {
        let horizon = self.horizon;
        let own = self.own.entry(account.to_owned());
        own.or_insert_with(|| OwnUse::new(horizon, now))
    }

    /// Whether this VM has nothing in use and nothing at hand.
    pub fn is_idle(&self) -> bool {
        self.own.values().all(OwnUse::is_idle)
    }

    fn available(&self, account: &str) -> u64 {
        self.own.get(account).map_or(0, OwnUse::available)
    }

    fn records(&self, account: &str) -> impl Iterator<Item = AllowanceRecord> {
        let seen = self.seen.get(account);
        let records = seen.into_iter().flat_map(BTreeMap::values);
        records.map(|seen| seen.record)
    }

    fn other_records(
        &self,
        account: &str,
    ) -> impl Iterator<Item = (&String, AllowanceRecord)> {
        let seen = self.seen.get(account).into_iter().flatten();
        let others = seen.filter(|(vm, _)| **vm != self.vm);
        others.map(|(vm, seen)| (vm, seen.record))
    }

    /// The own record as it was read last.
    fn seen_record(&self, account: &str) -> Option<AllowanceRecord> {
        let seen = self.seen.get(account)?.get(&self.vm)?;
        Some(seen.record)
    }

    fn taken(&self, account: &str) -> u64 {
        self.records(account).map(|record| record.taken).sum()
    }

    fn lost(&self, account: &str) -> u64 {
        self.records(account).map(|record| record.lost).sum()
    }

    /// Tokens that are spent for sure.
    fn spent(&self, account: &str) -> u64 {
        let others = self.other_records(account);
        let others: u64 = others.map(|(_, record)| record.spent).sum();
        let own = self.own.get(account);
        others + own.map_or(0, |own| own.base.spent + own.spent)
    }

    /// What is known of an account.
    pub fn balance(&self, account: &str, prepaid: u64) -> AllowanceBalance {
        let taken = self.taken(account);
        let lost = self.lost(account);
        let gone = self.spent(account) + lost;
        AllowanceBalance {
            free: prepaid.saturating_sub(taken),
            held: taken.saturating_sub(gone),
            lost,
            available: self.available(account),
        }
    }

    /// Whether an account certainly cannot cover `tokens`.
    ///
    /// What has been spent counts as far as it is known for sure.
    pub fn is_exhausted(
        &self,
        account: &str,
        prepaid: u64,
        tokens: u64,
    ) -> bool {
        prepaid.saturating_sub(self.spent(account)) < tokens
    }

    /// Whether no VM can give `tokens` any more, although the account may
    /// not have spent them: they were lost with VMs.
    pub fn is_short_after_losses(
        &self,
        account: &str,
        prepaid: u64,
        tokens: u64,
    ) -> bool {
        let gone = self.spent(account) + self.lost(account);
        prepaid.saturating_sub(gone) < tokens
    }

    /// Sets tokens aside for a request; `false` if too few are at hand.
    pub fn reserve(
        &mut self,
        account: &str,
        tokens: u64,
        now: Instant,
    ) -> bool {
        let is_reserved = self.reserve_waiting(account, tokens, now);
        if is_reserved {
            self.own_use(account, now).sizer.record(tokens, now);
        }
        is_reserved
    }

    /// The same for a request that [`AllowanceLedger::add_waiting`] has noted.
    pub fn reserve_waiting(
        &mut self,
        account: &str,
        tokens: u64,
        now: Instant,
    ) -> bool {
        let own = self.own_use(account, now);
        if own.available() < tokens {
            return false;
        }
        own.reserved += tokens;
        true
    }

    /// Ends a request that had `tokens` set aside and has used `used`.
    pub fn settle(&mut self, account: &str, tokens: u64, used: u64) {
        let Some(own) = self.own.get_mut(account) else {
            return;
        };
        own.reserved -= tokens;
        own.spent += used.min(tokens);
    }

    /// Notes tokens that a request waits for. They are demand, whether or not
    /// the request gets them.
    pub fn add_waiting(&mut self, account: &str, tokens: u64, now: Instant) {
        let own = self.own_use(account, now);
        own.unmet.push(tokens);
        own.sizer.record(tokens, now);
    }

    /// Takes back what [`AllowanceLedger::add_waiting`] noted.
    pub fn remove_waiting(&mut self, account: &str, tokens: u64) {
        let Some(own) = self.own.get_mut(account) else {
            return;
        };
        if let Some(place) = own.unmet.iter().position(|t| *t == tokens) {
            own.unmet.swap_remove(place);
        }
    }

    /// Gives tokens at hand to another VM for good.
    ///
    /// They count as lent from now on, whether or not the answer arrives. A
    /// call that is repeated gets the same answer.
    pub fn lend(&mut self, request: &LendRequest) -> u64 {
        let LendRequest { budget, min_tokens, wanted_tokens, .. } = request;
        if let Some(known) = self.loans.get(request) {
            return known;
        }
        let available = self.available(budget);
        if available < *min_tokens {
            return 0;
        }
        // Half stays for the own requests, unless the borrower needs more.
        let tokens = (*wanted_tokens).min(available / 2).max(*min_tokens);
        if let Some(own) = self.own.get_mut(budget) {
            own.lent += tokens;
            self.loans.note(request, tokens);
        }
        tokens
    }

    /// Takes a loan back whose answer did not reach the borrower.
    ///
    /// The call that asked for it may still be under way and then gets
    /// nothing.
    pub fn cancel_loan(&mut self, request: &LendRequest) -> u64 {
        let tokens = self.loans.get(request).unwrap_or(0);
        if let Some(own) = self.own.get_mut(&request.budget) {
            own.lent -= tokens;
        }
        self.loans.note(request, 0);
        tokens
    }

    /// Books tokens that another VM has lent.
    pub fn add_borrowed(&mut self, account: &str, tokens: u64, now: Instant) {
        self.own_use(account, now).borrowed += tokens;
    }

    /// Other VMs that seem to have tokens left, those with most first.
    pub fn lenders(&self, account: &str) -> Vec<String> {
        let others = self.other_records(account);
        let left = others.map(|(vm, record)| (record.unspent(), vm));
        let mut ranked: Vec<(u64, &String)> =
            left.filter(|(left, _)| *left > 0).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
    }

    /// Tokens that other VMs want and cannot get.
    fn wanted_by_others(&self, account: &str) -> u64 {
        let others = self.other_records(account);
        others.map(|(_, record)| record.wanted).sum()
    }

    /// The records that this VM wants to write now; again the ones before,
    /// as long as they are open.
    ///
    /// A limit that is lowered holds at once. A raised one holds when the
    /// record is read back.
    pub fn next_batch(
        &mut self,
        prepaid: &BTreeMap<String, u64>,
        routers: u64,
        now: Instant,
    ) -> AllowanceBatch {
        if self.has_unconfirmed() {
            return self.open.clone();
        }
        let accounts: Vec<String> = self.own.keys().cloned().collect();
        for account in accounts {
            // An account without a bound needs no record, and one that is
            // gone from the declarations gets nothing new.
            let Some(prepaid) = prepaid.get(&account).copied() else {
                continue;
            };
            let free = self.balance(&account, prepaid).free;
            let state = AccountState {
                prepaid,
                free,
                spent: self.spent(&account),
                others_want: self.wanted_by_others(&account) > free,
                routers,
            };
            let Some(own) = self.own.get_mut(&account) else {
                continue;
            };
            let (limit, wanted) = own.next_limit(&state, now);
            self.open_record(account, limit, wanted);
        }
        self.open.clone()
    }

    /// Gives back everything that no request in progress needs.
    pub fn release_batch(&mut self) -> AllowanceBatch {
        if self.has_unconfirmed() {
            return self.open.clone();
        }
        let accounts: Vec<String> = self.own.keys().cloned().collect();
        for account in accounts {
            let limit = self.own[&account].least_limit();
            self.open_record(account, limit, 0);
        }
        self.open.clone()
    }

    /// Opens the own record with a new limit, unless nothing changes.
    fn open_record(&mut self, account: String, limit: u64, wanted: u64) {
        let shown = self.seen_record(&account);
        let Some(own) = self.own.get_mut(&account) else {
            return;
        };
        let record = own.record(self.incarnation, limit, wanted);
        own.limit = own.limit.min(limit);
        let unused = shown.is_none() && record.taken == 0 && wanted == 0;
        let same = shown.is_some_and(|shown| {
            let foreign = shown.incarnation != record.incarnation;
            let idle = foreign && limit == 0 && wanted == 0;
            shown == record || idle
        });
        if !unused && !same {
            self.open.records.push((account, record));
        }
    }

    /// Whether own records were not read back yet.
    pub fn has_unconfirmed(&self) -> bool {
        !self.open.records.is_empty()
    }

    /// Drops open records that were certainly not appended.
    pub fn discard_unconfirmed(&mut self) {
        self.open.records.clear();
    }
}
