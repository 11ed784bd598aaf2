//! The number of calls in flight.

use std::{cell::Cell, rc::Rc};

/// Counts calls in flight. Clones share one count.
///
/// A call is over when its guard is dropped, so that a call that panics or is
/// cancelled is not counted forever.
///
/// # Example
///
/// ```
/// use magnoliahaven::runtime::InFlightCount;
///
/// let count = InFlightCount::new();
/// let guard = count.start();
/// assert_eq!(count.get(), 1);
/// drop(guard);
/// assert_eq!(count.get(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InFlightCount(Rc<Cell<usize>>);

/// A call in flight, which is over when this value is dropped.
#[derive(Debug)]
pub struct InFlightGuard(InFlightCount);

impl InFlightCount {
    /// Creates the count of a series without any call.
    pub fn new() -> InFlightCount {
        InFlightCount::default()
    }

    /// Returns the number of calls in flight.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts a call that starts now.
    pub fn start(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let InFlightGuard(InFlightCount(count)) = self;
        count.set(count.get() - 1);
    }
}
