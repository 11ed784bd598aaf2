//! Which requests are refused when the memory for requests is short.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use {
    magnoliahaven::memory::{
        GrowthVerdict, MAX_MEMORY_WAIT, RequestMemory, SMALL_REQUEST_BYTES,
        STALL_TIMEOUT,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    yare::parameterized,
};

/// Memory for the requests of the smallest VM, in bytes.
const CAPACITY: usize = 40_000_000;

/// Size of a large request in bytes.
const LARGE: usize = 4 * 1024 * 1024;

/// Size of an ordinary request in bytes, the largest of the sites.
const ORDINARY: usize = 72_000;

/// Large requests for which there is memory beside each other.
const LARGE_FIT: usize = CAPACITY * 3 / 4 / LARGE;

/// Bytes that arrive at once.
const STEP_BYTES: usize = 16 * 1024;

/// Requests that arrive in steps, as they were opened.
struct Crowd {
    memory: RequestMemory,
    now: Instant,
    /// Bytes that have arrived of requests that are not whole.
    arriving: BTreeMap<u64, usize>,
    waiting: BTreeSet<u64>,
    refused: Vec<u64>,
}

impl Crowd {
    fn new() -> Crowd {
        Crowd {
            memory: RequestMemory::new(CAPACITY),
            now: Instant::now(),
            arriving: BTreeMap::new(),
            waiting: BTreeSet::new(),
            refused: Vec::new(),
        }
    }

    fn open(&mut self) -> u64 {
        let id = self.memory.open(self.now);
        self.arriving.insert(id, 0);
        id
    }

    /// Lets bytes of a request arrive, unless it waits or is refused.
    fn receive(&mut self, id: u64, bytes: usize) -> GrowthVerdict {
        if self.waiting.contains(&id) {
            return GrowthVerdict::Waits;
        }
        if let Some(held) = self.arriving.get_mut(&id) {
            *held += bytes;
        }
        self.grow(id)
    }

    /// Asks again for the memory of a request.
    fn grow(&mut self, id: u64) -> GrowthVerdict {
        let Some(held) = self.arriving.get(&id) else {
            return GrowthVerdict::Refused;
        };
        let held = *held;
        self.waiting.remove(&id);
        loop {
            let outcome = self.memory.grow(id, held, LARGE, self.now);
            let has_evicted = !outcome.evicted.is_empty();
            for evicted in outcome.evicted {
                self.refuse(evicted);
            }
            match outcome.verdict {
                GrowthVerdict::Granted => {}
                // The evicted ones have given their memory back.
                GrowthVerdict::Waits if has_evicted => continue,
                GrowthVerdict::Waits => {
                    self.waiting.insert(id);
                }
                GrowthVerdict::Refused => self.refuse(id),
            }
            return outcome.verdict;
        }
    }

    /// Lets all that wait ask again, as they do at intervals.
    fn retry_waiting(&mut self) {
        for id in self.waiting.clone() {
            self.grow(id);
        }
    }

    fn refuse(&mut self, id: u64) {
        self.memory.close(id);
        self.arriving.remove(&id);
        self.waiting.remove(&id);
        self.refused.push(id);
    }

    /// Lets the rest of a request arrive up to `bytes` bytes, unless it waits
    /// or is refused.
    fn receive_up_to(&mut self, id: u64, bytes: usize) -> GrowthVerdict {
        let mut verdict = GrowthVerdict::Granted;
        while verdict == GrowthVerdict::Granted {
            let held = self.arriving.get(&id).copied().unwrap_or(0);
            if held >= bytes {
                break;
            }
            verdict = self.receive(id, STEP_BYTES.min(bytes - held));
        }
        verdict
    }

    /// Lets a whole request arrive; returns its identifier unless it waits or
    /// is refused.
    fn receive_whole(&mut self, bytes: usize) -> Option<u64> {
        let id = self.open();
        if self.receive_up_to(id, bytes) != GrowthVerdict::Granted {
            return None;
        }
        self.finish(id);
        Some(id)
    }

    fn finish(&mut self, id: u64) {
        let held = self.arriving.remove(&id).expect("request");
        assert!(self.memory.finish(id, held));
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }
}

/// Opens `count` requests that stop just short of `bytes` bytes.
fn open_stalled(crowd: &mut Crowd, count: usize, bytes: usize) {
    for _ in 0..count {
        let id = crowd.open();
        crowd.receive_up_to(id, bytes - 1);
    }
}

/// The load: a crowd of large bodies stalls. A single large request waits
/// until these count as stalled, and is served at the cost of the one that
/// has stalled longest.
#[test]
fn a_stalled_crowd_makes_way_for_a_large_request() {
    let mut crowd = Crowd::new();
    open_stalled(&mut crowd, LARGE_FIT, LARGE);
    let id = crowd.open();
    assert_eq!(crowd.receive_up_to(id, LARGE), GrowthVerdict::Waits);
    crowd.pass(STALL_TIMEOUT);
    crowd.retry_waiting();
    assert_eq!(crowd.refused, [0]);
    assert_eq!(crowd.receive_up_to(id, LARGE), GrowthVerdict::Granted);
}

