//! Relaying of unsettled bills to a standby, and settlement for routers that
//! have died.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use super::{BudgetKeeper, PendingRelay};
use crate::{
    domain::{BillId, BudgetName, HolderId},
    ports::{PeerCall, RelayBatch, RelayedBill},
    telemetry::LogEvent,
};

/// Maximum number of peers tried until one stores this router's bills.
const MAX_STANDBY_ATTEMPTS: usize = 2;

/// Maximum time that a request waits for the standby.
const RELAY_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval at which the bills of routers that have died are recovered.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);

impl BudgetKeeper {
    /// Relays the bill of a request that is about to be sent, and waits
    /// briefly until the standby has it.
    ///
    /// Without this, the request could not be billed if this router died. The
    /// wait is short, so that an unresponsive standby hardly delays requests.
    pub async fn relay_open(&self, bill: RelayedBill) {
        let (arrived, waiter) = oneshot::channel();
        let arrived = Some(arrived);
        self.state
            .borrow_mut()
            .pending_relays
            .push(PendingRelay { bill, arrived });
        self.relay_requested.notify_one();
        let _ = monoio::time::timeout(RELAY_TIMEOUT, waiter).await;
    }

    /// Relays the bill of a request that has ended.
    pub fn relay_end(&self, bill: RelayedBill) {
        let pending = PendingRelay { bill, arrived: None };
        self.state.borrow_mut().pending_relays.push(pending);
        self.relay_requested.notify_one();
    }

    /// Stores bills as the standby of another router.
    pub fn store_standby_bills(&self, batch: &RelayBatch) {
        self.state.borrow_mut().standby.store(batch);
    }

    /// Relays pending bills to the standby until the task is dropped.
    pub async fn run_relay(self: Rc<Self>) {
        loop {
            self.relay_requested.notified().await;
            let pending =
                std::mem::take(&mut self.state.borrow_mut().pending_relays);
            if pending.is_empty() {
                continue;
            }
            let mut bills = Vec::with_capacity(pending.len());
            let mut waiters = Vec::new();
            for relay in pending {
                bills.push(relay.bill);
                waiters.extend(relay.arrived);
            }
            let holder = self.id();
            let call = PeerCall::Relay(RelayBatch { holder, bills });
            for peer in self.standby_peers() {
                if self.ports.peers.call(peer, call.clone()).await.is_ok() {
                    break;
                }
            }
            for waiter in waiters {
                // A request that has stopped waiting has been sent anyway.
                let _ = waiter.send(());
            }
        }
    }

    /// Returns the peers that may serve as standby, those in other failure
    /// domains first.
    fn standby_peers(&self) -> Vec<SocketAddr> {
        let directory = &self.ports.directory;
        let ranked = directory.ranked_entry_vms(directory.vm());
        let vms = directory.vms();
        let own = vms.get(directory.vm()).map(|entry| &entry.domain);
        let mut peers = Vec::new();
        for vm in &ranked {
            let Some(entry) = vms.get(vm) else {
                continue;
            };
            let Some(address) = entry.peer_address else {
                continue;
            };
            if vm != directory.vm() {
                peers.push((Some(&entry.domain) == own, address));
            }
        }
        peers.sort_by_key(|(same_domain, _)| *same_domain);
        peers.truncate(MAX_STANDBY_ATTEMPTS);
        peers.into_iter().map(|(_, address)| address).collect()
    }

    /// Settles at intervals for routers that have died, until the task is
    /// dropped.
    pub async fn run_recovery(
        self: Rc<Self>,
        is_dead: impl Fn(&HolderId) -> bool,
    ) {
        let ticks = self.ports.timer.interval(RECOVERY_INTERVAL);
        loop {
            ticks.tick().await;
            let bills = {
                let mut state = self.state.borrow_mut();
                state.standby.remove_expired();
                state.standby.take_dead(&is_dead)
            };
            for bill in bills {
                self.recover_bill(&bill).await;
            }
        }
    }

    /// Whether the log has a bill already; `false` if the log cannot be read
    /// in time.
    async fn is_settled(&self, budget: &BudgetName, bill: BillId) -> bool {
        let account = budget.account();
        self.follow_account(account);
        let deadline = Instant::now() + self.options.claim_timeout;
        if !self.wait_ready(account, deadline).await {
            return false;
        }
        let state = self.state.borrow();
        let followed = state.partitions.get(&self.partition(account));
        let ledger = followed.and_then(|f| f.follower.fold());
        ledger.is_some_and(|ledger| ledger.is_settled(bill))
    }

    async fn recover_bill(&self, bill: &RelayedBill) {
        let Some(budget) = BudgetName::parse(&bill.budget) else {
            return;
        };
        if self.is_settled(&budget, bill.bill).await {
            return;
        }
        let tokens = match bill.tokens {
            Some(tokens) => tokens,
            None => {
                let upstreams = &self.ports.upstreams;
                let id = &bill.request_id;
                match upstreams.cancel(bill.upstream, id).await {
                    Ok(tokens) => tokens,
                    // Without an answer from the upstream, the amount is
                    // unknown. The reserved tokens stay with the grant of the
                    // dead router.
                    Err(_) => return,
                }
            }
        };
        log::info!(
            event:% = LogEvent::BillRecovered,
            request_id = bill.request_id.as_str(),
            account = budget.account(), tokens;
            "bill {} recovered: {tokens} tokens", bill.bill
        );
        self.settle_for_peer(&budget, bill.bill, tokens);
        self.flush_requested.notify_one();
    }
}
