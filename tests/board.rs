//! The shared screen.

use std::{collections::BTreeMap, time::Instant};

use magnoliahaven::{
    ControlLedger,
    config::RevisionInfo,
    ctl::{BoardView, BudgetRow, RouterRow},
    moves::{MoveStartRecord, MoveState, MoveStep},
};

fn started(service: &str, deadline_ms: u64) -> MoveState {
    let start = MoveStartRecord {
        service: service.to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        deadline_ms,
        who: "ana".to_owned(),
    };
    MoveState::new(start, 0)
}

fn view() -> BoardView {
    let mut done = started("chat", 60_000);
    done.step = MoveStep::Done;
    let mut undone = started("stock", 60_000);
    undone.step = MoveStep::Undone;
    undone.reason = "chat/check: 9 of 9 requests failed".to_owned();
    let mut canary = started("notes", 60_000);
    (canary.step, canary.share) = (MoveStep::Canary, 5);
    let mut late = started("drafts", 10_000);
    (late.step, late.share) = (MoveStep::Ramping, 50);
    let moves =
        BTreeMap::from([(1, done), (2, undone), (3, canary), (4, late)]);
    let preset_revision = RevisionInfo {
        number: 7,
        who: "ana".to_owned(),
        why: "market day".to_owned(),
        time_ms: 0,
    };
    let control = ControlLedger {
        preset: "peak".to_owned(),
        preset_revision,
        moves,
        ..ControlLedger::default()
    };
    let row = |budget: &str, spent| BudgetRow {
        budget: budget.to_owned(),
        topped_up: 1_000,
        spent,
        bills: 1,
        held: 0,
        free: 1_000 - spent,
    };
    BoardView {
        control,
        budgets: vec![row("dairy/nurses", 950), row("dairy/herders", 100)],
        routers: vec![RouterRow { vm: "xela-1".to_owned(), status: None }],
        read_at: Some(Instant::now()),
        ..BoardView::default()
    }
}

#[test]
fn the_screen_says_what_operators_need() {
    let text = view().render(20_000);
    for wanted in [
        "LOG OK   read 0 s ago",
        "PRESET  PEAK   (by ana: market day)",
        "chat v1 -> v2   DONE",
        "stock v1 -> v2   UNDONE   (chat/check: 9 of 9 requests failed)",
        "notes v1 -> v2   Canary 5 %, 40 s left",
        "drafts v1 -> v2   UNDONE (deadline)",
        "dairy/nurses                     50 of 1000 left",
        "xela-1           NO ANSWER",
        "LEAVING  none",
    ] {
        assert!(text.contains(wanted), "{wanted:?} is missing in:\n{text}");
    }
    assert!(!text.contains("dairy/herders"));
}

#[test]
fn the_screen_says_that_the_log_is_out() {
    let mut view = view();
    view.fault = Some("log refused the call: the log is out".to_owned());
    let text = view.render(20_000);
    assert!(text.starts_with("LOG OUT  last read 0 s ago"), "{text}");
    assert!(text.contains("PRESET  PEAK"), "what was known stays");
}
