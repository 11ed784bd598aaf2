//! Decides which requests may hold memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Largest size in bytes of a small request, with its head and the buffer of
/// a read. A part of the memory is kept for small requests.
pub const SMALL_REQUEST_BYTES: usize = 128 * 1024;

/// Time without progress after which an arriving request is stalled.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait of a large request for memory.
pub const MAX_MEMORY_WAIT: Duration = Duration::from_secs(1);

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
    /// It waits for memory for the rest of it.
    Waiting { since: Instant },
    /// It has arrived, and may have been sent to an upstream.
    Arrived,
    /// It is refused, and holds its memory until it is closed.
    Evicted,
}

/// The memory of one request.
#[derive(Clone, Copy, Debug)]
struct RequestShare {
    /// Bytes that have arrived.
    bytes: usize,
    /// Bytes that are reserved for a large request, at least those that have
    /// arrived.
    reserved: Option<usize>,
    stage: RequestStage,
}

impl RequestShare {
    /// Returns the bytes that no other request can have.
    fn committed(&self) -> usize {
        self.reserved.unwrap_or(self.bytes)
    }

    /// Returns the committed bytes if the request was evicted.
    fn evicted(&self) -> usize {
        let is_evicted = self.stage == RequestStage::Evicted;
        if is_evicted { self.committed() } else { 0 }
    }

    fn is_arriving(&self) -> bool {
        matches!(self.stage, RequestStage::Arriving { .. })
    }

    fn is_waiting(&self) -> bool {
        matches!(self.stage, RequestStage::Waiting { .. })
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

/// Whether a request may hold the bytes that have arrived of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GrowthVerdict {
    /// It may, and may go on.
    Granted,
    /// It may, but has to wait for memory before it goes on.
    Waits,
    /// It may not. Unless it has arrived it has to be closed.
    #[default]
    Refused,
}

/// The result of growing the memory of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrowthOutcome {
    /// Whether the request may hold the bytes.
    pub verdict: GrowthVerdict,
    /// Other requests that have to be refused. Their memory is free once they
    /// are closed.
    pub evicted: Vec<u64>,
}

/// The memory of all requests of a process.
///
/// A request that grows beyond [`SMALL_REQUEST_BYTES`] is large. Its whole
/// size is reserved then, so that each large request with memory can arrive
/// in full; the others wait in the order in which they began to arrive, up to
/// [`MAX_MEMORY_WAIT`]. Meanwhile one with memory that stalls is refused.
/// Large requests leave a quarter of the memory to small ones, for which
/// these are refused, in this order:
///
/// 1. large requests that have stalled, the longest stalled one first;
/// 2. the newest large request that waits;
/// 3. the newest large request that is arriving;
/// 4. small requests that have stalled;
/// 5. the request that needs memory.
///
/// A large request may always arrive if no other large one has memory,
/// whatever the capacity.
///
/// # Example
///
/// ```
/// use std::time::Instant;
///
/// use magnoliahaven::memory::{GrowthVerdict, RequestMemory};
///
/// let now = Instant::now();
/// let mut memory = RequestMemory::new(1024 * 1024);
/// let id = memory.open(now);
/// let outcome = memory.grow(id, 1000, 2000, now);
/// assert_eq!(outcome.verdict, GrowthVerdict::Granted);
/// assert_eq!(memory.committed_bytes(), 1000);
/// memory.close(id);
/// assert_eq!(memory.committed_bytes(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct RequestMemory {
    capacity: usize,
    /// Sum of what the shares have committed.
    committed: usize,
    /// Sum of what evicted requests have committed.
    evicted: usize,
    /// Sum of what is reserved for large requests.
    reserved: usize,
    /// Requests that wait.
    waiting: BTreeSet<u64>,
    /// The shares in the order in which their requests began to arrive.
    shares: BTreeMap<u64, RequestShare>,
    next_id: u64,
}