/// The load: the stalled crowd sends a byte now and then.
#[test]
fn a_byte_now_and_then_is_no_progress() {
    let mut crowd = Crowd::new();
    open_stalled(&mut crowd, LARGE_FIT, LARGE);
    let ids: Vec<u64> = crowd.arriving.keys().copied().collect();
    for _ in 0..20 {
        crowd.pass(STALL_TIMEOUT / 10);
        for id in &ids {
            crowd.receive(*id, 1);
        }
    }
    assert!(crowd.receive_whole(LARGE).is_some());
}

/// The load: a crowd stalls that is larger than the memory. Each turn of it
/// ends when it has stalled; a request behind the crowd is refused in time
/// or served, and the next one finds the memory free for it.
#[test]
fn a_large_stalled_crowd_is_over_soon() {
    let mut crowd = Crowd::new();
    open_stalled(&mut crowd, 64, LARGE);
    let end = crowd.now + MAX_MEMORY_WAIT + STALL_TIMEOUT;
    while crowd.now < end {
        crowd.pass(Duration::from_millis(100));
        crowd.retry_waiting();
        for id in crowd.arriving.keys().copied().collect::<Vec<_>>() {
            crowd.receive_up_to(id, LARGE - 1);
        }
    }
    assert!(crowd.waiting.is_empty());
    assert!(crowd.receive_whole(LARGE).is_some());
}

/// The load: a crowd of large bodies, whole or stalled, and requests of
/// ordinary size beside it. None of these is refused at any moment.
#[parameterized(
    stalled = { false },
    arrived = { true },
)]
fn ordinary_requests_are_served_beside_a_crowd(is_whole: bool) {
    let mut crowd = Crowd::new();
    for _ in 0..100 {
        if is_whole {
            crowd.receive_whole(LARGE);
        } else {
            open_stalled(&mut crowd, 1, LARGE);
        }
    }
    for _ in 0..100 {
        assert!(crowd.receive_whole(ORDINARY).is_some());
    }
}

/// What a link of 1 Gbit/s carries in a millisecond, in bytes.
const LINK_BYTES_PER_MS: usize = 125_000;

/// Time for which an upstream works on a request.
const WORK_TIME: Duration = Duration::from_millis(60);

/// Lets large requests that come at `times` arrive over one link; returns how
/// many arrive.
fn play_large(times: &[Duration]) -> usize {
    let mut crowd = Crowd::new();
    let start = crowd.now;
    let mut times = times.iter().copied().peekable();
    let mut served: Vec<(Instant, u64)> = Vec::new();
    let mut arrived = 0;
    while times.peek().is_some() || !crowd.arriving.is_empty() {
        while times.next_if(|at| start + *at <= crowd.now).is_some() {
            crowd.open();
        }
        let mut rest = LINK_BYTES_PER_MS;
        for id in crowd.arriving.keys().copied().collect::<Vec<_>>() {
            if rest < STEP_BYTES {
                break;
            }
            while rest >= STEP_BYTES
                && crowd.receive(id, STEP_BYTES) == GrowthVerdict::Granted
            {
                rest -= STEP_BYTES;
                if crowd.arriving[&id] >= LARGE {
                    crowd.finish(id);
                    served.push((crowd.now + WORK_TIME, id));
                    arrived += 1;
                    break;
                }
            }
        }
        crowd.pass(Duration::from_millis(1));
        for (end, id) in &served {
            if *end <= crowd.now {
                crowd.memory.close(*id);
            }
        }
        served.retain(|(end, _)| *end > crowd.now);
        if let Some(first) = crowd.memory.first_waiting() {
            crowd.grow(first);
        }
    }
    arrived
}

/// The load: 24 large requests come at once, three times as many as there is
/// memory for. All are served, one after the other.
#[test]
fn a_short_crowd_of_large_requests_is_served() {
    assert_eq!(play_large(&[Duration::ZERO; 24]), 24);
}

/// The load: large requests come for 10 s, twice as many as the link carries.
/// Nearly as many arrive as it can carry.
#[test]
fn a_steady_overload_of_large_requests_is_served_at_full_capacity() {
    let times: Vec<Duration> =
        (0..600).map(|n| Duration::from_millis(n * 17)).collect();
    let possible = 600 * 17 * LINK_BYTES_PER_MS / LARGE;
    let arrived = play_large(&times);
    assert!(arrived * 10 >= possible * 8, "{arrived} of {possible}");
}

