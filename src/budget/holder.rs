//! The portions of grants that one router holds, and reservations of their
//! tokens for requests.

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

/// State of a reservation whose request has not been sent.
#[derive(Debug)]
pub struct Unsent;

/// State of a reservation whose request may have reached an upstream.
#[derive(Debug)]
pub struct Sent;

/// Tokens reserved for one request.
///
/// The type parameter is the state of the request. Only an [`Unsent`]
/// reservation can be released, and only a [`Sent`] one can be settled.
#[derive(Debug)]
#[must_use = "a reservation that is dropped stays reserved"]
pub struct Reservation<S> {
    bill: BillId,
    tokens: u64,
    state: PhantomData<S>,
}

impl<S> Reservation<S> {
    /// Returns the identity under which the request will be billed.
    pub fn bill(&self) -> BillId {
        self.bill
    }

    /// Returns the reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Reservation<Unsent> {
    /// Marks the request as sent. To be called before it is sent.
    pub fn into_sent(self) -> Reservation<Sent> {
        let Reservation { bill, tokens, .. } = self;
        Reservation { bill, tokens, state: PhantomData }
    }
}

/// A settlement and the budget that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetSettlement {
    /// The full name of the budget.
    pub budget: String,
    /// The settlement.
    pub record: SettleRecord,
}

/// The final amount of a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalBill {
    /// The identity of the bill.
    pub bill: BillId,
    /// The tokens billed.
    pub tokens: u64,
}

#[derive(Debug)]
struct HeldPortion {
    budget: String,
    tokens: u64,
    reserved: u64,
    spent: u64,
    last_bill: u32,
    open_bills: BTreeSet<u32>,
    /// All bills up to this number are final.
    upto: u32,
    /// Tokens of the bills up to `upto`.
    spent_upto: u64,
    /// Final bills beyond `upto`.
    beyond: BTreeMap<u32, u64>,
    last_lent_portion: u32,
    /// Whether a bill became final since the last settlement.
    is_unsettled: bool,
    last_used: Instant,
}

impl HeldPortion {
    fn new(budget: &str, tokens: u64, now: Instant) -> HeldPortion {
        HeldPortion {
            budget: budget.to_owned(),
            tokens,
            reserved: 0,
            spent: 0,
            last_bill: 0,
            open_bills: BTreeSet::new(),
            upto: 0,
            spent_upto: 0,
            beyond: BTreeMap::new(),
            last_lent_portion: 0,
            is_unsettled: false,
            last_used: now,
        }
    }

    fn available(&self) -> u64 {
        self.tokens - self.reserved - self.spent
    }

    fn finish_bill(&mut self, number: u32, tokens: u64) {
        self.open_bills.remove(&number);
        self.beyond.insert(number, tokens);
        while let Some(tokens) = self.beyond.remove(&(self.upto + 1)) {
            self.upto += 1;
            self.spent_upto += tokens;
        }
        self.is_unsettled = true;
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
    /// Tokens reserved for requests in progress.
    pub reserved: u64,
    /// The number of portions.
    pub portions: usize,
}

/// The portions that one router incarnation may spend from.
///
/// Only the holder of a portion decides about it. It gives up spending rights
/// in memory before it records that: lent or returned tokens can no longer be
/// reserved when the record about them is sent.
#[derive(Debug)]
pub struct GrantHolder {
    id: HolderId,
    portions: BTreeMap<PortionId, HeldPortion>,
    closed_portions: BTreeSet<PortionId>,
}

impl GrantHolder {
    /// Creates a holder without portions.
    pub fn new(id: HolderId) -> GrantHolder {
        GrantHolder {
            id,
            portions: BTreeMap::new(),
            closed_portions: BTreeSet::new(),
        }
    }

    /// Returns the identity of this incarnation.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Adds a portion that was read back from the log or lent by a peer.
    ///
    /// Adding it again has no effect, even after the portion was closed: a
    /// reader that restarts from a checkpoint reads old records again.
    pub fn add(
        &mut self,
        portion: PortionId,
        budget: &str,
        tokens: u64,
        now: Instant,
    ) {
        if self.closed_portions.contains(&portion) {
            return;
        }
        let held = || HeldPortion::new(budget, tokens, now);
        self.portions.entry(portion).or_insert_with(held);
    }