impl RequestMemory {
    /// Creates a memory of `capacity` bytes.
    pub fn new(capacity: usize) -> RequestMemory {
        RequestMemory {
            capacity,
            committed: 0,
            evicted: 0,
            reserved: 0,
            waiting: BTreeSet::new(),
            shares: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Returns the capacity in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the bytes that requests hold or have reserved, evicted ones
    /// that are not closed included.
    pub fn committed_bytes(&self) -> usize {
        self.committed
    }

    /// Adds a request that begins to arrive, and returns its identifier.
    pub fn open(&mut self, now: Instant) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let stage = RequestStage::Arriving { at: now, bytes: 0 };
        let share = RequestShare { bytes: 0, reserved: None, stage };
        self.shares.insert(id, share);
        id
    }

    /// Sets the bytes that have arrived of a request, and the most that it
    /// may have in the end.
    ///
    /// A request that was evicted gets nothing. One that has arrived evicts
    /// no other one.
    pub fn grow(
        &mut self,
        id: u64,
        bytes: usize,
        most: usize,
        now: Instant,
    ) -> GrowthOutcome {
        let Some(share) = self.shares.get(&id).copied() else {
            return GrowthOutcome::default();
        };
        match share.stage {
            RequestStage::Arrived => return self.grow_arrived(id, bytes),
            RequestStage::Evicted => return GrowthOutcome::default(),
            _ => {}
        }
        self.set_bytes(id, bytes);
        if bytes > SMALL_REQUEST_BYTES && share.reserved.is_none() {
            let most = most.min(self.large_capacity());
            return self.reserve(id, bytes.max(most), now);
        }
        self.record_progress(id, now);
        let mut outcome = GrowthOutcome::default();
        let is_only_large = self.is_only_large(id);
        while self.committed - self.evicted > self.capacity && !is_only_large {
            let victim = self.choose_victim(now).unwrap_or(id);
            self.evict(victim);
            if victim == id {
                return outcome;
            }
            outcome.evicted.push(victim);
        }
        // The memory of evicted requests is not free yet.
        if self.committed > self.capacity && !is_only_large {
            outcome.verdict = self.wait(id, now);
            return outcome;
        }
        self.end_wait(id, now);
        outcome.verdict = GrowthVerdict::Granted;
        outcome
    }

    /// Records that a request has arrived in full and holds `bytes` bytes;
    /// returns `false` if it was evicted.
    pub fn finish(&mut self, id: u64, bytes: usize) -> bool {
        let stage = self.shares.get(&id).map(|share| share.stage);
        if matches!(stage, None | Some(RequestStage::Evicted)) {
            return false;
        }
        self.update(id, |share| {
            share.stage = RequestStage::Arrived;
            share.bytes = bytes;
            share.reserved = share.reserved.map(|_| bytes);
        });
        true
    }

    /// Removes a request, which holds nothing any more.
    pub fn close(&mut self, id: u64) {
        self.update(id, |share| {
            *share = RequestShare {
                bytes: 0,
                reserved: None,
                stage: RequestStage::Evicted,
            };
        });
        self.shares.remove(&id);
    }

    /// Refuses a request that is arriving. Its memory is not free yet.
    fn evict(&mut self, id: u64) {
        self.update(id, |share| share.stage = RequestStage::Evicted);
    }

    /// Returns the request that has the first turn when memory becomes free.
    pub fn first_waiting(&self) -> Option<u64> {
        self.waiting.first().copied()
    }

    /// Reserves `bytes` bytes for a large request, or lets it wait.
    fn reserve(
        &mut self,
        id: u64,
        bytes: usize,
        now: Instant,
    ) -> GrowthOutcome {
        let mut outcome = GrowthOutcome::default();
        let is_first = self.first_waiting().is_none_or(|first| first >= id);
        let needs_room = is_first && !self.fits_large(id, bytes);
        // One after the other: the memory of one is not free before it is
        // closed.
        if needs_room && self.evicted == 0 {
            let stalled =
                self.longest_stalled(now, |share| share.reserved.is_some());
            if let Some(victim) = stalled {
                self.evict(victim);
                outcome.evicted.push(victim);
            }
        }
        if is_first && self.fits_large(id, bytes) {
            self.set_reserved(id, bytes, now);
            outcome.verdict = GrowthVerdict::Granted;
            return outcome;
        }
        outcome.verdict = self.wait(id, now);
        outcome
    }

    /// Lets a request wait; refuses one that has waited for too long.
    fn wait(&mut self, id: u64, now: Instant) -> GrowthVerdict {
        let stage = self.shares.get(&id).map(|share| share.stage);
        let since = match stage {
            Some(RequestStage::Waiting { since }) => since,
            _ => now,
        };
        let has_room = self.committed - self.evicted <= self.capacity;
        if has_room && now.duration_since(since) < MAX_MEMORY_WAIT {
            let stage = RequestStage::Waiting { since };
            self.update(id, |share| share.stage = stage);
            return GrowthVerdict::Waits;
        }
        self.evict(id);
        GrowthVerdict::Refused
    }

    /// Lets a request that waited go on.
    fn end_wait(&mut self, id: u64, now: Instant) {
        self.update(id, |share| {
            if share.is_waiting() {
                let bytes = share.bytes;
                share.stage = RequestStage::Arriving { at: now, bytes };
            }
        });
    }

    fn grow_arrived(&mut self, id: u64, bytes: usize) -> GrowthOutcome {
        let mut outcome = GrowthOutcome::default();
        let Some(share) = self.shares.get_mut(&id) else {
            return outcome;
        };
        let more = bytes.saturating_sub(share.bytes);
        if self.committed + more > self.large_capacity() {
            return outcome;
        }
        self.set_bytes(id, bytes);
        outcome.verdict = GrowthVerdict::Granted;
        outcome
    }

    fn set_bytes(&mut self, id: u64, bytes: usize) {
        self.update(id, |share| {
            share.bytes = bytes;
            share.reserved =
                share.reserved.map(|reserved| reserved.max(bytes));
        });
    }

    /// Changes a share, and the sums over all shares with it.
    fn update(&mut self, id: u64, change: impl FnOnce(&mut RequestShare)) {
        let Some(share) = self.shares.get_mut(&id) else {
            return;
        };
        self.committed -= share.committed();
        self.evicted -= share.evicted();
        self.reserved -= share.reserved.unwrap_or(0);
        change(share);
        self.committed += share.committed();
        self.evicted += share.evicted();
        self.reserved += share.reserved.unwrap_or(0);
        if share.is_waiting() {
            self.waiting.insert(id);
        } else {
            self.waiting.remove(&id);
        }
    }

    fn set_reserved(&mut self, id: u64, reserved: usize, now: Instant) {
        self.update(id, |share| {
            share.reserved = Some(reserved);
            let bytes = share.bytes;
            share.stage = RequestStage::Arriving { at: now, bytes };
        });
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

    /// Returns the bytes that large requests may have together.
    fn large_capacity(&self) -> usize {
        self.capacity - self.capacity / SMALL_RESERVE_DIVISOR
    }

    /// Returns whether a request that has none may have `bytes` bytes
    /// reserved.
    fn fits_large(&self, id: u64, bytes: usize) -> bool {
        let own = self.shares.get(&id).map_or(0, |share| share.bytes);
        let fits = self.reserved + bytes <= self.large_capacity()
            && self.committed - own + bytes <= self.capacity;
        fits || self.reserved == 0
    }

    /// Returns whether a request is the only one with memory reserved.
    fn is_only_large(&self, id: u64) -> bool {
        let share = self.shares.get(&id);
        let own = share.and_then(|share| share.reserved);
        own.is_some_and(|own| own == self.reserved)
    }

    /// Returns the request to refuse so that a small one gets memory.
    fn choose_victim(&self, now: Instant) -> Option<u64> {
        let stalled =
            self.longest_stalled(now, |share| share.reserved.is_some());
        stalled
            .or_else(|| {
                self.newest(|share| {
                    share.is_waiting() && share.bytes > SMALL_REQUEST_BYTES
                })
            })
            .or_else(|| {
                self.newest(|share| {
                    share.is_arriving() && share.reserved.is_some()
                })
            })
            .or_else(|| self.longest_stalled(now, |_| true))
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

    fn newest(
        &self,
        is_eligible: impl Fn(&RequestShare) -> bool,
    ) -> Option<u64> {
        let mut shares = self.shares.iter().rev();
        let newest = shares.find(|(_, share)| is_eligible(share));
        newest.map(|(id, _)| *id)
    }
}
