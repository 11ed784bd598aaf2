//! The records of all VMs, and the own use of them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{AllowanceRecord, allowance_key, record::split_key};
use crate::{
    budget::GrantSizer,
    domain::HolderId,
    ports::{KeyedRecord, LendRequest},
    telemetry::note_unreadable,
};

/// Part of an account's prepaid total that all routers together keep ahead
/// of need while nothing of it has been taken, in percent.
///
/// It shrinks with the square of what is left. Tokens ahead of need serve
/// requests while a router is cut off, and are lost with a router that dies.
/// An account with much left bears such a loss; one near its end does not.
const FLOAT_PERCENT: u64 = 75;

/// Tokens are taken as soon as less than this part of the float is at hand,
/// in percent.
const REFILL_PERCENT: u64 = 90;

/// Tokens at hand beyond this multiple of the float are given back.
const EXCESS_FACTOR: f64 = 1.25;

/// Loans that are remembered, the lowest numbers of a VM making room.
const LARGEST_LOANS: usize = 4_096;

/// The borrower and the number of a loan.
type LoanId = (HolderId, u64);

/// One record of another VM or the own one.
#[derive(Clone, Copy, Debug)]
struct SeenRecord {
    record: AllowanceRecord,
    offset: u64,
}

/// A lower limit whose record may still take effect.
#[derive(Clone, Copy, Debug)]
struct LoweredLimit {
    limit: u64,
    at: u64,
}

/// This VM's use of one account.
#[derive(Debug)]
struct OwnUse {
    base: AllowanceRecord,
    spent: u64,
    reserved: u64,
    lent: u64,
    borrowed: u64,
    unmet: Vec<u64>,
    lowered: Option<LoweredLimit>,
    sizer: GrantSizer,
    fleet_spent: u64,
    fleet_sizer: GrantSizer,
}

impl OwnUse {
    fn new(horizon: Duration, now: Instant) -> OwnUse {
        OwnUse {
            base: AllowanceRecord::default(),
            spent: 0,
            reserved: 0,
            lent: 0,
            borrowed: 0,
            unmet: Vec::new(),
            lowered: None,
            sizer: GrantSizer::new(horizon, now),
            fleet_spent: 0,
            fleet_sizer: GrantSizer::new(horizon, now),
        }
    }

    /// Notes what all routers together have spent.
    fn note_fleet(&mut self, spent: u64, now: Instant) {
        let known = std::mem::replace(&mut self.fleet_spent, spent);
        if known > 0 {
            self.fleet_sizer.note(spent.saturating_sub(known), now);
        }
    }

    /// This router's part of the demand.
    fn demand_part(&mut self, routers: u64, now: Instant) -> f64 {
        let own = self.sizer.target(now) as f64;
        let fleet = self.fleet_sizer.target(now) as f64;
        let least = 1.0 / routers.max(1) as f64;
        if fleet <= 0.0 {
            return least;
        }
        (own / fleet).clamp(least, 1.0)
    }

    /// Tokens that cannot be used for further requests.
    fn in_use(&self) -> u64 {
        self.spent + self.reserved + self.lent
    }

    /// Tokens that requests wait for.
    fn unmet_sum(&self) -> u64 {
        self.unmet.iter().sum()
    }

    /// The most tokens out of `tokens` that waiting requests can be given,
    /// small requests first.
    fn unmet_within(&self, tokens: u64) -> u64 {
        let mut sizes = self.unmet.clone();
        sizes.sort_unstable();
        let mut sum = 0;
        for size in sizes {
            if sum + size > tokens {
                break;
            }
            sum += size;
        }
        sum
    }

    /// Tokens lent, less those borrowed.
    fn net_lent(&self) -> i64 {
        self.lent as i64 - self.borrowed as i64
    }
}

/// What is known of one account, for decisions and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllowanceView {
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
pub struct AllowanceDraft {
    /// The end of the partition that the records presume.
    pub at: u64,
    /// The records, by account.
    pub records: Vec<(String, AllowanceRecord)>,
}

