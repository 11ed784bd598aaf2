//! The operators' shared screen.
//!
//! A text screen was chosen over a page served by the routers, because it
//! needs no browser, no further parser and no router that is alive. It is
//! readable from across a room in a terminal with a large font.

use std::time::{Duration, Instant};

use super::{BudgetRow, CtlClient, CtlFault, RouterRow};
use crate::{
    config::ControlLedger,
    moves::{MoveState, MoveStep},
    ports::{VmList, VmState},
    timer::TimerService,
};

/// A budget with less than this part left is near its end, in percent.
const LOW_PERCENT: u64 = 10;

/// Moves that are shown.
const SHOWN_MOVES: usize = 6;

/// Budgets that are shown.
const SHOWN_BUDGETS: usize = 8;

/// What the screen shows.
#[derive(Clone, Debug, Default)]
pub struct BoardView {
    /// The state of the control stream.
    pub control: ControlLedger,
    /// The balances.
    pub budgets: Vec<BudgetRow>,
    /// The platform's list of VMs.
    pub vms: VmList,
    /// What the routers say of themselves.
    pub routers: Vec<RouterRow>,
    /// When the log was read last.
    pub read_at: Option<Instant>,
    /// Why the log could not be read now.
    pub fault: Option<String>,
}

impl BoardView {
    /// Creates an empty screen.
    pub fn new() -> BoardView {
        BoardView::default()
    }

    /// Reads everything anew.
    ///
    /// With the log out the last state stays, and the routers tell what
    /// they know.
    pub async fn refresh(&mut self, client: &CtlClient) {
        match read_log(client).await {
            Ok((control, budgets, vms)) => {
                self.control = control;
                self.budgets = budgets;
                self.vms = vms;
                self.read_at = Some(Instant::now());
                self.fault = None;
            }
            Err(fault) => self.fault = Some(fault.to_string()),
        }
        self.routers = client.routers_of(&self.vms).await;
    }

    /// The screen as text.
    pub fn render(&self, now_ms: u64) -> String {
        let mut lines = vec![self.render_age()];
        let control = &self.control;
        let preset = &control.preset_revision;
        lines.push(format!(
            "PRESET  {}   (by {}: {})",
            control.preset.to_uppercase(),
            preset.who,
            preset.why,
        ));
        lines.push(String::new());
        lines.push("MOVES".to_owned());
        let moves = control.moves.iter().rev().take(SHOWN_MOVES);
        let before = lines.len();
        for (_, known) in moves {
            lines.push(render_move(known, now_ms));
        }
        if lines.len() == before {
            lines.push("  none".to_owned());
        }
        lines.push(String::new());
        lines.push("BUDGETS NEAR THEIR END".to_owned());
        lines.extend(self.render_budgets());
        lines.push(String::new());
        lines.push("ROUTERS".to_owned());
        lines.extend(self.render_routers());
        lines.push(String::new());
        lines.push(format!("LEAVING  {}", self.leaving().join(", ")));
        lines.join("\n") + "\n"
    }

    fn render_age(&self) -> String {
        let age = match self.read_at {
            None => "never".to_owned(),
            Some(at) => format!("{} s ago", at.elapsed().as_secs()),
        };
        match &self.fault {
            None => format!("LOG OK   read {age}"),
            Some(fault) => format!("LOG OUT  last read {age}: {fault}"),
        }
    }

    fn render_budgets(&self) -> Vec<String> {
        let mut low: Vec<&BudgetRow> = Vec::new();
        for row in &self.budgets {
            let left = row.topped_up.saturating_sub(row.spent);
            if row.topped_up > 0 && left * 100 < row.topped_up * LOW_PERCENT {
                low.push(row);
            }
        }
        low.sort_by_key(|row| row.topped_up - row.spent);
        let mut lines = Vec::new();
        for row in low.iter().take(SHOWN_BUDGETS) {
            let left = row.topped_up - row.spent;
            lines.push(format!(
                "  {:<32} {left} of {} left",
                row.budget, row.topped_up,
            ));
        }
        if lines.is_empty() {
            lines.push("  none".to_owned());
        }
        lines
    }

    fn render_routers(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for row in &self.routers {
            if row.status.is_none() {
                lines.push(format!("  {:<16} NO ANSWER", row.vm));
                continue;
            }
            lines.push(format!(
                "  {:<16} revision {}  preset {}  ready {}  log {}",
                row.vm,
                row.revision().unwrap_or(0),
                row.field("preset"),
                row.field("ready"),
                row.field("log_reachable"),
            ));
        }
        lines
    }

    fn leaving(&self) -> Vec<String> {
        let mut leaving = Vec::new();
        for (vm, entry) in &self.vms.vms {
            if entry.state == VmState::Leaving {
                leaving.push(vm.clone());
            }
        }
        for row in &self.routers {
            if row.field("leaving") == "true" && !leaving.contains(&row.vm) {
                leaving.push(row.vm.clone());
            }
        }
        if leaving.is_empty() {
            leaving.push("none".to_owned());
        }
        leaving
    }
}

fn render_move(known: &MoveState, now_ms: u64) -> String {
    let late = known.is_active() && now_ms >= known.start.deadline_ms;
    let verdict = match known.step {
        MoveStep::Done => "DONE".to_owned(),
        MoveStep::Undone => "UNDONE".to_owned(),
        // Every router counts such a move as undone by its own clock.
        _ if late => "UNDONE (deadline)".to_owned(),
        step => format!("{step:?} {} %", known.share_at(now_ms)),
    };
    let left_ms = known.start.deadline_ms.saturating_sub(now_ms);
    let left = match known.is_active() && !late {
        true => format!(", {} s left", left_ms / 1_000),
        false => String::new(),
    };
    format!(
        "  {} {} -> {}   {verdict}{left}   ({})",
        known.start.service, known.start.from, known.start.to, known.reason,
    )
}

type LogState = (ControlLedger, Vec<BudgetRow>, VmList);

async fn read_log(client: &CtlClient) -> Result<LogState, CtlFault> {
    let control = client.control().await?;
    let budgets = client.budgets(None).await?;
    let vms = client.vms().await?;
    Ok((control, budgets, vms))
}

/// Shows the screen again and again, or once.
pub async fn run_board(client: &CtlClient, period: Option<Duration>) {
    /// Clears the terminal and goes to its first line.
    const CLEAR: &str = "\x1b[2J\x1b[H";
    let mut view = BoardView::new();
    loop {
        view.refresh(client).await;
        let text = view.render(TimerService::now_ms());
        let Some(period) = period else {
            print!("{text}");
            return;
        };
        print!("{CLEAR}{text}");
        monoio::time::sleep(period).await;
    }
}
