//! The state of an account partition, record by record.

use std::collections::BTreeMap;

use magnoliahaven::{
    AccountLedger, AccountRecord, HolderId, PortionId, StreamFold,
    budget::{
        CallOutcome, GrantRecord, IntentRecord, KEY_LIFETIME_MS, LendRecord,
        OutcomeRecord, SettleRecord, TopUpRecord,
    },
    ports::LogRecord,
};

const BUDGET: &str = "dairy/nurses";

fn apply(ledger: &mut AccountLedger, time_ms: u64, record: AccountRecord) {
    let payload = record.encode();
    let offset = ledger.next;
    ledger.apply(&LogRecord { offset, time_ms, payload });
    assert!(ledger.is_balanced());
}

fn top_up(id: &str, tokens: u64) -> AccountRecord {
    AccountRecord::TopUp(TopUpRecord {
        budget: BUDGET.to_owned(),
        id: id.to_owned(),
        tokens,
        who: "ana".to_owned(),
    })
}

fn grant(vm: &str, want: u64) -> AccountRecord {
    AccountRecord::Grant(GrantRecord {
        budget: BUDGET.to_owned(),
        holder: HolderId::new(vm, 1),
        least: 1,
        want,
    })
}

/// Borrowed tokens are listed under the borrower. If they were listed under
/// the lender, routers that need them would ask the wrong one and could not
/// get them until the borrower gives them back as idle.
#[test]
fn borrowed_tokens_are_listed_under_the_borrower() {
    let mut ledger = AccountLedger::new();
    apply(&mut ledger, 0, top_up("a", 1_000));
    apply(&mut ledger, 1, grant("vm-1", 200));
    let lend = AccountRecord::Lend(LendRecord {
        portion: PortionId::new(0, 1, 1),
        to: HolderId::new("vm-2", 1),
        tokens: 150,
    });
    apply(&mut ledger, 2, lend);
    let holders = ledger.holders(BUDGET);
    assert_eq!(holders, BTreeMap::from([("vm-1", 50), ("vm-2", 150)]));
}

#[test]
fn a_repeated_top_up_adds_nothing() {
    let mut ledger = AccountLedger::new();
    apply(&mut ledger, 0, top_up("a", 100));
    apply(&mut ledger, 1, top_up("a", 100));
    apply(&mut ledger, 2, top_up("b", 50));
    assert_eq!(ledger.budgets[BUDGET].topped_up, 150);
}

#[test]
fn a_grant_beyond_the_balance_is_void() {
    let mut ledger = AccountLedger::new();
    apply(&mut ledger, 0, grant("vm-1", 10));
    apply(&mut ledger, 1, top_up("a", 100));
    apply(&mut ledger, 2, grant("vm-1", 1_000_000));
    assert_eq!(ledger.held(BUDGET), 25, "a quarter of what is free");
    assert_eq!(ledger.grants.len(), 1);
}

#[test]
fn a_settlement_beyond_its_portion_is_refused() {
    let mut ledger = AccountLedger::new();
    apply(&mut ledger, 0, top_up("a", 400));
    apply(&mut ledger, 1, grant("vm-1", 100));
    let settle = |spent| {
        AccountRecord::Settle(SettleRecord {
            portion: PortionId::new(0, 1, 0),
            upto: 1,
            spent,
            beyond: Vec::new(),
            close: false,
        })
    };
    apply(&mut ledger, 2, settle(101));
    assert_eq!((ledger.refused, ledger.budgets[BUDGET].spent), (1, 0));
    apply(&mut ledger, 3, settle(100));
    apply(&mut ledger, 4, settle(100));
    assert_eq!(ledger.budgets[BUDGET].spent, 100);
    assert_eq!(ledger.budgets[BUDGET].bills, 1);
}

#[test]
fn an_unknown_record_is_skipped() {
    let mut ledger = AccountLedger::new();
    let payload = "{\"later\":{}}".to_owned();
    ledger.apply(&LogRecord { offset: 0, time_ms: 0, payload });
    assert_eq!((ledger.next, ledger.refused), (1, 1));
}

fn intent(vm: &str) -> AccountRecord {
    AccountRecord::Intent(IntentRecord {
        key: "dairy/k".to_owned(),
        holder: HolderId::new(vm, 1),
        attempt: 1,
        fingerprint: 7,
    })
}

fn outcome(vm: &str, outcome: CallOutcome) -> AccountRecord {
    AccountRecord::Outcome(OutcomeRecord {
        key: "dairy/k".to_owned(),
        holder: HolderId::new(vm, 1),
        attempt: 1,
        outcome,
    })
}

#[test]
fn the_first_intent_wins_until_it_expires() {
    let mut ledger = AccountLedger::new();
    apply(&mut ledger, 1, intent("vm-1"));
    apply(&mut ledger, 2, intent("vm-2"));
    apply(&mut ledger, 3, outcome("vm-2", CallOutcome::NotRun));
    assert_eq!(ledger.intents["dairy/k"].holder.vm, "vm-1");
    apply(&mut ledger, 4, outcome("vm-1", CallOutcome::Unknown));
    let known = ledger.intents["dairy/k"].outcome.clone();
    assert_eq!(known, Some(CallOutcome::Unknown));
    apply(&mut ledger, KEY_LIFETIME_MS + 2, top_up("a", 1));
    assert!(ledger.intents.is_empty());
}

#[test]
fn a_call_that_did_not_run_frees_its_key() {
    let mut ledger = AccountLedger::new();
    apply(&mut ledger, 1, intent("vm-1"));
    apply(&mut ledger, 2, outcome("vm-1", CallOutcome::NotRun));
    apply(&mut ledger, 3, intent("vm-2"));
    assert_eq!(ledger.intents["dairy/k"].holder.vm, "vm-2");
}
