//! The memory of requests, shared among the tasks of a process.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use {snafu::Snafu, tokio::sync::Notify};

use super::{GrowthVerdict, RequestMemory};
use crate::runtime::{InFlightCount, sleep};

/// Interval at which a waiting request looks for others that have stalled.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request cannot be received for lack of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "requests in progress have {committed} of {capacity} bytes of memory"
))]
pub struct MemoryShortage {
    /// Bytes that all requests hold or have reserved.
    pub committed: usize,
    /// Bytes that they may have.
    pub capacity: usize,
}

/// Tells the task of a request that the request was evicted, or that it may
/// have its turn.
#[derive(Default)]
struct LeaseSignal {
    is_evicted: Cell<bool>,
    wake: Notify,
}

struct PoolState {
    memory: RefCell<RequestMemory>,
    signals: RefCell<BTreeMap<u64, Rc<LeaseSignal>>>,
}

/// The memory of the requests of a process. Clones share it.
#[derive(Clone)]
pub struct MemoryPool {
    state: Rc<PoolState>,
    /// Refused requests of which the rest is read and dropped.
    pub(crate) drains: InFlightCount,
}

/// The memory of one request, which is free again when this value is
/// dropped.
pub struct MemoryLease {
    pool: MemoryPool,
    id: u64,
    signal: Rc<LeaseSignal>,
}

impl MemoryPool {
    /// Creates a pool of `capacity` bytes.
    pub fn new(capacity: usize) -> MemoryPool {
        let memory = RefCell::new(RequestMemory::new(capacity));
        let signals = RefCell::default();
        let state = Rc::new(PoolState { memory, signals });
        MemoryPool { state, drains: InFlightCount::new() }
    }

    /// Returns the bytes that all requests hold or have reserved.
    pub fn committed_bytes(&self) -> usize {
        self.state.memory.borrow().committed_bytes()
    }

    /// Creates the lease of a request that begins to arrive.
    pub fn open(&self) -> MemoryLease {
        let id = self.state.memory.borrow_mut().open(Instant::now());
        let signal = Rc::<LeaseSignal>::default();
        self.state.signals.borrow_mut().insert(id, signal.clone());
        MemoryLease { pool: self.clone(), id, signal }
    }

    fn shortage(&self) -> MemoryShortage {
        let memory = self.state.memory.borrow();
        let (committed, capacity) =
            (memory.committed_bytes(), memory.capacity());
        MemoryShortage { committed, capacity }
    }

    /// Wakes the task of a request; an evicted one is told so.
    fn wake(&self, id: u64, is_evicted: bool) {
        let signals = self.state.signals.borrow();
        let Some(signal) = signals.get(&id) else {
            return;
        };
        if is_evicted {
            signal.is_evicted.set(true);
        }
        signal.wake.notify_one();
    }

    /// Wakes the request that has the first turn.
    fn wake_first_waiting(&self) {
        let first = self.state.memory.borrow().first_waiting();
        if let Some(id) = first {
            self.wake(id, false);
        }
    }
}

impl MemoryLease {
    /// Sets the bytes that have arrived of the request, and the most that it
    /// may have in the end; returns `false` if it has to wait. Other requests
    /// may be evicted for it.
    ///
    /// # Errors
    ///
    /// Returns the shortage if the request has to be refused, or, if it has
    /// arrived in full, cannot hold more.
    pub fn try_grow(
        &self,
        bytes: usize,
        most: usize,
    ) -> Result<bool, MemoryShortage> {
        let mut memory = self.pool.state.memory.borrow_mut();
        let outcome = memory.grow(self.id, bytes, most, Instant::now());
        drop(memory);
        for id in outcome.evicted {
            self.pool.wake(id, true);
        }
        match outcome.verdict {
            GrowthVerdict::Granted => Ok(true),
            GrowthVerdict::Waits => Ok(false),
            GrowthVerdict::Refused => Err(self.pool.shortage()),
        }
    }

    /// Waits until the request may go on. The arguments are those of
    /// [`MemoryLease::try_grow`], which has returned `false`.
    ///
    /// # Errors
    ///
    /// Returns the shortage if the request has to be refused.
    pub async fn wait_turn(
        &self,
        bytes: usize,
        most: usize,
    ) -> Result<(), MemoryShortage> {
        while !self.try_grow(bytes, most)? {
            monoio::select! {
                () = self.signal.wake.notified() => {}
                () = sleep(CHECK_INTERVAL) => {}
            }
        }
        self.pool.wake_first_waiting();
        Ok(())
    }

    /// Records that the request has arrived in full and holds `bytes` bytes.
    /// It is not evicted any more.
    ///
    /// # Errors
    ///
    /// Returns the shortage if the request was evicted.
    pub fn finish(&self, bytes: usize) -> Result<(), MemoryShortage> {
        let mut memory = self.pool.state.memory.borrow_mut();
        let is_held = memory.finish(self.id, bytes);
        drop(memory);
        self.pool.wake_first_waiting();
        if is_held { Ok(()) } else { Err(self.pool.shortage()) }
    }

    /// Waits until the request is evicted, and returns the shortage.
    pub async fn wait_evicted(&self) -> MemoryShortage {
        while !self.signal.is_evicted.get() {
            self.signal.wake.notified().await;
        }
        self.pool.shortage()
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let PoolState { memory, signals } = self.pool.state.as_ref();
        memory.borrow_mut().close(self.id);
        signals.borrow_mut().remove(&self.id);
        self.pool.wake_first_waiting();
    }
}
