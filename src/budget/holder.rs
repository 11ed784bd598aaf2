//! The portions that one router holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    time::Instant,
};

use super::{LendRecord, SettleRecord};
use crate::{
    domain::{BillId, HolderId, PortionId},
    ports::LendReply,
};

/// A reservation whose request has not left the router.
#[derive(Debug)]
pub struct Unsent;

/// A reservation whose request may have reached an upstream.
#[derive(Debug)]
pub struct Sent;

/// Tokens set aside for one request.
///
/// The type parameter follows the life of the request. Only an [`Unsent`]
/// reservation can be released, and only a [`Sent`] one can be settled.
#[derive(Debug)]
#[must_use = "a reservation that is dropped stays reserved"]
pub struct Reservation<S> {
    bill: BillId,
    tokens: u64,
    state: PhantomData<S>,
}

impl<S> Reservation<S> {
    /// The identity under which the request will be billed.
    pub fn bill(&self) -> BillId {
        self.bill
    }

    /// The tokens set aside.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Reservation<Unsent> {
    /// Notes that the request is about to leave for an upstream.
    pub fn into_sent(self) -> Reservation<Sent> {
        let Reservation { bill, tokens, .. } = self;
        Reservation { bill, tokens, state: PhantomData }
    }
}

/// A settlement with the budget that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetSettlement {
    /// The full name of the budget.
    pub budget: String,
    /// The settlement.
    pub record: SettleRecord,
}

/// A bill that has become final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalBill {
    /// Its identity.
    pub bill: BillId,
    /// Its tokens.
    pub tokens: u64,
}

#[derive(Debug)]
struct HeldPortion {
    budget: String,
    tokens: u64,
    reserved: u64,
    spent: u64,
    last_number: u32,
    open: BTreeSet<u32>,
    upto: u32,
    spent_upto: u64,
    beyond: BTreeMap<u32, u64>,
    last_lent: u32,
    changed: bool,
    used: Instant,
}

impl HeldPortion {
    fn new(budget: &str, tokens: u64, now: Instant) -> HeldPortion {
        HeldPortion {
            budget: budget.to_owned(),
            tokens,
            reserved: 0,
            spent: 0,
            last_number: 0,
            open: BTreeSet::new(),
            upto: 0,
            spent_upto: 0,
            beyond: BTreeMap::new(),
            last_lent: 0,
            changed: false,
            used: now,
        }
    }

    fn available(&self) -> u64 {
        self.tokens - self.reserved - self.spent
    }

    fn finish(&mut self, number: u32, tokens: u64) {
        self.open.remove(&number);
        self.beyond.insert(number, tokens);
        while let Some(tokens) = self.beyond.remove(&(self.upto + 1)) {
            self.upto += 1;
            self.spent_upto += tokens;
        }
        self.changed = true;
    }

    fn settlement(&self, portion: PortionId, close: bool) -> BudgetSettlement {
        let record = SettleRecord {
            portion,
            upto: self.upto,
            spent: self.spent_upto,
            beyond: self.beyond.iter().map(|(n, t)| (*n, *t)).collect(),
            close,
        };
        BudgetSettlement { budget: self.budget.clone(), record }
    }
}

/// Sums over the portions of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PortionTotals {
    /// Tokens that can be reserved.
    pub available: u64,
    /// Tokens set aside for requests in progress.
    pub reserved: u64,
    /// The number of portions.
    pub portions: usize,
}

/// The portions that one router incarnation may spend from.
///
/// The holder is the only one that decides about its portions. It gives up
/// a right in memory first and says so afterwards: a lent or closed portion
/// can no longer be reserved when the record about it leaves the router.
#[derive(Debug)]
pub struct GrantHolder {
    id: HolderId,
    portions: BTreeMap<PortionId, HeldPortion>,
    retired: BTreeSet<PortionId>,
}

impl GrantHolder {
    /// Creates a holder without portions.
    pub fn new(id: HolderId) -> GrantHolder {
        GrantHolder { id, portions: BTreeMap::new(), retired: BTreeSet::new() }
    }

    /// The identity of this incarnation.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Books a portion that was read back from the log or lent by a peer.
    ///
    /// A repetition has no effect, even after the portion was closed: a
    /// reader that starts again from a checkpoint sees old records twice.
    pub fn add(
        &mut self,
        portion: PortionId,
        budget: &str,
        tokens: u64,
        now: Instant,
    ) {
        if self.retired.contains(&portion) {
            return;
        }
        let held = || HeldPortion::new(budget, tokens, now);
        self.portions.entry(portion).or_insert_with(held);
    }

