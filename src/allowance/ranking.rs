//! What requests need, and how they rank among those of their account.

/// Tokens that a request needs, and how urgent it is.
///
/// # Example
///
/// ```
/// use magnoliahaven::allowance::TokenNeed;
///
/// let need = TokenNeed::new(1_200).with_priority(2);
/// assert_eq!(need.tokens(), 1_200);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenNeed {
    tokens: u64,
    priority: u8,
}

impl TokenNeed {
    /// Creates the need of a request of the most urgent priority that uses at
    /// most `tokens`.
    pub fn new(tokens: u64) -> TokenNeed {
        TokenNeed { tokens, priority: 0 }
    }

    /// Sets the priority among the requests of the account; 0 is the most
    /// urgent.
    pub fn with_priority(mut self, priority: u8) -> TokenNeed {
        self.priority = priority;
        self
    }

    /// Returns the most tokens that the request may use.
    pub fn tokens(self) -> u64 {
        self.tokens
    }

    /// Returns the priority; 0 is the most urgent.
    pub fn priority(self) -> u8 {
        self.priority
    }
}
