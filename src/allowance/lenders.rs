//! Which peers a router asks for tokens.
//!
//! The records rank the peers by the tokens that they have left. While the
//! topic is unreachable the records are old: a peer that had most tokens may
//! have used them since. The load pattern is an outage of several seconds, in
//! which all routers ask the same few peers. A peer that has just refused is
//! therefore passed over, so that the next ones on the list are asked.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Maximum number of peers that are asked in one round.
const MAX_LENDERS: usize = 8;

/// How long a refusal keeps a peer from being asked for as many tokens again.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(1_500);

/// The tokens that a peer did not have, and when it said so.
#[derive(Clone, Copy, Debug)]
struct LoanRefusal {
    tokens: u64,
    at: Instant,
}

/// The peers that have refused loans lately.
///
/// # Example
///
/// ```
/// use std::time::Instant;
///
/// use magnoliahaven::allowance::LenderMemory;
///
/// let now = Instant::now();
/// let mut memory = LenderMemory::new();
/// memory.record_refusal("dairy", "vm-1", 500, now);
/// let ranked = vec!["vm-1".to_owned(), "vm-2".to_owned()];
/// assert_eq!(memory.choose("dairy", 600, ranked.clone(), now), ["vm-2"]);
/// assert_eq!(memory.choose("dairy", 400, ranked, now), ["vm-1", "vm-2"]);
/// ```
#[derive(Debug, Default)]
pub struct LenderMemory {
    /// By account and VM.
    refusals: BTreeMap<(String, String), LoanRefusal>,
}

impl LenderMemory {
    /// Creates a memory without refusals.
    pub fn new() -> LenderMemory {
        LenderMemory::default()
    }

    /// Records that a peer did not lend `tokens`.
    pub fn record_refusal(
        &mut self,
        account: &str,
        vm: &str,
        tokens: u64,
        now: Instant,
    ) {
        self.refusals.retain(|_, refusal| refusal.is_recent(now));
        let key = (account.to_owned(), vm.to_owned());
        self.refusals.insert(key, LoanRefusal { tokens, at: now });
    }

    /// Returns the peers to ask for `tokens`, in the order of `ranked`.
    pub fn choose(
        &self,
        account: &str,
        tokens: u64,
        mut ranked: Vec<String>,
        now: Instant,
    ) -> Vec<String> {
        ranked.retain(|vm| {
            let key = (account.to_owned(), vm.clone());
            let refusal = self.refusals.get(&key);
            !refusal.is_some_and(|r| r.is_recent(now) && r.tokens <= tokens)
        });
        ranked.truncate(MAX_LENDERS);
        ranked
    }
}

impl LoanRefusal {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < REFUSAL_LIFETIME
    }
}