    /// Reserves tokens of one portion for a request.
    ///
    /// The portion with the fewest available tokens that suffice is chosen
    /// (best fit), so that small remainders are used up first.
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
        portion.last_bill += 1;
        portion.reserved += tokens;
        portion.open_bills.insert(portion.last_bill);
        portion.last_used = now;
        let bill = BillId::new(id, portion.last_bill);
        Some(Reservation { bill, tokens, state: PhantomData })
    }

    /// Releases the tokens of a request that was not sent.
    pub fn release(&mut self, reservation: Reservation<Unsent>) {
        let bill = reservation.bill;
        self.finish_bill(bill, reservation.tokens, 0);
    }

    /// Bills a request that was sent.
    ///
    /// The bill is capped at the reservation. An upstream that used more has
    /// exceeded the ceiling that it was given and bears the cost.
    pub fn settle(
        &mut self,
        reservation: Reservation<Sent>,
        tokens: u64,
    ) -> FinalBill {
        let bill = reservation.bill;
        let tokens = tokens.min(reservation.tokens);
        self.finish_bill(bill, reservation.tokens, tokens);
        FinalBill { bill, tokens }
    }

    fn finish_bill(&mut self, bill: BillId, reserved: u64, tokens: u64) {
        // A portion with open bills is never closed.
        let portion = self.portions.get_mut(&bill.portion);
        let portion = portion.expect("portion of an open bill");
        portion.reserved -= reserved;
        portion.spent += tokens;
        portion.finish_bill(bill.number, tokens);
    }

    /// Splits a portion off one of this holder's own grants, the one with most
    /// available tokens.
    ///
    /// Borrowed portions are not lent on, so that only the holder of a grant
    /// numbers its portions.
    pub fn lend(
        &mut self,
        budget: &str,
        to: &HolderId,
        min_tokens: u64,
        wanted_tokens: u64,
    ) -> Option<(LendReply, LendRecord)> {
        let mut best: Option<(PortionId, u64)> = None;
        for (id, portion) in &self.portions {
            let available = portion.available();
            let is_lendable = id.number == 0 && portion.budget == budget;
            if !is_lendable || available < min_tokens.max(1) {
                continue;
            }
            if best.is_none_or(|(_, most)| available > most) {
                best = Some((*id, available));
            }
        }
        let (id, available) = best?;
        // Half of the tokens stays here, unless the borrower needs more.
        let tokens = wanted_tokens.min(available / 2).max(min_tokens).max(1);
        let portion = self.portions.get_mut(&id)?;
        portion.tokens -= tokens;
        portion.last_lent_portion += 1;
        let lent = PortionId { number: portion.last_lent_portion, ..id };
        let record = LendRecord { portion: lent, to: to.clone(), tokens };
        Some((LendReply { portion: lent, tokens }, record))
    }

    /// Returns settlements of the portions that have changed since the last
    /// call.
    pub fn take_settlements(&mut self) -> Vec<BudgetSettlement> {
        let mut records = Vec::new();
        for (id, portion) in &mut self.portions {
            if !portion.is_unsettled {
                continue;
            }
            portion.is_unsettled = false;
            records.push(portion.settlement(*id, false));
        }
        records
    }

    /// Closes the portions without open bills for which `should_close` holds,
    /// and returns their last settlements.
    ///
    /// `should_close` gets the budget, the available tokens and the time of
    /// the last reservation. The closed portions are no longer held when this
    /// returns.
    pub fn close_where(
        &mut self,
        mut should_close: impl FnMut(&str, u64, Instant) -> bool,
    ) -> Vec<BudgetSettlement> {
        let mut records = Vec::new();
        let closed_portions = &mut self.closed_portions;
        self.portions.retain(|id, portion| {
            let available = portion.available();
            if !portion.open_bills.is_empty()
                || !should_close(&portion.budget, available, portion.last_used)
            {
                return true;
            }
            records.push(portion.settlement(*id, true));
            closed_portions.insert(*id);
            false
        });
        records
    }

    /// Returns sums over the portions of a budget.
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

    /// Returns the number of portions of all budgets.
    pub fn len(&self) -> usize {
        self.portions.len()
    }

    /// Whether no portion is held.
    pub fn is_empty(&self) -> bool {
        self.portions.is_empty()
    }
}
