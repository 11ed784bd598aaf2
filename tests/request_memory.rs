//! Which requests are refused when the memory for requests is short.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use {
    magnoliahaven::memory::{
        RequestMemory, SMALL_REQUEST_BYTES, STALL_TIMEOUT,
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

/// Bytes that arrive at once.
const STEP_BYTES: usize = 16 * 1024;

/// Requests that arrive in steps, as they were opened.
struct Crowd {
    memory: RequestMemory,
    now: Instant,
    arriving: BTreeMap<u64, usize>,
    refused: Vec<u64>,
}

impl Crowd {
    fn new() -> Crowd {
        Crowd {
            memory: RequestMemory::new(CAPACITY),
            now: Instant::now(),
            arriving: BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    fn open(&mut self) -> u64 {
        let id = self.memory.open(self.now);
        self.arriving.insert(id, 0);
        id
    }

    /// Lets bytes of a request arrive; returns `false` if it is refused.
    fn receive(&mut self, id: u64, bytes: usize) -> bool {
        let Some(held) = self.arriving.get_mut(&id) else {
            return false;
        };
        *held += bytes;
        let outcome = self.memory.grow(id, *held, self.now);
        for evicted in outcome.evicted {
            self.refuse(evicted);
        }
        if !outcome.is_granted {
            self.refuse(id);
        }
        outcome.is_granted
    }

    fn refuse(&mut self, id: u64) {
        self.arriving.remove(&id);
        self.refused.push(id);
    }

    /// Lets a whole request arrive; returns its identifier unless it is
    /// refused.
    fn receive_whole(&mut self, bytes: usize) -> Option<u64> {
        let id = self.open();
        for start in (0..bytes).step_by(STEP_BYTES) {
            if !self.receive(id, STEP_BYTES.min(bytes - start)) {
                return None;
            }
        }
        self.arriving.remove(&id);
        self.memory.finish(id).then_some(id)
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }
}

/// Opens requests that stop just short of their end until one is refused.
fn fill_with_stalled(crowd: &mut Crowd, bytes: usize) -> usize {
    let mut count = 0;
    while crowd.refused.is_empty() {
        let id = crowd.open();
        for _ in 0..bytes / STEP_BYTES {
            crowd.receive(id, STEP_BYTES);
        }
        count += 1;
    }
    crowd.refused.clear();
    count
}

/// The load: a crowd of large bodies stalls. A single large request is
/// served as soon as these count as stalled, at the cost of the one that has
/// stalled longest.
#[test]
fn a_stalled_crowd_makes_way_for_a_large_request() {
    let mut crowd = Crowd::new();
    fill_with_stalled(&mut crowd, LARGE - STEP_BYTES);
    assert_eq!(crowd.receive_whole(LARGE), None);
    crowd.refused.clear();
    crowd.pass(STALL_TIMEOUT);
    assert!(crowd.receive_whole(LARGE).is_some());
    assert_eq!(crowd.refused, [0]);
}

/// The load: the stalled crowd sends a byte now and then.
#[test]
fn a_byte_now_and_then_is_no_progress() {
    let mut crowd = Crowd::new();
    fill_with_stalled(&mut crowd, LARGE - STEP_BYTES);
    let ids: Vec<u64> = crowd.arriving.keys().copied().collect();
    for _ in 0..10 {
        crowd.pass(STALL_TIMEOUT / 10);
        for id in &ids {
            assert!(crowd.memory.held_bytes() < CAPACITY);
            let held = crowd.arriving.get_mut(id).expect("request");
            *held += 1;
            crowd.memory.grow(*id, *held, crowd.now);
        }
    }
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
            continue;
        }
        let id = crowd.open();
        for _ in 0..LARGE / STEP_BYTES - 1 {
            crowd.receive(id, STEP_BYTES);
        }
    }
    for _ in 0..100 {
        assert!(crowd.receive_whole(ORDINARY).is_some());
    }
}

/// The load: many large bodies arrive side by side, more than there is
/// memory for. The oldest arrive in full; it is the newest that are refused.
#[test]
fn the_oldest_of_a_live_crowd_arrive() {
    let mut crowd = Crowd::new();
    let ids: Vec<u64> = (0..64).map(|_| crowd.open()).collect();
    for _ in 0..LARGE / STEP_BYTES {
        crowd.pass(Duration::from_millis(2));
        for id in &ids {
            crowd.receive(*id, STEP_BYTES);
        }
    }
    let arrived: Vec<u64> = crowd.arriving.keys().copied().collect();
    let most = CAPACITY * 3 / 4 / LARGE;
    assert_eq!(arrived.len(), most);
    assert_eq!(arrived, ids[..most]);
}

/// The load: large bodies come without end, faster than they are served. As
/// many are under way at any time as there is memory for.
#[test]
fn a_steady_overload_of_large_requests_is_served_at_full_capacity() {
    let mut crowd = Crowd::new();
    let mut arrived = 0;
    let mut opened = 0;
    for step in 0..10_000 {
        crowd.pass(Duration::from_millis(1));
        // A body takes 256 steps, so that 26 would be under way.
        if step % 10 == 0 {
            crowd.open();
            opened += 1;
        }
        let ids: Vec<u64> = crowd.arriving.keys().copied().collect();
        for id in ids {
            if !crowd.receive(id, STEP_BYTES) || crowd.arriving[&id] < LARGE {
                continue;
            }
            arrived += 1;
            crowd.arriving.remove(&id);
            crowd.memory.close(id);
        }
    }
    // Seven bodies fit beside each other, and each takes 256 steps.
    let possible = 10_000 / 256 * 7;
    assert!(arrived * 10 >= possible * 8, "{arrived} of {opened} arrived");
}

/// The load: many heads that do not end.
#[test]
fn a_small_request_is_served_beside_stalled_heads() {
    let mut crowd = Crowd::new();
    let count = fill_with_stalled(&mut crowd, STEP_BYTES);
    assert!(count > CAPACITY / STEP_BYTES - 2, "{count}");
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
    assert!(crowd.receive_whole(LARGE).is_some());
}

#[test]
fn a_request_that_has_arrived_is_never_evicted() {
    let mut crowd = Crowd::new();
    let mut arrived = Vec::new();
    while let Some(id) = crowd.receive_whole(LARGE) {
        arrived.push(id);
    }
    crowd.pass(STALL_TIMEOUT * 2);
    for _ in 0..100 {
        crowd.receive_whole(LARGE);
        crowd.receive_whole(ORDINARY);
    }
    assert!(arrived.iter().all(|id| !crowd.refused.contains(id)));
}

/// Whatever arrives, the memory holds no more than its capacity, unless a
/// single large request does, and counts what is held.
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
                (3, Some(id)) => {
                    let bytes = crowd.arriving.remove(id);
                    assert!(crowd.memory.finish(*id));
                    arrived.insert(*id, bytes.expect("request"));
                }
                (4, _) => {
                    if let Some((id, _)) = arrived.pop_first() {
                        crowd.memory.close(id);
                    }
                }
                (_, Some(id)) => {
                    let bytes = random.random_range(1..LARGE / 4);
                    crowd.receive(*id, bytes);
                }
            }
            let shares = crowd.arriving.values().chain(arrived.values());
            let held: usize = shares.clone().sum();
            assert_eq!(crowd.memory.held_bytes(), held, "seed {seed}");
            let large = shares.filter(|bytes| **bytes > SMALL_REQUEST_BYTES);
            let is_bounded = held <= CAPACITY || large.count() <= 1;
            assert!(is_bounded, "seed {seed}: {held}");
        }
    }
}
