//! Notes for the standby, and settling for routers that have died.

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

/// Peers that are tried until one keeps this router's notes.
const STANDBY_TRIES: usize = 2;

/// Longest wait of a request for the standby.
const RELAY_TIME: Duration = Duration::from_millis(50);

/// Time between two looks for routers that have died.
const RECOVER_PERIOD: Duration = Duration::from_millis(500);

impl BudgetKeeper {
    /// Tells the standby that a request is about to leave, and waits
    /// briefly until it knows.
    ///
    /// A request that the standby does not know could not be billed if this
    /// router died. A standby that does not answer delays nobody for long.
    pub async fn relay_open(&self, bill: RelayedBill) {
        let (arrived, waiter) = oneshot::channel();
        let arrived = Some(arrived);
        self.state.borrow_mut().relays.push(PendingRelay { bill, arrived });
        self.relayed.notify_one();
        let _ = monoio::time::timeout(RELAY_TIME, waiter).await;
    }

    /// Tells the standby that a request has ended.
    pub fn relay_end(&self, bill: RelayedBill) {
        let pending = PendingRelay { bill, arrived: None };
        self.state.borrow_mut().relays.push(pending);
        self.relayed.notify_one();
    }

    /// Keeps bills for another router.
    pub fn store_standby_bills(&self, batch: &RelayBatch) {
        self.state.borrow_mut().standby.keep(batch);
    }

    /// Sends notes to the standby for as long as the task lives.
    pub async fn run_relay(self: Rc<Self>) {
        loop {
            self.relayed.notified().await;
            let pending = std::mem::take(&mut self.state.borrow_mut().relays);
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
                // A request that has stopped waiting is under way.
                let _ = waiter.send(());
            }
        }
    }

    /// Routers that may keep this router's notes, those in other failure
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
        peers.truncate(STANDBY_TRIES);
        peers.into_iter().map(|(_, address)| address).collect()
    }

    /// Settles for routers that have died, for as long as the task lives.
    pub async fn run_recovery(
        self: Rc<Self>,
        gone: impl Fn(&HolderId) -> bool,
    ) {
        let ticks = self.ports.timer.subscribe(RECOVER_PERIOD);
        loop {
            ticks.tick().await;
            let bills = {
                let mut state = self.state.borrow_mut();
                state.standby.forget_settled();
                state.standby.take_gone(&gone)
            };
            for bill in bills {
                self.recover(&bill).await;
            }
        }
    }

    /// Whether the log has a bill already, as far as it can be read.
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

    async fn recover(&self, bill: &RelayedBill) {
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
                    // An engine that is gone too has nothing to bill. The
                    // reservation stays with the dead holder's grant.
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
        self.urgent.notify_one();
    }
}
