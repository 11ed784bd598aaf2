//! Obtaining spending rights for requests.

use std::time::{Duration, Instant};

use super::{
    super::{
        AccountLedger, AccountRecord, DemandEstimator, GrantRecord,
        LendRecord, Reservation, Unsent,
    },
    BudgetKeeper, BudgetPorts, KeeperState, RESERVE_POLL,
};
use crate::{
    domain::BudgetName,
    error::{CallError, ErrorKind},
    ports::{LendReply, LendRequest, PeerAnswer, PeerCall},
};

/// Looks of a waiting reservation between two that ask peers.
const BORROW_EVERY: u32 = 4;

/// Looks of a waiting reservation until a missing grant counts as late.
const AWAIT_ROUNDS: u32 = 2;

/// Peers that one round asks for tokens.
const BORROW_PEERS: usize = 3;

/// A grant that was asked for is asked for again after this time.
const GRANT_RETRY: Duration = Duration::from_secs(5);

/// Requests that the first grant of a budget covers.
const COLD_REQUESTS: u64 = 4;

/// Entry VMs that hold grants of an account before its first request.
const HOME_VMS: usize = 2;

/// Part of a budget's free tokens that a home VM asks for ahead of demand.
const PREWARM_DIVISOR: u64 = 16;

/// Most tokens that a home VM asks for ahead of demand.
const PREWARM_TOKENS: u64 = 50_000;

/// How to obtain tokens that no portion of this router can give.
enum AcquirePlan {
    /// A grant has been asked for. If it does not come back soon, the log
    /// may be cut off without a sign, and these VMs hold tokens.
    AwaitGrant(Vec<String>),
    /// These VMs hold tokens of the budget.
    AskHolders(Vec<String>),
    /// Nothing is known; the account's home VMs are the best guess.
    AskHomes,
}

