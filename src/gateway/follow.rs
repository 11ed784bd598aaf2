//! Following the declarations, the upstreams and the entry VMs.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::GatewayCore;
use crate::{
    membership::RosterChange,
    ports::{KeyedFault, UpstreamNews},
    telemetry::{DependencyLog, LogEvent},
    timer::TimerService,
};

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time between two reads of the registered upstreams.
const UPSTREAM_PERIOD: Duration = Duration::from_millis(400);

/// The same at a router that callers are not sent to. A leaving upstream has
/// to be known within two seconds there too.
const STANDBY_PERIOD: Duration = Duration::from_millis(1_200);

/// Longest wait of one read of the list of entry VMs.
const VM_LIST_WAIT: Duration = Duration::from_secs(1);

/// Follows the declarations for as long as the task lives.
pub(super) async fn run_catalog(core: Rc<GatewayCore>) {
    let dependency = DependencyLog::new("declarations");
    loop {
        let next = core.ports.catalog.next().await;
        match next {
            Ok(news) => {
                dependency.note_answer();
                for order in news.orders {
                    core.take_order(order);
                }
                if let Some(catalog) = news.catalog {
                    core.take_catalog(catalog);
                    core.refresh_upstreams();
                }
            }
            Err(fault) => {
                dependency.note_fault(&fault);
                core.timer.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Follows the registered upstreams for as long as the task lives.
pub(super) async fn run_upstreams(core: Rc<GatewayCore>) {
    let dependency = DependencyLog::new("upstream list");
    loop {
        let polled = core.ports.upstream_list.poll().await;
        let changed = match polled {
            Ok(news) => {
                dependency.note_answer();
                core.take_upstream_news(news)
            }
            Err(fault) => {
                dependency.note_fault(&fault);
                core.note_upstream_fault(&fault)
            }
        };
        if changed {
            core.refresh_upstreams();
        }
        let reachable = core.keeper.is_healthy();
        core.metrics.store_reachable.set(i64::from(reachable));
        let is_busy = core.in_progress.get() > 0 || core.is_named();
        let period = if is_busy { UPSTREAM_PERIOD } else { STANDBY_PERIOD };
        core.timer.sleep(period).await;
    }
}

/// Follows the entry VMs for as long as the task lives.
pub(super) async fn run_vm_list(core: Rc<GatewayCore>) {
    let dependency = DependencyLog::new("list of entry VMs");
    loop {
        let since = core.directory.version();
        match core.ports.vm_list.watch(since, VM_LIST_WAIT).await {
            Ok(list) => {
                dependency.note_answer();
                if list.version > since {
                    log::info!(
                        event:% = LogEvent::VmListChanged,
                        vms = list.vms.len(), version = list.version;
                        "list of entry VMs changed"
                    );
                    core.directory.update(list);
                    core.refresh_upstreams();
                }
            }
            Err(fault) => {
                dependency.note_fault(&fault);
                core.timer.sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl GatewayCore {
    fn take_upstream_news(&self, news: Vec<UpstreamNews>) -> bool {
        let now = Instant::now();
        let mut roster = self.roster.borrow_mut();
        roster.note_answer(now);
        self.metrics.list_read_at.set((TimerService::now_ms() / 1_000) as i64);
        let gone = roster.expire(now);
        let mut changed = !gone.is_empty();
        for upstream in gone {
            log_gone(&upstream);
        }
        for item in news {
            let shown = format!("{item:?}");
            for change in roster.take(item, now) {
                log_change(&change, &shown, now);
                changed |= matches!(change, RosterChange::Changed { .. });
            }
        }
        let doubted = roster.doubted_count();
        self.metrics.upstreams_doubted.set(doubted as i64);
        changed
    }

    fn note_upstream_fault(&self, fault: &KeyedFault) -> bool {
        log::debug!("upstream list: {fault}");
        let now = Instant::now();
        let mut roster = self.roster.borrow_mut();
        roster.note_fault(now);
        false
    }
}

fn log_gone(upstream: &str) {
    log::info!(
        event:% = LogEvent::UpstreamGone, upstream;
        "upstream did not come back"
    );
}

/// Writes the line of a change; `news` is what the registry told.
fn log_change(change: &RosterChange, news: &str, now: Instant) {
    match change {
        RosterChange::Changed { .. } => log::info!(
            event:% = LogEvent::UpstreamChanged, change = news;
            "upstream list changed: {news}"
        ),
        RosterChange::Doubted { id, until } => log::info!(
            event:% = LogEvent::UpstreamDoubted,
            upstream = id.as_str(),
            for_ms = until.saturating_duration_since(now).as_millis() as u64;
            "upstream is not registered any more and may come back"
        ),
        RosterChange::Outdated { id, started_ms, sequence } => log::info!(
            event:% = LogEvent::RegistrationOutdated,
            upstream = id.as_str(),
            known_started_ms = *started_ms,
            known_sequence = *sequence;
            "an older registration was passed over: {news}"
        ),
    }
}
