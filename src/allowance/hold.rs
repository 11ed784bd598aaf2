//! Tokens that are set aside for one request.

use std::{cell::Cell, rc::Rc};

use super::AllowanceKeeper;

/// Tokens that are set aside for one request and settled on drop.
///
/// Dropping a hold settles what [`TokenHold::set_used`] noted last, which
/// is nothing for a request that never ran.
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

    /// A hold of a request that no budget pays for.
    pub fn unlimited() -> TokenHold {
        TokenHold {
            keeper: None,
            account: String::new(),
            tokens: 0,
            used: Cell::new(0),
        }
    }

    /// The tokens set aside.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Notes all tokens that the request has used so far.
    pub fn set_used(&self, tokens: u64) {
        self.used.set(tokens);
    }

    /// The tokens that the request has used so far.
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