impl BudgetKeeper {
    /// Sets tokens of a budget aside for a request.
    ///
    /// With a grant at hand the call does not wait. Otherwise it asks the
    /// log and, if that does not help, the peers that hold tokens.
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
            let changed = self.changed.notified();
            if self.acquire(budget, tokens, rounds).await? {
                continue;
            }
            if Instant::now() >= deadline {
                return Err(self.unavailable(budget));
            }
            rounds += 1;
            let _ = monoio::time::timeout(RESERVE_POLL, changed).await;
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
        let sizer = state.sizers.entry(name.to_owned());
        let sizer =
            sizer.or_insert_with(|| DemandEstimator::new(horizon, now));
        sizer.record(tokens, now);
        let target = sizer.target(now);
        if state.holder.totals(name).available < target / 2 {
            self.ask(state, budget, tokens, target);
        }
        Some(reservation)
    }

    /// Asks for a grant at once, because a request waits for it.
    fn ask_now(
        &self,
        state: &mut KeeperState,
        budget: &BudgetName,
        least: u64,
        want: u64,
    ) {
        self.ask(state, budget, least, want);
        self.urgent.notify_one();
    }

    /// Queues a grant record, unless one is on its way.
    ///
    /// It leaves with the next settlement. Half of the horizon's demand is
    /// left then, and an append of its own for each budget would be far
    /// more than the log takes.
    fn ask(
        &self,
        state: &mut KeeperState,
        budget: &BudgetName,
        least: u64,
        want: u64,
    ) {
        let now = Instant::now();
        let retry = GRANT_RETRY.max(self.options.settle_interval * 2);
        let asked = state.asked.get(budget.as_str());
        let pending = asked.is_some_and(|at| now - *at < retry);
        if pending || self.leaving.get() {
            return;
        }
        state.asked.insert(budget.as_str().to_owned(), now);
        let record = AccountRecord::Grant(GrantRecord {
            budget: budget.as_str().to_owned(),
            holder: state.holder.id().clone(),
            least,
            want: want.max(least),
        });
        state.outbox.push(self.partition(budget.account()), record);
    }

    /// Tries to obtain `tokens`; `true` if a new attempt makes sense now.
    async fn acquire(
        &self,
        budget: &BudgetName,
        tokens: u64,
        round: u32,
    ) -> Result<bool, CallError> {
        let (lenders, first) = match self.plan(budget, tokens)? {
            AcquirePlan::AwaitGrant(lenders) => (lenders, AWAIT_ROUNDS),
            AcquirePlan::AskHolders(lenders) => (lenders, 0),
            AcquirePlan::AskHomes => (self.home_peers(budget), 0),
        };
        if round < first || !(round - first).is_multiple_of(BORROW_EVERY) {
            return Ok(false);
        }
        Ok(self.borrow(budget, tokens, &lenders).await)
    }

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
        let ready = followed.filter(|f| f.follower.is_ready());
        let Some(ledger) = ready.and_then(|f| f.follower.fold()) else {
            return Ok(AcquirePlan::AskHomes);
        };
        let free = ledger.budgets.get(name).map_or(0, |known| known.free);
        let left = free + ledger.held(name);
        let lenders = lenders_of(ledger, budget, &self.ports);
        let healthy = self.is_log_reachable();
        if free >= tokens && healthy {
            let want = wanted(state, name, tokens);
            self.ask_now(state, budget, tokens, want);
            return Ok(AcquirePlan::AwaitGrant(lenders));
        }
        // With the log out the balance is only as fresh as the last read.
        if healthy && left < tokens {
            return Err(exhausted(budget, tokens, left));
        }
        if healthy {
            self.give_back(state, budget);
        }
        Ok(AcquirePlan::AskHolders(lenders))
    }

    /// The VMs that most likely hold grants of a budget, without its ledger.
    fn home_peers(&self, budget: &BudgetName) -> Vec<String> {
        let directory = &self.ports.directory;
        let mut peers = directory.ranked_entry_vms(budget.account());
        peers.retain(|vm| vm != directory.vm());
        peers.truncate(BORROW_PEERS);
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
            wanted_tokens: self.wanted(budget, tokens),
            // A loan of a grant is recorded in the log, which also tells of
            // one whose answer was lost.
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
            self.book_loan(budget, &reply);
            return true;
        }
        false
    }

    /// Says what stands between a budget and its tokens.
    fn unavailable(&self, budget: &BudgetName) -> CallError {
        let state = self.state.borrow();
        let followed = state.partitions.get(&self.partition(budget.account()));
        let ledger = followed.and_then(|f| f.follower.fold());
        let known = ledger.and_then(|l| l.budgets.get(budget.as_str()));
        let free = known.map_or(0, |known| known.free);
        let held = ledger.map_or(0, |l| l.held(budget.as_str()));
        let own = state.holder.totals(budget.as_str());
        let reachable = self.is_log_reachable();
        let message = format!(
            "no spending rights for {budget} arrived in time: {free} tokens \
             free, {held} held by routers, {} of them here, log reachable: \
             {reachable}",
            own.available,
        );
        CallError::new(ErrorKind::BudgetUnavailable, message)
    }

    fn wanted(&self, budget: &BudgetName, tokens: u64) -> u64 {
        let mut state = self.state.borrow_mut();
        wanted(&mut state, budget.as_str(), tokens)
    }

    fn book_loan(&self, budget: &BudgetName, reply: &LendReply) {
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

    /// Returns this router's own unused portions of a budget, so that the
    /// fold can merge them into one grant.
    fn give_back(&self, state: &mut KeeperState, budget: &BudgetName) {
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
        self.urgent.notify_one();
    }

    /// Answers a peer that asks for tokens.
    ///
    /// A router that reaches the log obtains further grants for a peer that
    /// does not. If the budget has no free tokens left, unused portions go
    /// back to the log, where they can be merged into one grant.
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
                let want = wanted_tokens.saturating_mul(COLD_REQUESTS);
                self.ask_now(state, &budget, *min_tokens, want);
            } else if lent.is_none() {
                self.give_back(state, &budget);
            }
        }
        let (reply, record) = lent?;
        state.outbox.push(partition, AccountRecord::Lend(record));
        Some(reply)
    }

    /// Obtains first grants for the budgets of accounts that callers are
    /// sent here for, so that their first request finds one.
    pub fn prewarm(&self, budgets: &[BudgetName]) {
        for budget in budgets {
            let directory = &self.ports.directory;
            let mut home = directory.ranked_entry_vms(budget.account());
            home.truncate(HOME_VMS);
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
        let want = (free / PREWARM_DIVISOR).min(PREWARM_TOKENS);
        if want == 0 {
            return;
        }
        state.prewarmed.insert(name.to_owned());
        if state.holder.totals(name).available == 0 {
            self.ask_now(state, budget, 1, want);
        }
    }
}

/// The tokens that cover the coming demand of a budget.
fn wanted(state: &mut KeeperState, budget: &str, tokens: u64) -> u64 {
    let sizer = state.sizers.get_mut(budget);
    let target = sizer.map_or(0, |sizer| sizer.target(Instant::now()));
    target.max(tokens.saturating_mul(COLD_REQUESTS))
}

/// VMs that hold tokens of a budget, the largest remainder first.
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
    ranked.truncate(BORROW_PEERS);
    ranked.into_iter().map(|(_, vm)| vm.to_owned()).collect()
}

fn exhausted(budget: &BudgetName, tokens: u64, left: u64) -> CallError {
    let message = format!(
        "budget {budget} has {left} tokens left, the request may need {tokens}"
    );
    CallError::new(ErrorKind::BudgetExhausted, message)
}
