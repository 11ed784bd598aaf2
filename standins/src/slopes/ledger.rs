//! Slopes of the folds.

use std::{collections::BTreeMap, time::Instant};

use magnoliahaven::{
    AccountLedger, AccountRecord, ControlLedger, HolderId, PortionId,
    StreamFold,
    budget::{GrantRecord, SettleRecord, TopUpRecord},
    config::{AccountDocument, BudgetDocument, CallClass, Document, hash_key},
    ports::LogRecord,
};

use super::SlopeLine;

/// Numbers of budgets.
const BUDGET_SIZES: [usize; 3] = [2_000, 10_000, 46_000];

/// Budgets of one account.
const ACCOUNT_BUDGETS: usize = 42;

/// Open grants of one budget.
const OPEN_GRANTS: usize = 2;

/// A ledger whose budgets have been topped up, drawn on and settled.
fn ledger(budgets: usize) -> AccountLedger {
    let mut ledger = AccountLedger::new();
    let mut offset = 0;
    let mut push = |record: AccountRecord| {
        let payload = record.encode();
        ledger.apply(&LogRecord { offset, time_ms: offset, payload });
        offset += 1;
        offset - 1
    };
    for number in 0..budgets {
        let account = number / ACCOUNT_BUDGETS;
        let budget = format!("account-{account}/budget-{number}");
        push(AccountRecord::TopUp(TopUpRecord {
            budget: budget.clone(),
            id: format!("payment-{number}"),
            tokens: 10_000_000,
            who: "operator".to_owned(),
        }));
        for router in 0..OPEN_GRANTS {
            let vm = format!("router-{}", (number + router) % 410);
            let grant = push(AccountRecord::Grant(GrantRecord {
                budget: budget.clone(),
                holder: HolderId::new(vm, 1 << 56),
                least: 1,
                want: 50_000,
            }));
            push(AccountRecord::Settle(SettleRecord {
                portion: PortionId::new(0, grant, 0),
                upto: 40,
                spent: 12_000,
                beyond: Vec::new(),
                close: false,
            }));
        }
    }
    ledger
}

fn control(budgets: usize) -> ControlLedger {
    let mut ledger = ControlLedger::new();
    for account in 0..budgets.div_ceil(ACCOUNT_BUDGETS) {
        let mut list = BTreeMap::new();
        for number in 0..ACCOUNT_BUDGETS {
            let key = hash_key(&format!("{account}/{number}"));
            let keys = vec![key];
            let class = CallClass::Check;
            list.insert(
                format!("budget-{number}"),
                BudgetDocument { keys, class },
            );
        }
        let document = AccountDocument { budgets: list, concurrent: 256 };
        let path = format!("account/account-{account}");
        ledger.documents.insert(path, Document::Account(document));
    }
    ledger.next = 1;
    ledger
}

/// Measures what a budget costs in memory, in the log and at the start.
///
/// `allocated` tells how many bytes are allocated at the moment.
pub fn ledger_slopes(
    allocated: impl Fn() -> usize,
    mut take: impl FnMut(&SlopeLine),
) {
    let (mut memory, mut checkpoint, mut start) =
        (Vec::new(), Vec::new(), Vec::new());
    let (mut control_bytes, mut control_ms) = (Vec::new(), Vec::new());
    for size in BUDGET_SIZES {
        let x = size as f64;
        let text = ledger(size).to_checkpoint();
        checkpoint.push((x, text.len() as f64));
        let before = allocated();
        let started = Instant::now();
        let fold = AccountLedger::from_checkpoint(&text);
        start.push((x, started.elapsed().as_secs_f64() * 1e3));
        memory.push((x, (allocated() - before) as f64));
        drop(fold);
        let text = control(size).to_checkpoint();
        control_bytes.push((x, text.len() as f64));
        let started = Instant::now();
        let fold = ControlLedger::from_checkpoint(&text);
        control_ms.push((x, started.elapsed().as_secs_f64() * 1e3));
        drop(fold);
    }
    let over = "budgets with two open grants";
    take(&SlopeLine::new("ledger memory bytes", over, memory));
    take(&SlopeLine::new("ledger checkpoint bytes", over, checkpoint));
    take(&SlopeLine::new("ledger start ms", over, start));
    let over = "declared budgets, 42 to an account";
    take(&SlopeLine::new("control checkpoint bytes", over, control_bytes));
    take(&SlopeLine::new("control start ms", over, control_ms));
}
