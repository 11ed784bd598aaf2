//! What a client account may use.

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountSpec {
    /// The name of the account.
    pub name: String,
    /// The rank of its requests, 0 first. It goes before the route's rank.
    pub priority: Option<u8>,
    /// All tokens that the account may ever use. `None` means no bound.
    pub prepaid_tokens: Option<u64>,
}

impl AccountSpec {
    /// Creates an account without a rank or a bound.
    pub fn new(name: impl Into<String>) -> AccountSpec {
        AccountSpec { name: name.into(), priority: None, prepaid_tokens: None }
    }

    /// Sets the rank.
    pub fn with_priority(mut self, priority: u8) -> AccountSpec {
        self.priority = Some(priority);
        self
    }

    /// Sets the tokens that the account may use.
    pub fn with_prepaid_tokens(mut self, tokens: u64) -> AccountSpec {
        self.prepaid_tokens = Some(tokens);
        self
    }
}
