//! The timer service.
//!
//! Parts of a router that act at intervals subscribe here instead of
//! sleeping on their own. One task sleeps until the earliest deadline of all
//! subscribers. Periods are stretched by a random part of up to a tenth, so
//! that routers which start together do not act together for ever.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use {rand::Rng, tokio::sync::Notify};

/// The largest part of a period, in percent, that is added at random.
const JITTER_PERCENT: u32 = 10;

#[derive(Default)]
struct TimerState {
    deadlines: BTreeMap<(Instant, u64), Rc<Notify>>,
    last_id: u64,
}

/// Wakes its subscribers at their deadlines.
///
/// Clones share one state.
#[derive(Clone, Default)]
pub struct TimerService {
    state: Rc<RefCell<TimerState>>,
    changed: Rc<Notify>,
}

impl TimerService {
    /// Creates a service; [`TimerService::run`] has to run as a task.
    pub fn new() -> TimerService {
        TimerService::default()
    }

    /// Milliseconds since the epoch on this VM's clock.
    ///
    /// Clocks of VMs differ, so the value may decide when something happens
    /// but never whether tokens may be spent.
    pub fn now_ms() -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        // A clock before 1970 is treated as the epoch itself.
        elapsed.unwrap_or_default().as_millis() as u64
    }

    /// Subscribes to ticks about every `period`.
    pub fn subscribe(&self, period: Duration) -> TimerTicks {
        TimerTicks { service: self.clone(), period }
    }

    /// Completes after `delay`.
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

    /// Serves subscribers for as long as the task lives.
    pub async fn run(self) {
        loop {
            let next = self.wake_due();
            match next {
                None => self.changed.notified().await,
                Some(wait) => {
                    let changed = self.changed.notified();
                    // A time-out means that the deadline has come, which
                    // the next round finds out by itself.
                    let _ = monoio::time::timeout(wait, changed).await;
                }
            }
        }
    }

    /// Wakes due subscribers and returns the time to the next deadline.
    fn wake_due(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        while let Some(entry) = state.deadlines.first_entry() {
            let due = entry.key().0;
            if due > now {
                return Some(due - now);
            }
            entry.remove().notify_one();
        }
        None
    }
}

/// A subscription to regular ticks.
pub struct TimerTicks {
    service: TimerService,
    period: Duration,
}

impl TimerTicks {
    /// Completes at the next tick.
    pub async fn tick(&self) {
        let percent = rand::rng().random_range(0..=JITTER_PERCENT);
        let extra = self.period * percent / 100;
        self.service.sleep(self.period + extra).await;
    }
}
