//! Requests that the engine knows by their identity.

use std::collections::BTreeMap;

#[derive(Debug)]
struct StreamRecord {
    bill: String,
    prompt_tokens: u64,
    generated: u64,
    prior: u64,
    stopped: bool,
    epoch: u64,
}

/// What a request finds when it reaches the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamClaim {
    /// The bill under which the request is known.
    pub bill: String,
    /// Tokens that an earlier, closed bill has paid for.
    pub prior: u64,
    /// Output tokens that exist already.
    pub generated: u64,
    /// Names this connection; a later one takes the stream over.
    pub epoch: u64,
    /// Whether the request was not known before.
    pub fresh: bool,
    /// Lower values are served first.
    pub priority: u32,
}

/// Requests by identity.
#[derive(Debug, Default)]
pub struct StreamBook {
    records: BTreeMap<String, StreamRecord>,
    runs: u64,
}

impl StreamBook {
    /// Creates an empty book.
    pub fn new() -> StreamBook {
        StreamBook::default()
    }

    /// Joins a request, or starts it.
    pub fn claim(&mut self, id: &str, bill: &str, prompt: u64) -> StreamClaim {
        let fresh = !self.records.contains_key(id);
        self.runs += u64::from(fresh);
        let record = self.records.entry(id.to_owned());
        let record = record.or_insert_with(|| StreamRecord {
            bill: bill.to_owned(),
            prompt_tokens: prompt,
            generated: 0,
            prior: 0,
            stopped: false,
            epoch: 0,
        });
        record.epoch += 1;
        if record.stopped && record.bill != bill {
            // The earlier bill was closed with what existed then.
            record.prior = record.prompt_tokens + record.generated;
            record.bill = bill.to_owned();
        }
        record.stopped = false;
        StreamClaim {
            bill: record.bill.clone(),
            prior: record.prior,
            generated: record.generated,
            epoch: record.epoch,
            fresh,
            priority: 0,
        }
    }

    /// Whether a connection may go on generating.
    pub fn is_current(&self, id: &str, epoch: u64) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|r| r.epoch == epoch && !r.stopped)
    }

    /// Notes that output up to a position exists.
    pub fn advance(&mut self, id: &str, generated: u64) {
        if let Some(record) = self.records.get_mut(id) {
            record.generated = record.generated.max(generated);
        }
    }

    /// Stops a request; returns its tokens if it is known.
    pub fn stop(&mut self, id: &str) -> Option<u64> {
        let record = self.records.get_mut(id)?;
        record.stopped = true;
        Some(record.prompt_tokens + record.generated)
    }

    /// Requests that were started, without repetitions.
    pub fn runs(&self) -> u64 {
        self.runs
    }

    /// Tokens of all requests.
    pub fn tokens(&self) -> u64 {
        let records = self.records.values();
        records.map(|r| r.prompt_tokens + r.generated).sum()
    }
}
