//! Timers for the periodic tasks of a router.
//!
//! All periodic tasks share one timer service instead of sleeping on their
//! own. A single task sleeps until the earliest deadline and wakes the tasks
//! that wait for it. Each period is extended by a random jitter of up to
//! 10 %, so that routers which start at the same time do not stay
//! synchronized.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use {rand::Rng, tokio::sync::Notify};

/// The maximum random extension of a period, in percent.
const MAX_JITTER_PERCENT: u32 = 10;

#[derive(Default)]
struct TimerState {
    deadlines: BTreeMap<(Instant, u64), Rc<Notify>>,
    last_id: u64,
}

/// Wakes sleeping tasks at their deadlines.
///
/// Clones share the same state.
#[derive(Clone, Default)]
pub struct TimerService {
    state: Rc<RefCell<TimerState>>,
    changed: Rc<Notify>,
}

impl TimerService {
    /// Creates a service. It works only while [`TimerService::run`] runs as
    /// a task.
    pub fn new() -> TimerService {
        TimerService::default()
    }

    /// Returns the time of this VM's clock in milliseconds since the Unix
    /// epoch.
    ///
    /// The clocks of VMs differ, so this value may schedule work, but no
    /// decision to spend tokens may depend on it.
    pub fn now_ms() -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        // A clock set before 1970 counts as the epoch itself.
        elapsed.unwrap_or_default().as_millis() as u64
    }

    /// Returns an interval that ticks about every `period`.
    pub fn interval(&self, period: Duration) -> Interval {
        Interval { service: self.clone(), period }
    }

    /// Sleeps for `delay`.
    pub async fn sleep(&self, delay: Duration) {
        let notify = Rc::new(Notify::new());
        {
            let mut state = self.state.borrow_mut();
            state.last_id += 1;
            let key = (Instant::now() + delay, state.last_id);
            state.deadlines.insert(key, notify.clone());
        }
        self.changed.notify_one();
        notify.notified().await;
    }

    /// Wakes tasks at their deadlines. Never returns.
    pub async fn run(self) {
        loop {
            let next = self.wake_expired();
            match next {
                None => self.changed.notified().await,
                Some(wait) => {
                    let changed = self.changed.notified();
                    // After a timeout, the next iteration wakes the task
                    // whose deadline has passed.
                    let _ = monoio::time::timeout(wait, changed).await;
                }
            }
        }
    }

    /// Wakes tasks whose deadline has passed and returns the time to the
    /// next deadline.
    fn wake_expired(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        while let Some(entry) = state.deadlines.first_entry() {
            let deadline = entry.key().0;
            if deadline > now {
                return Some(deadline - now);
            }
            entry.remove().notify_one();
        }
        None
    }
}

/// A timer that ticks about once per period; created by
/// [`TimerService::interval`].
pub struct Interval {
    service: TimerService,
    period: Duration,
}

impl Interval {
    /// Sleeps until the next tick, one period plus jitter from now.
    pub async fn tick(&self) {
        let percent = rand::rng().random_range(0..=MAX_JITTER_PERCENT);
        let jitter = self.period * percent / 100;
        self.service.sleep(self.period + jitter).await;
    }
}
