//! Obtains tokens for requests: from this router's portions, from the log or
//! from peers.

use std::time::{Duration, Instant};

use super::{
    super::{
        AccountLedger, AccountRecord, DemandEstimator, GrantRecord,
        LendRecord, Reservation, Unsent,
    },
    BudgetKeeper, BudgetPorts, KeeperState, POLL_INTERVAL,
};
use crate::{
    domain::BudgetName,
    error::{CallError, ErrorKind},
    ports::{LendReply, LendRequest, PeerAnswer, PeerCall},
};

/// A waiting reservation asks peers once in so many rounds.
const ROUNDS_PER_BORROW: u32 = 4;

/// Rounds that a reservation waits for a requested grant before it asks peers.
const GRANT_WAIT_ROUNDS: u32 = 2;

/// Maximum number of peers asked for tokens in one round.
const MAX_LENDERS: usize = 3;

/// Minimum time after which a grant that has not arrived is requested again.
const GRANT_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Grants cover at least so many requests of the size of the waiting one.
const MIN_GRANT_REQUESTS: u64 = 4;

/// The number of home VMs of an account: the first of its ranked entry VMs,
/// which hold grants before the first request.
const HOME_VM_COUNT: usize = 2;

/// A home VM requests a budget's free tokens divided by this ahead of demand.
const PREWARM_DIVISOR: u64 = 16;

/// Maximum number of tokens that a home VM requests ahead of demand.
const MAX_PREWARM_TOKENS: u64 = 50_000;

/// How to obtain tokens that no portion of this router can provide.
enum AcquirePlan {
    /// A grant has been requested. If it does not arrive soon, the log may be
    /// unreachable although no call has failed yet. Then ask these VMs, which
    /// hold tokens.
    AwaitGrant(Vec<String>),
    /// Ask these VMs, which hold tokens of the budget.
    AskHolders(Vec<String>),
    /// The partition was not read yet, so ask the account's home VMs, which
    /// most likely hold tokens.
    AskHomes,
}

impl BudgetKeeper {
    /// Reserves tokens of a budget for a request.
    ///
    /// If a portion of this router suffices, the call returns without waiting.
    /// Otherwise it requests a grant from the log and, if that does not help,
    /// asks the peers that hold tokens.
    ///
    /// # Errors
    ///
    /// `BudgetExhausted` if the budget cannot cover `tokens`,
    /// `BudgetUnavailable` if spending rights did not arrive in time.
    pub async fn reserve(
        &self,
        budget: &BudgetName,
        tokens: u64,
    ) -> Result<Reservation<Unsent>, CallError> {
        let deadline = Instant::now() + self.options.reserve_timeout;
        let mut rounds = 0;
        loop {
            if let Some(reservation) = self.try_reserve(budget, tokens) {
                return Ok(reservation);
            }
            self.follow_account(budget.account());
            let call_done = self.log_call_done.notified();
            if self.acquire(budget, tokens, rounds).await? {
                continue;
            }
            if Instant::now() >= deadline {
                return Err(self.unavailable(budget));
            }
            rounds += 1;
            let _ = monoio::time::timeout(POLL_INTERVAL, call_done).await;
        }
    }

