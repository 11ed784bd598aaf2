//! Tells other routers what this one has taken out of accounts.
//!
//! The store may come back from an outage without its newest records. What
//! this router has taken is then known to others only if it tells them in
//! time: it may die, freeze or be cut off before it writes its records again.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom;

use super::GatewayCore;
use crate::{
    ports::{PeerAnswer, PeerCall},
    runtime::spawn,
};

/// Interval between checks whether the store can be reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two reports while the store cannot be reached.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between attempts to ask another router after the start.
const ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Time in a new era after which another router is asked.
const ERA_ASK_DELAY: Duration = Duration::from_millis(1_000);

/// Longest time in which another router is asked for records. After the start
/// no tokens are claimed before.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks for the records of this VM once, then reports them to others while
/// the store cannot be reached. Never returns.
pub(super) async fn run_witness(core: Rc<GatewayCore>) {
    ask_others(&core).await;
    core.keeper.allow_claims();
    let mut known_era = core.ports.topics.era();
    let mut reported_at: Option<Instant> = None;
    loop {
        core.timer.sleep(CHECK_INTERVAL).await;
        let era = core.ports.topics.era();
        if era > known_era {
            known_era = era;
            spawn("era_question", ask_in_new_era(core.clone()));
        }
        if core.keeper.is_topic_reachable() {
            reported_at = None;
            continue;
        }
        if reported_at.is_some_and(|at| at.elapsed() < REPORT_INTERVAL) {
            continue;
        }
        reported_at = Some(Instant::now());
        report(&core);
    }
}

/// Asks another router which records may be lost, once it has had time to
/// read which ones were written again.
///
/// A standby reads no records, and takes over from a router that fails.
async fn ask_in_new_era(core: Rc<GatewayCore>) {
    core.timer.sleep(ERA_ASK_DELAY).await;
    ask_others(&core).await;
}

/// Asks routers that serve callers until one has answered, for some time.
async fn ask_others(core: &Rc<GatewayCore>) {
    let deadline = Instant::now() + ASK_TIMEOUT;
    while Instant::now() < deadline {
        core.timer.sleep(ASK_INTERVAL).await;
        let routers = core.serving_routers();
        let others = routers.iter().filter(|vm| **vm != core.id.vm);
        let chosen = others.choose(&mut rand::rng());
        let address = chosen.and_then(|vm| core.directory.peer_address(vm));
        let Some(peer) = address else {
            continue;
        };
        let report = core.keeper.report();
        let call = PeerCall::Allowances(report);
        let answer = core.ports.peers.call(peer, call).await;
        if let Ok(PeerAnswer::Allowances(records)) = answer {
            core.keeper.learn(&records);
            return;
        }
    }
}

/// Sends the records of this router to all that serve callers.
fn report(core: &Rc<GatewayCore>) {
    let report = core.keeper.report();
    if report.records.is_empty() {
        return;
    }
    for vm in core.serving_routers() {
        let address = core.directory.peer_address(&vm);
        let Some(peer) = address.filter(|_| vm != core.id.vm) else {
            continue;
        };
        let (core, report) = (core.clone(), report.clone());
        spawn("allowance_report", async move {
            let call = PeerCall::Allowances(report);
            // The next report holds the same records and more.
            let _ = core.ports.peers.call(peer, call).await;
        });
    }
}
