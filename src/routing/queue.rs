//! The queue of requests that wait for a free slot.

use std::{collections::BTreeMap, time::Instant};

use super::PlacementHint;

/// Maximum number of waiting requests of one priority and service.
const MAX_QUEUE_LENGTH: usize = 256;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether it is restricted to the slots open to drafts.
    pub is_draft: bool,
    /// The client account that sent it.
    pub account: String,
    /// The version that must serve it; `None` for any.
    pub version: Option<String>,
    /// A version that must not serve it.
    pub avoided_version: Option<String>,
    /// Upstreams where an attempt of it has failed.
    pub excluded: Vec<String>,
    /// The affinity key: requests with equal keys prefer the same upstream.
    pub affinity: String,
    /// The properties that its placement depends on.
    pub hint: PlacementHint,
    /// Percentage of the slots that is open to drafts.
    pub draft_percent: u32,
    /// When it leaves the queue unserved.
    pub deadline: Instant,
}

/// The queue of one service.
///
/// Requests are ordered by priority, then by the number of requests in
/// progress of their account, then by age. So an account that floods the
/// queue waits behind the others.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    waiting: BTreeMap<u64, QueuedRequest>,
    last_ticket: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new() -> AdmissionQueue {
        AdmissionQueue::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests that are served before a new one.
    ///
    /// Accounts take turns within a priority. However many requests of
    /// another account wait, it gets ahead with only as many as make its
    /// requests in progress equal to those of the new request's account.
    pub fn count_ahead(
        &self,
        priority: u8,
        account: &str,
        in_progress: impl Fn(&str) -> usize,
    ) -> usize {
        let mut ahead = 0;
        let mut waiting: BTreeMap<&str, usize> = BTreeMap::new();
        for request in self.waiting.values() {
            if request.priority < priority {
                ahead += 1;
            } else if request.priority == priority {
                *waiting.entry(&request.account).or_default() += 1;
            }
        }
        let own = waiting.remove(account).unwrap_or(0);
        let own_count = in_progress(account) + own + 1;
        for (other, count) in waiting {
            ahead += count.min(own_count.saturating_sub(in_progress(other)));
        }
        ahead + own
    }

    /// Adds a request and returns its ticket; `None` if the queue of its
    /// priority is full.
    pub fn push(&mut self, request: QueuedRequest) -> Option<u64> {
        let same_priority =
            self.waiting.values().filter(|c| c.priority == request.priority);
        if same_priority.count() >= MAX_QUEUE_LENGTH {
            return None;
        }
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, request);
        Some(self.last_ticket)
    }

    /// Removes a request that is served now or has given up.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        self.waiting.remove(&ticket)
    }

    /// Returns the ticket to serve next among those for which `fits` holds.
    ///
    /// `in_progress` returns the number of requests of an account that are
    /// in progress.
    pub fn next_ticket(
        &self,
        now: Instant,
        in_progress: impl Fn(&str) -> usize,
        fits: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<u64> {
        let mut best: Option<((u8, usize, u64), u64)> = None;
        for (ticket, request) in &self.waiting {
            if request.deadline <= now {
                continue;
            }
            let rank =
                (request.priority, in_progress(&request.account), *ticket);
            let is_better =
                best.as_ref().is_none_or(|(least, _)| rank < *least);
            // The search for an upstream that fits costs most.
            if !is_better || !fits(request) {
                continue;
            }
            best = Some((rank, *ticket));
        }
        best.map(|(_, ticket)| ticket)
    }
}
