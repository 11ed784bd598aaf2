//! Decides which requests may hold memory.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Largest size in bytes of a small request, head included. A part of the
/// memory is kept for small requests.
pub const SMALL_REQUEST_BYTES: usize = 128 * 1024;

/// Time without progress after which an arriving request is stalled.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes that count as progress of an arriving request. Fewer would let a
/// caller hold a large body with a byte now and then.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Part of the memory that large requests may not use, as a divisor.
const SMALL_RESERVE_DIVISOR: usize = 4;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestStage {
    /// It is still arriving. It has made progress at `at`, when it held
    /// `bytes` bytes.
    Arriving { at: Instant, bytes: usize },
    /// It has arrived, and may have been sent to an upstream.
    Arrived,
}

/// The memory of one request.
#[derive(Clone, Copy, Debug)]
struct RequestShare {
    bytes: usize,
    stage: RequestStage,
}

impl RequestShare {
    fn is_large(&self) -> bool {
        self.bytes > SMALL_REQUEST_BYTES
    }

    fn is_arriving(&self) -> bool {
        self.stage != RequestStage::Arrived
    }

    /// Returns the time since when the request has been stalled.
    fn stalled_since(&self, now: Instant) -> Option<Instant> {
        match self.stage {
            RequestStage::Arriving { at, .. }
                if now.duration_since(at) >= STALL_TIMEOUT =>
            {
                Some(at)
            }
            _ => None,
        }
    }
}

/// The result of growing the memory of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrowthOutcome {
    /// Whether the request may hold the bytes. If not, it holds nothing any
    /// more unless it has arrived.
    pub is_granted: bool,
    /// Other requests that have to be refused and hold nothing any more.
    pub evicted: Vec<u64>,
}

/// The memory of all requests of a process.
///
/// Large requests leave a quarter of it to small ones. If memory is short,
/// these are refused, in this order:
///
/// 1. large requests that have stalled, the longest stalled one first;
/// 2. the newest large request that is arriving, which may be the one that
///    needs memory: older ones then arrive in full;
/// 3. if a small request needs memory, small ones that have stalled;
/// 4. the request that needs memory.
///
/// A large request may always arrive if no other large one holds memory,
/// whatever the capacity.
///
/// # Example
///
/// ```
/// use std::time::Instant;
///
/// use magnoliahaven::memory::RequestMemory;
///
/// let now = Instant::now();
/// let mut memory = RequestMemory::new(1024 * 1024);
/// let id = memory.open(now);
/// assert!(memory.grow(id, 1000, now).is_granted);
/// assert_eq!(memory.held_bytes(), 1000);
/// memory.close(id);
/// assert_eq!(memory.held_bytes(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct RequestMemory {
    capacity: usize,
    held: usize,
    /// The shares in the order in which their requests began to arrive.
    shares: BTreeMap<u64, RequestShare>,
    next_id: u64,
}

impl RequestMemory {
    /// Creates a memory of `capacity` bytes.
    pub fn new(capacity: usize) -> RequestMemory {
        RequestMemory {
            capacity,
            held: 0,
            shares: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Returns the capacity in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the bytes that all requests hold.
    pub fn held_bytes(&self) -> usize {
        self.held
    }

    /// Adds a request that begins to arrive, and returns its identifier.
    pub fn open(&mut self, now: Instant) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let stage = RequestStage::Arriving { at: now, bytes: 0 };
        self.shares.insert(id, RequestShare { bytes: 0, stage });
        id
    }

    /// Sets the bytes that a request holds.
    ///
    /// A request that was evicted gets nothing. One that has arrived evicts
    /// no other one.
    pub fn grow(
        &mut self,
        id: u64,
        bytes: usize,
        now: Instant,
    ) -> GrowthOutcome {
        let mut outcome = GrowthOutcome::default();
        let Some(share) = self.shares.get(&id).copied() else {
            return outcome;
        };
        if !share.is_arriving() {
            outcome.is_granted =
                bytes <= share.bytes || self.fits(id, bytes, true);
            if outcome.is_granted {
                self.set_bytes(id, bytes);
            }
            return outcome;
        }
        self.set_bytes(id, bytes);
        self.record_progress(id, now);
        let is_large = bytes > SMALL_REQUEST_BYTES;
        while !self.fits(id, bytes, is_large) {
            let victim = self.choose_victim(is_large, now).unwrap_or(id);
            self.close(victim);
            if victim == id {
                return outcome;
            }
            outcome.evicted.push(victim);
        }
        outcome.is_granted = true;
        outcome
    }

    /// Records that a request has arrived in full; returns `false` if it was
    /// evicted.
    pub fn finish(&mut self, id: u64) -> bool {
        let share = self.shares.get_mut(&id);
        let Some(share) = share else {
            return false;
        };
        share.stage = RequestStage::Arrived;
        true
    }

    /// Removes a request, which holds nothing any more.
    pub fn close(&mut self, id: u64) {
        if let Some(share) = self.shares.remove(&id) {
            self.held -= share.bytes;
        }
    }

    fn set_bytes(&mut self, id: u64, bytes: usize) {
        if let Some(share) = self.shares.get_mut(&id) {
            self.held = self.held - share.bytes + bytes;
            share.bytes = bytes;
        }
    }

    fn record_progress(&mut self, id: u64, now: Instant) {
        let Some(share) = self.shares.get_mut(&id) else {
            return;
        };
        if let RequestStage::Arriving { bytes, .. } = share.stage
            && share.bytes >= bytes + PROGRESS_BYTES
        {
            let bytes = share.bytes;
            share.stage = RequestStage::Arriving { at: now, bytes };
        }
    }

    /// Returns whether a request may hold `bytes` bytes beside the others.
    fn fits(&self, id: u64, bytes: usize, is_large: bool) -> bool {
        let own = self.shares.get(&id).map_or(0, |share| share.bytes);
        let total = self.held - own + bytes;
        if !is_large {
            return total <= self.capacity;
        }
        let reserve = self.capacity / SMALL_RESERVE_DIVISOR;
        total <= self.capacity - reserve || !self.has_other_large(id)
    }

    fn has_other_large(&self, id: u64) -> bool {
        let mut shares = self.shares.iter();
        shares.any(|(other, share)| *other != id && share.is_large())
    }

    /// Returns the request to refuse so that another one gets memory.
    fn choose_victim(&self, for_large: bool, now: Instant) -> Option<u64> {
        let stalled = self.longest_stalled(now, RequestShare::is_large);
        let victim = stalled.or_else(|| self.newest_large());
        if for_large {
            return victim;
        }
        victim.or_else(|| self.longest_stalled(now, |_| true))
    }

    fn longest_stalled(
        &self,
        now: Instant,
        is_eligible: impl Fn(&RequestShare) -> bool,
    ) -> Option<u64> {
        let mut longest = None;
        for (id, share) in &self.shares {
            let Some(since) = share.stalled_since(now) else {
                continue;
            };
            let is_longer = longest.is_none_or(|(first, _)| since < first);
            if is_longer && is_eligible(share) {
                longest = Some((since, *id));
            }
        }
        longest.map(|(_, id)| id)
    }

    fn newest_large(&self) -> Option<u64> {
        let mut shares = self.shares.iter().rev();
        let large =
            shares.find(|(_, share)| share.is_arriving() && share.is_large());
        large.map(|(id, _)| *id)
    }
}
