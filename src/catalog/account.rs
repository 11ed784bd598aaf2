//! The declaration of a client account.

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountSpec {
    /// The name of the account.
    pub name: String,
    /// The priority of its requests, where 0 is the most urgent. It
    /// overrides the priority of the route.
    pub priority: Option<u8>,
    /// The total number of tokens that the account may ever use. `None`
    /// means unlimited.
    pub prepaid_tokens: Option<u64>,
}

impl AccountSpec {
    /// Creates an account without a priority or a token limit.
    pub fn new(name: impl Into<String>) -> AccountSpec {
        AccountSpec { name: name.into(), priority: None, prepaid_tokens: None }
    }

    /// Sets the priority of the account's requests.
    pub fn with_priority(mut self, priority: u8) -> AccountSpec {
        self.priority = Some(priority);
        self
    }

    /// Sets the total number of tokens that the account may use.
    pub fn with_prepaid_tokens(mut self, tokens: u64) -> AccountSpec {
        self.prepaid_tokens = Some(tokens);
        self
    }
}