    fn try_reserve(
        &self,
        budget: &BudgetName,
        tokens: u64,
    ) -> Option<Reservation<Unsent>> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let name = budget.as_str();
        let reservation = state.holder.reserve(name, tokens, now)?;
        let horizon = self.options.grant_horizon;
        let demand = state.demand.entry(name.to_owned());
        let demand =
            demand.or_insert_with(|| DemandEstimator::new(horizon, now));
        demand.record(tokens, now);
        let target = demand.target(now);
        if state.holder.totals(name).available < target / 2 {
            self.request_grant(state, budget, tokens, target);
        }
        Some(reservation)
    }

    /// Requests a grant and flushes the request at once, because a call waits
    /// for it.
    fn request_grant_now(
        &self,
        state: &mut KeeperState,
        budget: &BudgetName,
        least: u64,
        want: u64,
    ) {
        self.request_grant(state, budget, least, want);
        self.flush_requested.notify_one();
    }

    /// Queues a grant record, unless one is pending.
    ///
    /// The record is appended with the next settlement. That is early enough,
    /// as grants are requested while half of the horizon's demand is left, and
    /// a separate append for each budget would overload the log.
    fn request_grant(
        &self,
        state: &mut KeeperState,
        budget: &BudgetName,
        least: u64,
        want: u64,
    ) {
        let now = Instant::now();
        let retry = GRANT_RETRY_DELAY.max(self.options.settle_interval * 2);
        let requested_at = state.requested_grants.get(budget.as_str());
        let is_pending = requested_at.is_some_and(|at| now - *at < retry);
        if is_pending || self.is_draining.get() {
            return;
        }
        state.requested_grants.insert(budget.as_str().to_owned(), now);
        let record = AccountRecord::Grant(GrantRecord {
            budget: budget.as_str().to_owned(),
            holder: state.holder.id().clone(),
            least,
            want: want.max(least),
        });
        state.outbox.push(self.partition(budget.account()), record);
    }

    /// Tries to obtain `tokens`; returns `true` if the reservation should be
    /// tried again at once.
    async fn acquire(
        &self,
        budget: &BudgetName,
        tokens: u64,
        round: u32,
    ) -> Result<bool, CallError> {
        let (lenders, wait_rounds) = match self.plan(budget, tokens)? {
            AcquirePlan::AwaitGrant(lenders) => (lenders, GRANT_WAIT_ROUNDS),
            AcquirePlan::AskHolders(lenders) => (lenders, 0),
            AcquirePlan::AskHomes => (self.home_peers(budget), 0),
        };
        if round < wait_rounds
            || !(round - wait_rounds).is_multiple_of(ROUNDS_PER_BORROW)
        {
            return Ok(false);
        }
        Ok(self.borrow(budget, tokens, &lenders).await)
    }

    /// Decides how to obtain `tokens`. Requests a grant if the budget has free
    /// tokens, or else gives unused portions back.
    fn plan(
        &self,
        budget: &BudgetName,
        tokens: u64,
    ) -> Result<AcquirePlan, CallError> {
        let name = budget.as_str();
        let partition = self.partition(budget.account());
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let followed = state.partitions.get(&partition);
        let ready_partition = followed.filter(|f| f.follower.is_ready());
        let Some(ledger) = ready_partition.and_then(|f| f.follower.fold())
        else {
            return Ok(AcquirePlan::AskHomes);
        };
        let free = ledger.budgets.get(name).map_or(0, |known| known.free);
        let left = free + ledger.held(name);
        let lenders = lenders_of(ledger, budget, &self.ports);
        let is_reachable = self.is_log_reachable();
        if free >= tokens && is_reachable {
            let want = demand_size(state, name, tokens);
            self.request_grant_now(state, budget, tokens, want);
            return Ok(AcquirePlan::AwaitGrant(lenders));
        }
        // While the log is unreachable, the balance may be stale and does not
        // prove that the budget is exhausted.
        if is_reachable && left < tokens {
            return Err(exhausted(budget, tokens, left));
        }
        if is_reachable {
            self.return_unused(state, budget);
        }
        Ok(AcquirePlan::AskHolders(lenders))
    }

    /// Returns the other VMs that most likely hold grants of a budget, if its
    /// ledger is not known.
    fn home_peers(&self, budget: &BudgetName) -> Vec<String> {
        let directory = &self.ports.directory;
        let mut peers = directory.ranked_entry_vms(budget.account());
        peers.retain(|vm| vm != directory.vm());
        peers.truncate(MAX_LENDERS);
        peers
    }

    /// Asks peers one after another for tokens.
    async fn borrow(
        &self,
        budget: &BudgetName,
        tokens: u64,
        lenders: &[String],
    ) -> bool {
        let request = LendRequest {
            budget: budget.as_str().to_owned(),
            to: self.id(),
            min_tokens: tokens,
            wanted_tokens: self.demand_size(budget, tokens),
            // Loans of grants need no number. They are recorded in the log,
            // which also reports a loan whose answer was lost.
            loan: 0,
        };
        for vm in lenders {
            let Some(peer) = self.ports.directory.peer_address(vm) else {
                continue;
            };
            let call = PeerCall::Lend(request.clone());
            let reply = self.ports.peers.call(peer, call).await;
            let Ok(PeerAnswer::Lent(Some(reply))) = reply else {
                continue;
            };
            self.add_loan(budget, &reply);
            return true;
        }
        false
    }

    /// Creates the error of a reservation that timed out, with the balance of
    /// the budget.
    fn unavailable(&self, budget: &BudgetName) -> CallError {
        let state = self.state.borrow();
        let followed = state.partitions.get(&self.partition(budget.account()));
        let ledger = followed.and_then(|f| f.follower.fold());
        let known = ledger.and_then(|l| l.budgets.get(budget.as_str()));
        let free = known.map_or(0, |known| known.free);
        let held = ledger.map_or(0, |l| l.held(budget.as_str()));
        let held_here = state.holder.totals(budget.as_str());
        let reachable = self.is_log_reachable();
        let message = format!(
            "no spending rights for {budget} arrived in time: {free} tokens \
             free, {held} held by routers, {} of them here, log reachable: \
             {reachable}",
            held_here.available,
        );
        CallError::new(ErrorKind::BudgetUnavailable, message)
    }

    fn demand_size(&self, budget: &BudgetName, tokens: u64) -> u64 {
        let mut state = self.state.borrow_mut();
        demand_size(&mut state, budget.as_str(), tokens)
    }

    /// Adds a portion lent by a peer and records the loan. The lender records
    /// it too.
    fn add_loan(&self, budget: &BudgetName, reply: &LendReply) {
        let mut state = self.state.borrow_mut();
        let to = state.holder.id().clone();
        let now = Instant::now();
        let name = budget.as_str();
        state.holder.add(reply.portion, name, reply.tokens, now);
        let record = AccountRecord::Lend(LendRecord {
            portion: reply.portion,
            to,
            tokens: reply.tokens,
        });
        state.outbox.push(self.partition(budget.account()), record);
    }

    /// Gives back this router's unused portions of a budget, so that their
    /// tokens can be merged into one grant.
    fn return_unused(&self, state: &mut KeeperState, budget: &BudgetName) {
        let name = budget.as_str();
        let closed =
            state.holder.close_where(|held, free, _| held == name && free > 0);
        if closed.is_empty() {
            return;
        }
        let partition = self.partition(budget.account());
        for settlement in closed {
            let record = AccountRecord::Settle(settlement.record);
            state.outbox.push(partition, record);
        }
        self.flush_requested.notify_one();
    }

    /// Lends tokens to a peer, if a portion has enough.
    ///
    /// A router that can reach the log also requests further grants, for peers
    /// that cannot. If the budget has too few free tokens for that and no
    /// portion here has enough, the router gives its unused portions back, so
    /// that they can be merged into one grant.
    pub fn lend(&self, request: &LendRequest) -> Option<LendReply> {
        let budget = BudgetName::parse(&request.budget)?;
        let partition = self.partition(budget.account());
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let name = budget.as_str();
        let LendRequest { to, min_tokens, wanted_tokens, .. } = request;
        let lent = state.holder.lend(name, to, *min_tokens, *wanted_tokens);
        let left = state.holder.totals(name).available;
        if left < *wanted_tokens && self.is_log_reachable() {
            let followed = state.partitions.get(&partition);
            let ledger = followed.and_then(|f| f.follower.fold());
            let known = ledger.and_then(|ledger| ledger.budgets.get(name));
            let free = known.map_or(0, |known| known.free);
            if free >= *min_tokens {
                let want = wanted_tokens.saturating_mul(MIN_GRANT_REQUESTS);
                self.request_grant_now(state, &budget, *min_tokens, want);
            } else if lent.is_none() {
                self.return_unused(state, &budget);
            }
        }
        let (reply, record) = lent?;
        state.outbox.push(partition, AccountRecord::Lend(record));
        Some(reply)
    }

    /// Requests first grants for the budgets of accounts that have this VM as
    /// a home VM, so that their first request finds one.
    pub fn prewarm(&self, budgets: &[BudgetName]) {
        for budget in budgets {
            let directory = &self.ports.directory;
            let mut home = directory.ranked_entry_vms(budget.account());
            home.truncate(HOME_VM_COUNT);
            if !home.iter().any(|vm| vm == directory.vm()) {
                continue;
            }
            self.follow_account(budget.account());
            self.prewarm_budget(budget);
        }
    }

    fn prewarm_budget(&self, budget: &BudgetName) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let name = budget.as_str();
        if state.prewarmed.contains(name) {
            return;
        }
        let partition = self.partition(budget.account());
        let followed = state.partitions.get(&partition);
        let Some(ledger) = followed.and_then(|f| f.follower.fold()) else {
            return;
        };
        let free = ledger.budgets.get(name).map_or(0, |known| known.free);
        let want = (free / PREWARM_DIVISOR).min(MAX_PREWARM_TOKENS);
        if want == 0 {
            return;
        }
        state.prewarmed.insert(name.to_owned());
        if state.holder.totals(name).available == 0 {
            self.request_grant_now(state, budget, 1, want);
        }
    }
}

/// Returns the tokens that cover the expected demand of a budget.
fn demand_size(state: &mut KeeperState, budget: &str, tokens: u64) -> u64 {
    let demand = state.demand.get_mut(budget);
    let target = demand.map_or(0, |demand| demand.target(Instant::now()));
    target.max(tokens.saturating_mul(MIN_GRANT_REQUESTS))
}

/// Returns the other VMs that hold tokens of a budget, those with most first.
fn lenders_of(
    ledger: &AccountLedger,
    budget: &BudgetName,
    ports: &BudgetPorts,
) -> Vec<String> {
    let mut remainders = ledger.holders(budget.as_str());
    remainders.remove(ports.directory.vm());
    let mut ranked: Vec<(u64, &str)> =
        remainders.into_iter().map(|(vm, tokens)| (tokens, vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(MAX_LENDERS);
    ranked.into_iter().map(|(_, vm)| vm.to_owned()).collect()
}

fn exhausted(budget: &BudgetName, tokens: u64, left: u64) -> CallError {
    let message = format!(
        "budget {budget} has {left} tokens left, the request may need {tokens}"
    );
    CallError::new(ErrorKind::BudgetExhausted, message)
}
