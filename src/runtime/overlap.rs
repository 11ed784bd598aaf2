//! Calls of which a late one does not hold up the next.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::Future,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

/// How far repeated calls overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverlapOptions {
    /// A call that takes longer is overdue, and another one begins.
    pub overdue_after: Duration,
    /// Time until a further call begins while others are overdue.
    pub extra_interval: Duration,
    /// Most calls under way at once.
    pub max_in_flight: usize,
}

/// An answer with the moment of its question.
///
/// What it says was true at some moment after the question. How long the
/// answer itself was on its way is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedAnswer<T> {
    /// When the call began.
    pub asked_at: Instant,
    /// The answer.
    pub value: T,
}

struct OverlapState<T> {
    answers: RefCell<VecDeque<TimedAnswer<T>>>,
    arrived: Notify,
    in_flight: Cell<usize>,
    /// When the newest call began, while it has no answer.
    pending: Cell<Option<Instant>>,
    /// Whether the newest call began beside others.
    is_extra: Cell<bool>,
}

/// Calls of the same kind, each in a task of its own.
///
/// On a link where packets wait, answers come late but they come. A reader
/// that gives each call up and begins anew gets none of them; one that
/// waits for each before it asks again is late by two round trips.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use magnoliahaven::runtime::{OverlapOptions, OverlappedCalls, block_on};
///
/// let calls = OverlappedCalls::new(OverlapOptions {
///     pub overdue_after: Duration::from_millis(50),
///     again: Duration::from_millis(20),
///     most: 2,
/// });
/// let answer = block_on(async { calls.next(|| Some(async { 7 })).await });
/// assert_eq!(answer.unwrap().value, 7);
/// ```
pub struct OverlappedCalls<T> {
    options: OverlapOptions,
    state: Rc<OverlapState<T>>,
}

impl<T: 'static> OverlappedCalls<T> {
    /// Creates a series of calls of which none has begun.
    pub fn new(options: OverlapOptions) -> OverlappedCalls<T> {
        let state = OverlapState {
            answers: RefCell::default(),
            arrived: Notify::new(),
            in_flight: Cell::new(0),
            pending: Cell::new(None),
            is_extra: Cell::new(false),
        };
        OverlappedCalls { options, state: Rc::new(state) }
    }

    /// How many calls are under way.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.get()
    }

    /// An answer that has arrived and was not taken yet.
    pub fn try_next(&self) -> Option<TimedAnswer<T>> {
        self.state.answers.borrow_mut().pop_front()
    }

    /// Waits for the next answer of any call.
    ///
    /// Begins a call unless one is under way that is not overdue. `make`
    /// returns `None` while the answer of a call is on its way.
    pub async fn next<F>(&self, make: impl Fn() -> Option<F>) -> TimedAnswer<T>
    where
        F: Future<Output = T> + 'static,
    {
        loop {
            let answer =
                self.next_within(self.options.overdue_after, &make).await;
            if let Some(answer) = answer {
                return answer;
            }
        }
    }

    /// The same for up to `time`. The calls go on.
    pub async fn next_within<F>(
        &self,
        time: Duration,
        make: impl Fn() -> Option<F>,
    ) -> Option<TimedAnswer<T>>
    where
        F: Future<Output = T> + 'static,
    {
        let until = Instant::now() + time;
        loop {
            if let Some(answer) = self.try_next() {
                return Some(answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let pause = self.begin_due(&make);
            monoio::select! {
                () = self.state.arrived.notified() => {}
                () = super::sleep(pause.min(left)) => {}
            }
        }
    }

    /// Begins a call if one is due, and returns the time to the next look.
    fn begin_due<F>(&self, make: impl Fn() -> Option<F>) -> Duration
    where
        F: Future<Output = T> + 'static,
    {
        if !self.is_due() {
            return self.time_left();
        }
        match make() {
            Some(call) => {
                self.begin(call);
                self.time_left()
            }
            None => self.options.extra_interval,
        }
    }

    fn is_due(&self) -> bool {
        let has_room = self.state.in_flight.get() < self.options.max_in_flight;
        has_room && self.time_left().is_zero()
    }

    /// Time until the newest call is overdue; zero if there is none.
    fn time_left(&self) -> Duration {
        let OverlapOptions { overdue_after, extra_interval, .. } =
            self.options;
        let overdue_after = if self.state.is_extra.get() {
            extra_interval
        } else {
            overdue_after
        };
        let pending = self.state.pending.get();
        let left =
            pending.map(|at| overdue_after.saturating_sub(at.elapsed()));
        let is_full = self.state.in_flight.get() >= self.options.max_in_flight;
        match left {
            Some(left) if !is_full || !left.is_zero() => left,
            None if !is_full => Duration::ZERO,
            _ => overdue_after,
        }
    }

    fn begin(&self, call: impl Future<Output = T> + 'static) {
        let state = self.state.clone();
        let asked_at = Instant::now();
        state.is_extra.set(state.in_flight.get() > 0);
        state.in_flight.set(state.in_flight.get() + 1);
        state.pending.set(Some(asked_at));
        monoio::spawn(async move {
            let value = call.await;
            state.in_flight.set(state.in_flight.get() - 1);
            if state.pending.get() == Some(asked_at) {
                state.pending.set(None);
            }
            let answer = TimedAnswer { asked_at, value };
            state.answers.borrow_mut().push_back(answer);
            state.arrived.notify_one();
        });
    }
}
