//! Lending of tokens between routers.
//!
//! A loan moves tokens from one router to another without a record in the
//! topic. Its answer may be lost, so the borrower keeps every loan pending
//! until it is answered, and cancels it at the lender otherwise.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::AllowanceKeeper;
use crate::{
    ports::{LendRequest, PeerAnswer, PeerCall},
    telemetry::LogEvent,
};

/// Maximum duration of one round of calls for a loan. A peer that does not
/// answer takes a good part of it.
const ROUND_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which loans whose answers were lost are canceled. It is longer
/// than a call to a peer takes.
const LOAN_RECOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// A loan that was asked for and has not been answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PendingLoan {
    vm: String,
    request: LendRequest,
}

impl AllowanceKeeper {
    /// Asks peers for tokens and returns whether one has lent some.
    ///
    /// For each account, one request asks at a time; the others share what it
    /// borrows.
    pub(super) async fn borrow(&self, account: &str, tokens: u64) -> bool {
        if !self.borrowing_accounts.borrow_mut().insert(account.to_owned()) {
            return false;
        }
        let borrowed = self.borrow_from_peers(account, tokens).await;
        self.borrowing_accounts.borrow_mut().remove(account);
        borrowed
    }

    async fn borrow_from_peers(&self, account: &str, tokens: u64) -> bool {
        let started = Instant::now();
        for vm in self.lenders(account, tokens) {
            if started.elapsed() >= ROUND_TIMEOUT {
                break;
            }
            let Some(peer) = self.ports.directory.peer_address(&vm) else {
                continue;
            };
            self.last_loan.set(self.last_loan.get() + 1);
            let request = LendRequest {
                budget: account.to_owned(),
                to: self.id.clone(),
                min_tokens: tokens,
                wanted_tokens: self.loan_size(account, tokens),
                loan: self.last_loan.get(),
            };
            // The loan stays pending if the caller disconnects before the
            // answer; `run_loan_recovery` then cancels it.
            let pending = PendingLoan { vm, request };
            self.pending_loans.borrow_mut().push(pending.clone());
            let call = PeerCall::Lend(pending.request.clone());
            let reply = self.ports.peers.call(peer, call).await;
            let Ok(PeerAnswer::Lent(reply)) = reply else {
                self.record_refusal(account, &pending.vm, 0);
                continue;
            };
            self.remove_pending(&pending);
            let Some(reply) = reply else {
                self.record_refusal(account, &pending.vm, tokens);
                continue;
            };
            let now = Instant::now();
            log::info!(
                event:% = LogEvent::TokensBorrowed,
                account, tokens = reply.tokens, peer = pending.vm.as_str();
                "borrowed tokens from a peer"
            );
            self.ledger.borrow_mut().add_borrowed(account, reply.tokens, now);
            self.changed.notify_waiters();
            return true;
        }
        false
    }

    /// Returns the peers to ask for tokens, those with most first.
    pub(super) fn lenders(&self, account: &str, tokens: u64) -> Vec<String> {
        let mut ranked = self.ledger.borrow().lenders(account);
        ranked.retain(|vm| {
            let is_listed = self.ports.directory.peer_address(vm).is_some();
            is_listed && !self.ports.members.health(vm).unusable
        });
        let memory = self.lender_memory.borrow();
        memory.choose(account, tokens, ranked, Instant::now())
    }

    fn loan_size(&self, account: &str, tokens: u64) -> u64 {
        let mut ledger = self.ledger.borrow_mut();
        ledger.loan_size(account, tokens, Instant::now())
    }

    fn record_refusal(&self, account: &str, vm: &str, tokens: u64) {
        let mut memory = self.lender_memory.borrow_mut();
        memory.record_refusal(account, vm, tokens, Instant::now());
    }

    fn remove_pending(&self, loan: &PendingLoan) {
        self.pending_loans.borrow_mut().retain(|pending| pending != loan);
    }

    /// Lends available tokens to a peer for good and returns how many; zero
    /// if there are too few.
    ///
    /// A request with zero `wanted_tokens` cancels the loan of the same
    /// number, whose answer the peer did not get.
    pub fn lend(&self, request: &LendRequest) -> u64 {
        let mut ledger = self.ledger.borrow_mut();
        let account = request.budget.as_str();
        let peer = request.to.vm.as_str();
        if request.wanted_tokens == 0 {
            let tokens = ledger.cancel_loan(request);
            log::info!(
                event:% = LogEvent::LoanReturned, account, tokens, peer;
                "loan canceled by its borrower, which got no answer"
            );
            self.sync_requested.notify_one();
            return 0;
        }
        let tokens = ledger.lend(request);
        if tokens > 0 {
            log::info!(
                event:% = LogEvent::TokensLent, account, tokens, peer;
                "lent tokens to a peer"
            );
        }
        tokens
    }

    /// Cancels loans whose answers were lost, at intervals until the task is
    /// dropped.
    pub async fn run_loan_recovery(self: Rc<Self>) {
        let ticks = self.ports.timer.interval(LOAN_RECOVERY_INTERVAL);
        let mut seen_before: Vec<PendingLoan> = Vec::new();
        loop {
            ticks.tick().await;
            // The call of a loan that was pending one interval ago has ended.
            let pending = self.pending_loans.borrow().clone();
            for loan in &pending {
                if seen_before.contains(loan) {
                    self.cancel_remote_loan(loan).await;
                }
            }
            seen_before = pending;
        }
    }

    async fn cancel_remote_loan(&self, loan: &PendingLoan) {
        let Some(peer) = self.ports.directory.peer_address(&loan.vm) else {
            // There is nothing to cancel at a lender that is not listed.
            self.remove_pending(loan);
            return;
        };
        if self.ports.members.health(&loan.vm).unusable {
            return;
        }
        let request = LendRequest {
            min_tokens: 0,
            wanted_tokens: 0,
            ..loan.request.clone()
        };
        let call = PeerCall::Lend(request);
        if self.ports.peers.call(peer, call).await.is_ok() {
            self.remove_pending(loan);
        }
    }
}