    /// Sets tokens of one portion aside for a request.
    ///
    /// The smallest remainder that fits is taken, so that remainders are
    /// used up before larger portions are broken into.
    pub fn reserve(
        &mut self,
        budget: &str,
        tokens: u64,
        now: Instant,
    ) -> Option<Reservation<Unsent>> {
        let mut best: Option<(PortionId, u64)> = None;
        for (id, portion) in &self.portions {
            let available = portion.available();
            if portion.budget != budget || available < tokens {
                continue;
            }
            if best.is_none_or(|(_, least)| available < least) {
                best = Some((*id, available));
            }
        }
        let (id, _) = best?;
        let portion = self.portions.get_mut(&id)?;
        portion.last_number += 1;
        portion.reserved += tokens;
        portion.open.insert(portion.last_number);
        portion.used = now;
        let bill = BillId::new(id, portion.last_number);
        Some(Reservation { bill, tokens, state: PhantomData })
    }

    /// Gives back what a request that never left had reserved.
    pub fn release(&mut self, reservation: Reservation<Unsent>) {
        let bill = reservation.bill;
        self.finish(bill, reservation.tokens, 0);
    }

    /// Bills a request that was sent.
    ///
    /// No more than the reservation can be billed; an upstream that used
    /// more has broken the ceiling it was given, at its own cost.
    pub fn settle(
        &mut self,
        reservation: Reservation<Sent>,
        tokens: u64,
    ) -> FinalBill {
        let bill = reservation.bill;
        let tokens = tokens.min(reservation.tokens);
        self.finish(bill, reservation.tokens, tokens);
        FinalBill { bill, tokens }
    }

    fn finish(&mut self, bill: BillId, reserved: u64, tokens: u64) {
        // A portion is kept for as long as it has open bills.
        let portion = self.portions.get_mut(&bill.portion);
        let portion = portion.expect("portion of an open bill");
        portion.reserved -= reserved;
        portion.spent += tokens;
        portion.finish(bill.number, tokens);
    }

    /// Splits tokens off one of this holder's own grants.
    ///
    /// Borrowed portions are not lent on, so that a portion's number is
    /// always given by the holder of the grant.
    pub fn lend(
        &mut self,
        budget: &str,
        to: &HolderId,
        least: u64,
        want: u64,
    ) -> Option<(LendReply, LendRecord)> {
        let mut best: Option<(PortionId, u64)> = None;
        for (id, portion) in &self.portions {
            let available = portion.available();
            let lendable = id.number == 0 && portion.budget == budget;
            if !lendable || available < least.max(1) {
                continue;
            }
            if best.is_none_or(|(_, most)| available > most) {
                best = Some((*id, available));
            }
        }
        let (id, available) = best?;
        // Half of what is there stays, unless the borrower needs more.
        let tokens = want.min(available / 2).max(least).max(1);
        let portion = self.portions.get_mut(&id)?;
        portion.tokens -= tokens;
        portion.last_lent += 1;
        let lent = PortionId { number: portion.last_lent, ..id };
        let record = LendRecord { portion: lent, to: to.clone(), tokens };
        Some((LendReply { portion: lent, tokens }, record))
    }

    /// Takes the settlements that the log does not have yet.
    pub fn take_settlements(&mut self) -> Vec<BudgetSettlement> {
        let mut records = Vec::new();
        for (id, portion) in &mut self.portions {
            if !portion.changed {
                continue;
            }
            portion.changed = false;
            records.push(portion.settlement(*id, false));
        }
        records
    }

    /// Closes portions without open bills for which `wanted` holds.
    ///
    /// `wanted` is given the budget, the available tokens and the time of
    /// the last reservation. The portions are gone when this returns.
    pub fn close_where(
        &mut self,
        mut wanted: impl FnMut(&str, u64, Instant) -> bool,
    ) -> Vec<BudgetSettlement> {
        let mut records = Vec::new();
        let retired = &mut self.retired;
        self.portions.retain(|id, portion| {
            let available = portion.available();
            if !portion.open.is_empty()
                || !wanted(&portion.budget, available, portion.used)
            {
                return true;
            }
            records.push(portion.settlement(*id, true));
            retired.insert(*id);
            false
        });
        records
    }

    /// Sums over the portions of a budget.
    pub fn totals(&self, budget: &str) -> PortionTotals {
        let mut totals = PortionTotals::default();
        for portion in self.portions.values() {
            if portion.budget != budget {
                continue;
            }
            totals.available += portion.available();
            totals.reserved += portion.reserved;
            totals.portions += 1;
        }
        totals
    }

    /// Whether a portion is held.
    pub fn holds(&self, portion: PortionId) -> bool {
        self.portions.contains_key(&portion)
    }

    /// The number of portions of all budgets.
    pub fn len(&self) -> usize {
        self.portions.len()
    }

    /// Whether no portion is held.
    pub fn is_empty(&self) -> bool {
        self.portions.is_empty()
    }
}
