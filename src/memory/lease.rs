//! The memory of requests, shared among the tasks of a process.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Instant,
};

use {snafu::Snafu, tokio::sync::Notify};

use super::RequestMemory;

/// A request cannot be received for lack of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "requests in progress hold {held} of {capacity} bytes of memory"
))]
pub struct MemoryShortage {
    /// Bytes that all requests hold.
    pub held: usize,
    /// Bytes that they may hold.
    pub capacity: usize,
}

/// Tells the task of a request that the request was evicted.
#[derive(Default)]
struct EvictionSignal {
    is_evicted: Cell<bool>,
    notify: Notify,
}

struct PoolState {
    memory: RefCell<RequestMemory>,
    signals: RefCell<BTreeMap<u64, Rc<EvictionSignal>>>,
}

/// The memory of the requests of a process. Clones share it.
#[derive(Clone)]
pub struct MemoryPool {
    state: Rc<PoolState>,
}

/// The memory of one request, which is free again when this value is
/// dropped.
pub struct MemoryLease {
    pool: MemoryPool,
    id: u64,
    signal: Rc<EvictionSignal>,
}

impl MemoryPool {
    /// Creates a pool of `capacity` bytes.
    pub fn new(capacity: usize) -> MemoryPool {
        let memory = RefCell::new(RequestMemory::new(capacity));
        let signals = RefCell::default();
        MemoryPool { state: Rc::new(PoolState { memory, signals }) }
    }

    /// Returns the bytes that all requests hold.
    pub fn held_bytes(&self) -> usize {
        self.state.memory.borrow().held_bytes()
    }

    /// Creates the lease of a request that begins to arrive.
    pub fn open(&self) -> MemoryLease {
        let id = self.state.memory.borrow_mut().open(Instant::now());
        let signal = Rc::<EvictionSignal>::default();
        self.state.signals.borrow_mut().insert(id, signal.clone());
        MemoryLease { pool: self.clone(), id, signal }
    }

    fn shortage(&self) -> MemoryShortage {
        let memory = self.state.memory.borrow();
        let (held, capacity) = (memory.held_bytes(), memory.capacity());
        MemoryShortage { held, capacity }
    }
}

impl MemoryLease {
    /// Sets the bytes that the request holds. Other requests may be evicted
    /// for them.
    ///
    /// # Errors
    ///
    /// Returns the shortage if the request has to be refused, or, if it has
    /// arrived in full, cannot hold more.
    pub fn grow(&self, bytes: usize) -> Result<(), MemoryShortage> {
        let PoolState { memory, signals } = self.pool.state.as_ref();
        let outcome = memory.borrow_mut().grow(self.id, bytes, Instant::now());
        let signals = signals.borrow();
        for id in &outcome.evicted {
            if let Some(signal) = signals.get(id) {
                signal.is_evicted.set(true);
                signal.notify.notify_one();
            }
        }
        if outcome.is_granted { Ok(()) } else { Err(self.pool.shortage()) }
    }

    /// Records that the request has arrived in full. It is not evicted any
    /// more.
    ///
    /// # Errors
    ///
    /// Returns the shortage if the request was evicted.
    pub fn finish(&self) -> Result<(), MemoryShortage> {
        if self.pool.state.memory.borrow_mut().finish(self.id) {
            return Ok(());
        }
        Err(self.pool.shortage())
    }

    /// Waits until the request is evicted, and returns the shortage.
    pub async fn wait_evicted(&self) -> MemoryShortage {
        while !self.signal.is_evicted.get() {
            self.signal.notify.notified().await;
        }
        self.pool.shortage()
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let PoolState { memory, signals } = self.pool.state.as_ref();
        memory.borrow_mut().close(self.id);
        signals.borrow_mut().remove(&self.id);
    }
}