/// Memory of a request that was evicted is not free before its task has given
/// it back. Whoever needs it waits for that.
#[test]
fn memory_of_an_evicted_request_is_used_once_it_is_free() {
    let now = Instant::now();
    let mut memory = RequestMemory::new(CAPACITY);
    let large: Vec<u64> = (0..LARGE_FIT).map(|_| memory.open(now)).collect();
    for id in &large {
        memory.grow(*id, LARGE, LARGE, now);
    }
    let mut granted = 0;
    let (id, outcome) = loop {
        let id = memory.open(now);
        let outcome = memory.grow(id, ORDINARY, ORDINARY, now);
        if outcome.verdict != GrowthVerdict::Granted {
            break (id, outcome);
        }
        granted += 1;
    };
    assert!(granted >= CAPACITY / 4 / ORDINARY, "{granted}");
    assert_eq!(outcome.verdict, GrowthVerdict::Waits);
    assert_eq!(outcome.evicted, large[LARGE_FIT - 1..]);
    let outcome = memory.grow(id, ORDINARY, ORDINARY, now);
    assert_eq!(outcome.verdict, GrowthVerdict::Waits);
    memory.close(large[LARGE_FIT - 1]);
    let outcome = memory.grow(id, ORDINARY, ORDINARY, now);
    assert_eq!(outcome.verdict, GrowthVerdict::Granted);
}

/// The load: many heads that do not end.
#[test]
fn a_small_request_is_served_beside_stalled_heads() {
    let mut crowd = Crowd::new();
    open_stalled(&mut crowd, CAPACITY / STEP_BYTES, STEP_BYTES);
    assert_eq!(crowd.receive_whole(ORDINARY), None);
    crowd.pass(STALL_TIMEOUT);
    assert!(crowd.receive_whole(ORDINARY).is_some());
}

#[test]
fn a_request_larger_than_the_memory_is_received_alone() {
    let mut crowd = Crowd::new();
    let id = crowd.receive_whole(CAPACITY * 2).expect("received");
    assert_eq!(crowd.receive_whole(LARGE), None);
    crowd.memory.close(id);
    crowd.retry_waiting();
    assert!(crowd.waiting.is_empty());
}

/// The most that a request may have can be any number.
#[test]
fn a_request_of_any_size_reserves_what_there_is() {
    let now = Instant::now();
    let mut memory = RequestMemory::new(CAPACITY);
    let id = memory.open(now);
    let outcome = memory.grow(id, LARGE, usize::MAX, now);
    assert_eq!(outcome.verdict, GrowthVerdict::Granted);
    assert!(memory.committed_bytes() <= CAPACITY);
    let other = memory.open(now);
    let outcome = memory.grow(other, ORDINARY, usize::MAX, now);
    assert_eq!(outcome.verdict, GrowthVerdict::Granted);
}

#[test]
fn a_request_that_has_arrived_is_never_evicted() {
    let mut crowd = Crowd::new();
    let mut arrived = Vec::new();
    while let Some(id) = crowd.receive_whole(LARGE) {
        arrived.push(id);
    }
    assert_eq!(arrived.len(), LARGE_FIT);
    crowd.pass(STALL_TIMEOUT * 2);
    for _ in 0..100 {
        crowd.receive_whole(LARGE);
        crowd.receive_whole(ORDINARY);
    }
    assert!(arrived.iter().all(|id| !crowd.refused.contains(id)));
}

/// Whatever arrives, no more than the capacity is committed, unless a single
/// large request has more, and all that is held is committed.
#[test]
fn any_schedule_keeps_the_capacity() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut crowd = Crowd::new();
        let mut arrived = BTreeMap::new();
        for _ in 0..2_000 {
            crowd.pass(Duration::from_millis(random.random_range(0..20)));
            let ids: Vec<u64> = crowd.arriving.keys().copied().collect();
            let chosen = ids.get(random.random_range(0..=ids.len()));
            match (random.random_range(0..10), chosen) {
                (0..=2, _) | (_, None) => {
                    crowd.open();
                }
                (3, Some(id)) if !crowd.waiting.contains(id) => {
                    arrived.insert(*id, crowd.arriving[id]);
                    crowd.finish(*id);
                }
                (4, _) => {
                    if let Some((id, _)) = arrived.pop_first() {
                        crowd.memory.close(id);
                    }
                }
                (5, _) => crowd.retry_waiting(),
                (_, Some(id)) => {
                    let bytes = random.random_range(1..LARGE / 4);
                    crowd.receive(*id, bytes);
                }
            }
            let shares = crowd.arriving.values().chain(arrived.values());
            let held: usize = shares.clone().sum();
            let committed = crowd.memory.committed_bytes();
            assert!(held <= committed, "seed {seed}: {held} {committed}");
            let large = shares.filter(|bytes| **bytes > SMALL_REQUEST_BYTES);
            let waiting = crowd.waiting.len();
            let is_bounded =
                committed <= CAPACITY || large.count() - waiting <= 1;
            assert!(is_bounded, "seed {seed}: {committed}");
        }
        for id in crowd.arriving.keys().chain(arrived.keys()) {
            crowd.memory.close(*id);
        }
        assert_eq!(crowd.memory.committed_bytes(), 0, "seed {seed}");
    }
}
