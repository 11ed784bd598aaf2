//! Requests that wait for a free slot.

use std::{collections::BTreeMap, time::Instant};

use super::PlacementHint;

/// Most requests of one rank that wait for one service.
const QUEUE_LENGTH: usize = 256;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// How urgent it is, 0 first.
    pub priority: u8,
    /// Whether it may only use the part of the slots open to drafts.
    pub is_draft: bool,
    /// The client account that sent it.
    pub account: String,
    /// The version that shall serve it; `None` for any.
    pub version: Option<String>,
    /// A version that shall not serve it.
    pub avoided_version: Option<String>,
    /// Upstreams that have failed for it.
    pub excluded: Vec<String>,
    /// Requests with the same text here like the same upstream.
    pub affinity: String,
    /// What its placement depends on.
    pub hint: PlacementHint,
    /// Part of the slots open to drafts, in percent.
    pub draft_percent: u32,
    /// When it gives up.
    pub deadline: Instant,
}

/// The queue of one service.
///
/// The most urgent rank goes first. Within a rank the account with the
/// fewest requests in progress goes first, and the oldest of its requests,
/// so that an account that floods the queue waits behind the others.
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

    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests that would be served before a new one.
    ///
    /// Accounts of the same rank take turns. Each other one gets ahead
    /// with no more requests than bring it level with the new request's
    /// account, however many of them wait.
    pub fn count_ahead(
        &self,
        rank: u8,
        account: &str,
        in_progress: impl Fn(&str) -> usize,
    ) -> usize {
        let mut ahead = 0;
        let mut waiting: BTreeMap<&str, usize> = BTreeMap::new();
        for call in self.waiting.values() {
            if call.priority < rank {
                ahead += 1;
            } else if call.priority == rank {
                *waiting.entry(&call.account).or_default() += 1;
            }
        }
        let own = waiting.remove(account).unwrap_or(0);
        let level = in_progress(account) + own + 1;
        for (other, count) in waiting {
            ahead += count.min(level.saturating_sub(in_progress(other)));
        }
        ahead + own
    }

    /// Adds a request; `None` if the queue of its rank is full.
    pub fn push(&mut self, call: QueuedRequest) -> Option<u64> {
        let same =
            self.waiting.values().filter(|c| c.priority == call.priority);
        if same.count() >= QUEUE_LENGTH {
            return None;
        }
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, call);
        Some(self.last_ticket)
    }

    /// Takes a request out that is served now or has given up.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        self.waiting.remove(&ticket)
    }

    /// The ticket to be served next among those for which `fits` holds.
    ///
    /// `in_progress` tells how many requests of an account are served.
    pub fn next_ticket(
        &self,
        now: Instant,
        in_progress: impl Fn(&str) -> usize,
        fits: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<u64> {
        let mut best: Option<((u8, usize, u64), u64)> = None;
        for (ticket, call) in &self.waiting {
            if call.deadline <= now || !fits(call) {
                continue;
            }
            let rank = (call.priority, in_progress(&call.account), *ticket);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, *ticket));
            }
        }
        best.map(|(_, ticket)| ticket)
    }
}
