//! A plain service that notes every call it runs.

use std::collections::BTreeMap;

/// Calls by their body.
#[derive(Debug, Default)]
pub struct PlainBook {
    runs: BTreeMap<String, u64>,
}

impl PlainBook {
    /// Creates an empty book.
    pub fn new() -> PlainBook {
        PlainBook::default()
    }

    /// Runs a call and returns how often this body has run.
    pub fn run(&mut self, body: &str) -> u64 {
        let runs = self.runs.entry(body.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    /// The number of calls that ran.
    pub fn total(&self) -> u64 {
        self.runs.values().sum()
    }

    /// The number of bodies that ran more than once.
    pub fn repeated(&self) -> u64 {
        self.runs.values().filter(|runs| **runs > 1).count() as u64
    }
}
