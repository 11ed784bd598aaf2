//! Tokens that routers lend to each other.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::AllowanceKeeper;
use crate::{
    ports::{LendRequest, PeerAnswer, PeerCall},
    telemetry::LogEvent,
};

/// Peers that a waiting request asks for tokens.
const LENDERS: usize = 3;

/// Requests of the same size that a loan covers.
const LOAN_REQUESTS: u64 = 4;

/// Time between two looks for loans whose answers were lost; longer than a
/// call to a peer takes.
const TAKE_BACK_PERIOD: Duration = Duration::from_millis(500);

/// A loan that was asked for and whose answer has not arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OpenLoan {
    vm: String,
    request: LendRequest,
}

impl AllowanceKeeper {
    /// Asks peers for tokens; `true` if one has lent some.
    ///
    /// One request of an account asks at a time; the others use what it
    /// brings.
    pub(super) async fn borrow(&self, account: &str, tokens: u64) -> bool {
        if !self.borrowing.borrow_mut().insert(account.to_owned()) {
            return false;
        }
        let borrowed = self.borrow_any(account, tokens).await;
        self.borrowing.borrow_mut().remove(account);
        borrowed
    }

    async fn borrow_any(&self, account: &str, tokens: u64) -> bool {
        let mut lenders = self.book.borrow().lenders(account);
        lenders.retain(|vm| !self.ports.members.health(vm).unusable);
        lenders.truncate(LENDERS);
        for vm in lenders {
            let Some(peer) = self.ports.directory.peer_address(&vm) else {
                continue;
            };
            self.last_loan.set(self.last_loan.get() + 1);
            let request = LendRequest {
                budget: account.to_owned(),
                to: self.id.clone(),
                min_tokens: tokens,
                wanted_tokens: tokens.saturating_mul(LOAN_REQUESTS),
                loan: self.last_loan.get(),
            };
            // The loan is open until its answer is here; a caller that
            // leaves meanwhile leaves it to the task that takes back.
            let open = OpenLoan { vm, request };
            self.open_loans.borrow_mut().push(open.clone());
            let call = PeerCall::Lend(open.request.clone());
            let reply = self.ports.peers.call(peer, call).await;
            let Ok(PeerAnswer::Lent(reply)) = reply else {
                continue;
            };
            self.close_loan(&open);
            let Some(reply) = reply else {
                continue;
            };
            let now = Instant::now();
            log::info!(
                event:% = LogEvent::TokensBorrowed,
                account, tokens = reply.tokens, peer = open.vm.as_str();
                "tokens borrowed"
            );
            self.book.borrow_mut().add_borrowed(account, reply.tokens, now);
            self.changed.notify_waiters();
            return true;
        }
        false
    }

    fn close_loan(&self, loan: &OpenLoan) {
        self.open_loans.borrow_mut().retain(|open| open != loan);
    }

    /// Gives tokens at hand to a peer for good; zero if there are too few.
    ///
    /// A peer that wants nothing takes a loan back whose answer it missed.
    pub fn lend(&self, request: &LendRequest) -> u64 {
        let mut book = self.book.borrow_mut();
        let account = request.budget.as_str();
        let peer = request.to.vm.as_str();
        if request.wanted_tokens == 0 {
            let tokens = book.cancel_loan(request);
            log::info!(
                event:% = LogEvent::LoanReturned, account, tokens, peer;
                "loan taken back"
            );
            return 0;
        }
        let tokens = book.lend(request);
        if tokens > 0 {
            log::info!(
                event:% = LogEvent::TokensLent, account, tokens, peer;
                "tokens lent"
            );
        }
        tokens
    }

    /// Has loans taken back whose answers were lost, for as long as the
    /// task lives.
    pub async fn run_loan_recovery(self: Rc<Self>) {
        let ticks = self.ports.timer.subscribe(TAKE_BACK_PERIOD);
        let mut before: Vec<OpenLoan> = Vec::new();
        loop {
            ticks.tick().await;
            // A loan that was open a period ago has no answer under way.
            let open = self.open_loans.borrow().clone();
            for loan in &open {
                if before.contains(loan) {
                    self.abandon(loan).await;
                }
            }
            before = open;
        }
    }

    async fn abandon(&self, loan: &OpenLoan) {
        let Some(peer) = self.ports.directory.peer_address(&loan.vm) else {
            // A VM that is not listed any more has nothing to take back.
            self.close_loan(loan);
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
            self.close_loan(loan);
        }
    }
}