/// All records, and this VM's use of them.
#[derive(Debug)]
pub struct AllowanceBook {
    vm: String,
    incarnation: u64,
    horizon: Duration,
    cursor: u64,
    seen: BTreeMap<String, BTreeMap<String, SeenRecord>>,
    own: BTreeMap<String, OwnUse>,
    /// Tokens lent, by loan; zero for one that was taken back.
    loans: BTreeMap<LoanId, u64>,
}

impl AllowanceBook {
    /// Creates a book for one incarnation of a VM.
    ///
    /// `horizon` is the demand for which tokens are taken ahead of need.
    pub fn new(
        vm: impl Into<String>,
        incarnation: u64,
        horizon: Duration,
    ) -> AllowanceBook {
        AllowanceBook {
            vm: vm.into(),
            incarnation,
            horizon,
            cursor: 0,
            seen: BTreeMap::new(),
            own: BTreeMap::new(),
            loans: BTreeMap::new(),
        }
    }

    /// The offset to read from next.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Applies records in order of offset and moves the cursor to `end`.
    pub fn apply(&mut self, records: &[KeyedRecord], end: u64, now: Instant) {
        for record in records {
            self.apply_one(record, now);
        }
        self.cursor = self.cursor.max(end);
        let cursor = self.cursor;
        for own in self.own.values_mut() {
            // Nothing can be appended any more at an offset that is taken.
            own.lowered = own.lowered.filter(|low| low.at >= cursor);
        }
    }

    fn apply_one(&mut self, entry: &KeyedRecord, now: Instant) {
        let Some((account, vm)) = split_key(&entry.key) else {
            note_unreadable(&entry.key, "no key of an allowance");
            return;
        };
        let value = entry.value.as_deref();
        let Some(record) = value.and_then(AllowanceRecord::decode) else {
            note_unreadable(&entry.key, "no allowance");
            return;
        };
        let seen = self.seen.entry(account.to_owned()).or_default();
        let known = seen.get(vm);
        if known.is_some_and(|known| known.offset >= entry.offset) {
            return;
        }
        let offset = entry.offset;
        seen.insert(vm.to_owned(), SeenRecord { record, offset });
        if vm == self.vm && record.incarnation != self.incarnation {
            // What an earlier incarnation took without spending it cannot
            // be told from what it spent last, so nobody uses it again.
            self.own_use(account, now).base = record;
        }
    }

    fn own_use(&mut self, account: &str, now: Instant) -> &mut OwnUse {
        let horizon = self.horizon;
        let own = self.own.entry(account.to_owned());
        own.or_insert_with(|| OwnUse::new(horizon, now))
    }

    /// Whether this VM has nothing in use and nothing at hand.
    pub fn is_idle(&self) -> bool {
        self.own.keys().all(|account| {
            let own = &self.own[account];
            let is_waiting = own.reserved > 0 || !own.unmet.is_empty();
            !is_waiting && self.available(account) == 0
        })
    }

    /// Tokens that this incarnation may use according to the topic.
    fn limit(&self, account: &str) -> u64 {
        let Some(own) = self.own.get(account) else {
            return 0;
        };
        let seen = self.seen.get(account).and_then(|s| s.get(&self.vm));
        let Some(seen) = seen else {
            return 0;
        };
        if seen.record.incarnation != self.incarnation {
            return 0;
        }
        let limit = seen.record.taken.saturating_sub(own.base.taken);
        own.lowered.map_or(limit, |low| low.limit.min(limit))
    }

    fn available(&self, account: &str) -> u64 {
        let Some(own) = self.own.get(account) else {
            return 0;
        };
        let limit = self.limit(account) + own.borrowed;
        limit.saturating_sub(own.in_use())
    }

    fn taken(&self, account: &str) -> u64 {
        let seen = self.seen.get(account);
        let records = seen.into_iter().flat_map(BTreeMap::values);
        records.map(|seen| seen.record.taken).sum()
    }

