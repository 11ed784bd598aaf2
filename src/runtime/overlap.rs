//! Repeated calls that overlap if one of them is late.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::Future,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

/// Determines when a further call starts before the earlier ones have
/// ended, and the maximum number of calls in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverlapOptions {
    /// Time after which a call is overdue, so that another one starts.
    pub overdue_after: Duration,
    /// Time between the starts of further calls while earlier ones are
    /// overdue.
    pub extra_interval: Duration,
    /// Maximum number of calls in flight.
    pub max_in_flight: usize,
}

/// An answer with the start time of its call.
///
/// The start time is a lower bound of the time at which the answer was
/// current. The delay of the answer on the network is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedAnswer<T> {
    /// When the call started.
    pub requested_at: Instant,
    /// The answer.
    pub value: T,
}

struct OverlapState<T> {
    answers: RefCell<VecDeque<TimedAnswer<T>>>,
    arrived: Notify,
    in_flight: Cell<usize>,
    /// When the newest call started, while it has no answer.
    newest_started: Cell<Option<Instant>>,
    /// Whether other calls were in flight when the newest one started.
    is_extra: Cell<bool>,
}

/// A series of calls of the same kind, each in a task of its own.
///
/// On a congested link answers are late but not lost. A reader that cancels
/// a late call and starts it anew never gets an answer; one that waits for
/// each answer before the next call sees data that is two round trips old.
/// Overlapping calls avoid both.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use magnoliahaven::runtime::{OverlapOptions, OverlappedCalls, block_on};
///
/// let calls = OverlappedCalls::new(OverlapOptions {
///     overdue_after: Duration::from_millis(50),
///     extra_interval: Duration::from_millis(20),
///     max_in_flight: 2,
/// });
/// let answer = block_on(async { calls.next(|| Some(async { 7 })).await });
/// assert_eq!(answer.unwrap().value, 7);
/// ```
pub struct OverlappedCalls<T> {
    options: OverlapOptions,
    state: Rc<OverlapState<T>>,
}

/// A call in flight, which is over when this value is dropped.
struct CallFlight<'a, T> {
    state: &'a OverlapState<T>,
    requested_at: Instant,
}

impl<T> Drop for CallFlight<'_, T> {
    fn drop(&mut self) {
        let CallFlight { state, requested_at } = self;
        state.in_flight.set(state.in_flight.get() - 1);
        if state.newest_started.get() == Some(*requested_at) {
            state.newest_started.set(None);
        }
    }
}

impl<T: 'static> OverlappedCalls<T> {
    /// Creates a series without any call.
    pub fn new(options: OverlapOptions) -> OverlappedCalls<T> {
        let state = OverlapState {
            answers: RefCell::default(),
            arrived: Notify::new(),
            in_flight: Cell::new(0),
            newest_started: Cell::new(None),
            is_extra: Cell::new(false),
        };
        OverlappedCalls { options, state: Rc::new(state) }
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.get()
    }

    /// Returns the oldest answer that has arrived and was not returned yet.
    pub fn try_next(&self) -> Option<TimedAnswer<T>> {
        self.state.answers.borrow_mut().pop_front()
    }

    /// Waits for the next answer of any call.
    ///
    /// Starts a call with `make_call` unless one is in flight that is not
    /// overdue. `make_call` returns `None` to postpone the start, for
    /// example while an answer is being received.
    pub async fn next<F>(
        &self,
        make_call: impl Fn() -> Option<F>,
    ) -> TimedAnswer<T>
    where
        F: Future<Output = T> + 'static,
    {
        loop {
            let answer =
                self.next_within(self.options.overdue_after, &make_call).await;
            if let Some(answer) = answer {
                return answer;
            }
        }
    }

    /// Waits for the next answer as [`OverlappedCalls::next`], for up to
    /// `timeout`. The calls stay in flight after that.
    pub async fn next_within<F>(
        &self,
        timeout: Duration,
        make_call: impl Fn() -> Option<F>,
    ) -> Option<TimedAnswer<T>>
    where
        F: Future<Output = T> + 'static,
    {
        let until = Instant::now() + timeout;
        loop {
            if let Some(answer) = self.try_next() {
                return Some(answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let pause = self.start_due(&make_call);
            monoio::select! {
                () = self.state.arrived.notified() => {}
                () = super::sleep(pause.min(left)) => {}
            }
        }
    }

    /// Starts a call if one is due, and returns the time to the next check.
    fn start_due<F>(&self, make_call: impl Fn() -> Option<F>) -> Duration
    where
        F: Future<Output = T> + 'static,
    {
        if !self.is_due() {
            return self.time_to_overdue();
        }
        match make_call() {
            Some(call) => {
                self.start(call);
                self.time_to_overdue()
            }
            None => self.options.extra_interval,
        }
    }

    fn is_due(&self) -> bool {
        let has_room = self.state.in_flight.get() < self.options.max_in_flight;
        has_room && self.time_to_overdue().is_zero()
    }

    /// Returns the time until the newest call is overdue; zero if no call
    /// waits for an answer and another one may start.
    fn time_to_overdue(&self) -> Duration {
        let OverlapOptions { overdue_after, extra_interval, .. } =
            self.options;
        let overdue_after = if self.state.is_extra.get() {
            extra_interval
        } else {
            overdue_after
        };
        let started = self.state.newest_started.get();
        let left =
            started.map(|at| overdue_after.saturating_sub(at.elapsed()));
        let is_full = self.state.in_flight.get() >= self.options.max_in_flight;
        match left {
            Some(left) if !is_full || !left.is_zero() => left,
            None if !is_full => Duration::ZERO,
            _ => overdue_after,
        }
    }

    fn start(&self, call: impl Future<Output = T> + 'static) {
        let state = self.state.clone();
        let requested_at = Instant::now();
        state.is_extra.set(state.in_flight.get() > 0);
        state.in_flight.set(state.in_flight.get() + 1);
        state.newest_started.set(Some(requested_at));
        super::spawn("overlapped_call", async move {
            let value = {
                let _flight = CallFlight { state: &state, requested_at };
                call.await
            };
            let answer = TimedAnswer { requested_at, value };
            state.answers.borrow_mut().push_back(answer);
            state.arrived.notify_one();
        });
    }
}
