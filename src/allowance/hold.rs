//! Tokens reserved for one request.

use std::{cell::Cell, rc::Rc};

use super::AllowanceKeeper;

/// Tokens reserved for one request and settled on drop.
///
/// Dropping a hold charges the tokens last set by [`TokenHold::set_used`],
/// which are none for a request that never ran.
#[must_use = "a hold that is dropped is settled"]
pub struct TokenHold {
    keeper: Option<Rc<AllowanceKeeper>>,
    account: String,
    tokens: u64,
    used: Cell<u64>,
}

impl TokenHold {
    pub(super) fn new(
        keeper: Rc<AllowanceKeeper>,
        account: &str,
        tokens: u64,
    ) -> TokenHold {
        TokenHold {
            keeper: Some(keeper),
            account: account.to_owned(),
            tokens,
            used: Cell::new(0),
        }
    }

    /// Creates the hold of a request that is not charged to any account.
    pub fn uncharged() -> TokenHold {
        TokenHold {
            keeper: None,
            account: String::new(),
            tokens: 0,
            used: Cell::new(0),
        }
    }

    /// Returns the reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Sets the tokens that the request has used so far in total.
    pub fn set_used(&self, tokens: u64) {
        self.used.set(tokens);
    }

    /// Returns the tokens that the request has used so far.
    pub fn used(&self) -> u64 {
        self.used.get()
    }
}

impl Drop for TokenHold {
    fn drop(&mut self) {
        if let Some(keeper) = &self.keeper {
            keeper.settle(&self.account, self.tokens, self.used.get());
        }
    }
}