    fn lost(&self, account: &str) -> u64 {
        let seen = self.seen.get(account);
        let records = seen.into_iter().flat_map(BTreeMap::values);
        records.map(|seen| seen.record.lost).sum()
    }

    /// Tokens that are spent for sure.
    fn spent(&self, account: &str) -> u64 {
        let mut sum = 0;
        for (vm, seen) in self.seen.get(account).into_iter().flatten() {
            if *vm != self.vm {
                sum += seen.record.spent;
            }
        }
        let own = self.own.get(account);
        sum + own.map_or(0, |own| own.base.spent + own.spent)
    }

    /// What is known of an account.
    pub fn view(&self, account: &str, prepaid: u64) -> AllowanceView {
        let taken = self.taken(account);
        let lost = self.lost(account);
        let gone = self.spent(account) + lost;
        AllowanceView {
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
    pub fn is_stranded(
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
        let available = self.available(account);
        let own = self.own_use(account, now);
        if available < tokens {
            return false;
        }
        own.reserved += tokens;
        own.sizer.note(tokens, now);
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

    /// Notes tokens that a request waits for.
    pub fn add_unmet(&mut self, account: &str, tokens: u64, now: Instant) {
        self.own_use(account, now).unmet.push(tokens);
    }

    /// Takes back what [`AllowanceBook::add_unmet`] noted.
    pub fn remove_unmet(&mut self, account: &str, tokens: u64) {
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
        let LendRequest { budget, least, want, .. } = request;
        let loan = (request.to.clone(), request.loan);
        if let Some(known) = self.loans.get(&loan) {
            return *known;
        }
        let available = self.available(budget);
        if available < *least {
            return 0;
        }
        // Half stays for the own requests, unless the borrower needs more.
        let tokens = (*want).min(available / 2).max(*least);
        if let Some(own) = self.own.get_mut(budget) {
            own.lent += tokens;
            self.note_loan(loan, tokens);
        }
        tokens
    }

    /// Takes a loan back whose answer did not reach the borrower.
    ///
    /// The call that asked for it may still be under way and then gets
    /// nothing.
    pub fn take_back(&mut self, request: &LendRequest) -> u64 {
        let loan = (request.to.clone(), request.loan);
        let tokens = self.loans.get(&loan).copied().unwrap_or(0);
        if let Some(own) = self.own.get_mut(&request.budget) {
            own.lent -= tokens;
        }
        self.note_loan(loan, 0);
        tokens
    }

    fn note_loan(&mut self, loan: LoanId, tokens: u64) {
        if self.loans.len() >= LARGEST_LOANS {
            self.loans.pop_first();
        }
        self.loans.insert(loan, tokens);
    }

    /// Books tokens that another VM has lent.
    pub fn borrow(&mut self, account: &str, tokens: u64, now: Instant) {
        self.own_use(account, now).borrowed += tokens;
    }

    /// Other VMs that seem to have tokens left, those with most first.
    pub fn lenders(&self, account: &str) -> Vec<String> {
        let mut ranked = Vec::new();
        for (vm, seen) in self.seen.get(account).into_iter().flatten() {
            let left = seen.record.unspent();
            if *vm != self.vm && left > 0 {
                ranked.push((left, vm));
            }
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
    }

    /// Tokens that other VMs want and cannot get.
    fn wanted_by_others(&self, account: &str) -> u64 {
        let mut sum = 0;
        for (vm, seen) in self.seen.get(account).into_iter().flatten() {
            if *vm != self.vm {
                sum += seen.record.wanted;
            }
        }
        sum
    }

    /// The records that this VM wants to write now.
    ///
    /// A limit that is lowered holds at once. A raised one holds after
    /// [`AllowanceBook::confirm`] or when the record is read back.
    pub fn draft(
        &mut self,
        prepaid: &BTreeMap<String, u64>,
        routers: u64,
        now: Instant,
    ) -> AllowanceDraft {
        let mut draft = AllowanceDraft { at: self.cursor, records: vec![] };
        let accounts: Vec<String> = self.own.keys().cloned().collect();
        for account in accounts {
            // An account without a bound needs no record, and one that is
            // gone from the declarations gets nothing new.
            let Some(prepaid) = prepaid.get(&account) else {
                continue;
            };
            let record = self.next_record(&account, *prepaid, routers, now);
            let Some(record) = record else {
                continue;
            };
            draft.records.push((account, record));
        }
        draft
    }

    /// Gives back everything that no request in progress needs.
    pub fn draft_release(&mut self) -> AllowanceDraft {
        let mut draft = AllowanceDraft { at: self.cursor, records: vec![] };
        let accounts: Vec<String> = self.own.keys().cloned().collect();
        for account in accounts {
            let own = &self.own[&account];
            let limit = own.in_use().saturating_sub(own.borrowed);
            let record = self.make_record(&account, limit, 0);
            if let Some(record) = record {
                draft.records.push((account, record));
            }
        }
        draft
    }

    fn next_record(
        &mut self,
        account: &str,
        prepaid: u64,
        routers: u64,
        now: Instant,
    ) -> Option<AllowanceRecord> {
        let limit = self.limit(account);
        let view = self.view(account, prepaid);
        let others_want = self.wanted_by_others(account) > view.free;
        let spent = self.spent(account);
        let own = self.own.get_mut(account)?;
        own.note_fleet(spent, now);
        let part = own.demand_part(routers, now);
        let share = fleet_float(prepaid, view.free) * part;
        let mut float = own.sizer.target(now).min(share as u64);
        if others_want {
            float = 0;
        }
        let available = view.available;
        let unmet = own.unmet_sum();
        let (mut next, mut wanted) = (limit, 0);
        if unmet > available {
            let covered = own.unmet_within(available + view.free);
            let more = (covered + float).saturating_sub(available);
            next = limit + more.min(view.free);
            wanted = unmet - covered;
        } else if available - unmet < float * REFILL_PERCENT / 100 {
            let more = unmet + float - available;
            next = limit + more.min(view.free);
        } else if others_want
            || (available - unmet) as f64 > float as f64 * EXCESS_FACTOR
        {
            next = limit.saturating_sub(available - unmet - float);
        }
        self.make_record(account, next, wanted)
    }

    /// The own record with a new limit; `None` if nothing changes.
    fn make_record(
        &mut self,
        account: &str,
        limit: u64,
        wanted: u64,
    ) -> Option<AllowanceRecord> {
        let current = self.limit(account);
        let seen = self.seen.get(account).and_then(|s| s.get(&self.vm));
        let shown = seen.map(|seen| seen.record);
        let at = self.cursor;
        let own = self.own.get_mut(account)?;
        let record = AllowanceRecord {
            incarnation: self.incarnation,
            taken: own.base.taken + limit,
            spent: own.base.spent + own.spent,
            lent: own.base.lent + own.net_lent(),
            lost: own.base.unspent() + own.base.lost,
            wanted,
        };
        if limit < current {
            own.lowered = Some(LoweredLimit { limit, at });
        }
        let unused = shown.is_none() && record.taken == 0 && wanted == 0;
        let same = shown.is_some_and(|shown| {
            let foreign = shown.incarnation != record.incarnation;
            let idle = foreign && limit == 0 && wanted == 0;
            shown == record || idle
        });
        if unused || same { None } else { Some(record) }
    }

    /// Notes that a draft was appended at the end that it presumed.
    pub fn confirm(&mut self, draft: &AllowanceDraft, now: Instant) {
        let mut records = Vec::with_capacity(draft.records.len());
        let mut offset = draft.at;
        for (account, record) in &draft.records {
            let key = allowance_key(account, &self.vm);
            let value = Some(record.encode());
            records.push(KeyedRecord { key, value, offset });
            offset += 1;
        }
        self.apply(&records, offset, now);
    }
}

/// The most tokens that all routers together keep ahead of need.
fn fleet_float(prepaid: u64, free: u64) -> f64 {
    let left = free as f64 / prepaid.max(1) as f64;
    prepaid as f64 * left.powi(2) * FLOAT_PERCENT as f64 / 100.0
}
