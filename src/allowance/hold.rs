//! Tokens reserved for one request.

use std::{cell::Cell, rc::Rc};

use super::AllowanceKeeper;

/// What one request is charged. It can be read after the request has ended.
#[derive(Clone, Debug, Default)]
pub struct TokenCharge {
    reserved: u64,
    used: Rc<Cell<u64>>,
}

impl TokenCharge {
    /// Returns the tokens that were reserved for the request.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Returns the tokens that the request has used so far.
    pub fn used(&self) -> u64 {
        self.used.get()
    }
}

/// Tokens reserved for one request and settled on drop.
///
/// Dropping a hold charges the tokens last set by [`TokenHold::set_used`],
/// which are none for a request that never ran.
#[must_use = "a hold that is dropped is settled"]
pub struct TokenHold {
    keeper: Option<Rc<AllowanceKeeper>>,
    account: String,
    charge: TokenCharge,
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
            charge: TokenCharge { reserved: tokens, used: Rc::default() },
        }
    }

    /// Creates the hold of a request that is not charged to any account.
    pub fn uncharged() -> TokenHold {
        TokenHold {
            keeper: None,
            account: String::new(),
            charge: TokenCharge::default(),
        }
    }

    /// Returns the reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.charge.reserved()
    }

    /// Returns what the request is charged.
    pub fn charge(&self) -> &TokenCharge {
        &self.charge
    }

    /// Sets the tokens that the request has used so far in total.
    pub fn set_used(&self, tokens: u64) {
        self.charge.used.set(tokens);
    }

    /// Returns the tokens that the request has used so far.
    pub fn used(&self) -> u64 {
        self.charge.used()
    }
}

impl Drop for TokenHold {
    fn drop(&mut self) {
        if let Some(keeper) = &self.keeper {
            let TokenCharge { reserved, used } = &self.charge;
            keeper.settle(&self.account, *reserved, used.get());
        }
    }
}
