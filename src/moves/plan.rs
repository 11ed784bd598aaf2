//! When a move takes its next step.

use super::{MoveState, MoveStep};

/// Shares of the new version after the canary, in percent.
const RAMP_SHARES: [u32; 2] = [25, 50];

/// Requests of the new version that allow the next step early.
const EARLY_REQUESTS: u64 = 50;

/// A step lasts at least this part of the time until the deadline.
const LEAST_PART: u64 = 20;

/// A step lasts at most this part of the time until the deadline, so that
/// three steps leave two fifths of it for a driver that fails.
const LARGEST_PART: u64 = 5;

/// The schedule of a move.
#[derive(Clone, Copy, Debug)]
pub struct MovePlan {
    canary: u32,
}

impl MovePlan {
    /// Creates a plan that begins with `canary` percent.
    pub fn new(canary: u32) -> MovePlan {
        MovePlan { canary }
    }

    /// The next step and share, if it is time for one.
    ///
    /// `requests` counts what the new version has served without a fault.
    /// A version that gets no requests moves on by time alone, because
    /// there is nothing that could speak against it.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::moves::{
    ///     MovePlan, MoveStartRecord, MoveState, MoveStep,
    /// };
    ///
    /// let start = MoveStartRecord {
    ///     service: "chat".to_owned(),
    ///     from: "v1".to_owned(),
    ///     to: "v2".to_owned(),
    ///     deadline_ms: 60_000,
    ///     who: "ana".to_owned(),
    /// };
    /// let state = MoveState::new(start, 0);
    /// let plan = MovePlan::new(5);
    /// assert_eq!(plan.next_step(&state, 0, 0), Some((MoveStep::Canary, 5)));
    /// ```
    pub fn next_step(
        &self,
        state: &MoveState,
        requests: u64,
        now_ms: u64,
    ) -> Option<(MoveStep, u32)> {
        if !state.is_active() {
            return None;
        }
        if state.step == MoveStep::Planned {
            return Some((MoveStep::Canary, self.canary));
        }
        let total = state.start.deadline_ms.saturating_sub(state.start_ms);
        let lasted = now_ms.saturating_sub(state.step_ms);
        let early = requests >= EARLY_REQUESTS;
        let part = if early { LEAST_PART } else { LARGEST_PART };
        if lasted < total / part {
            return None;
        }
        for share in RAMP_SHARES {
            if share > state.share {
                return Some((MoveStep::Ramping, share));
            }
        }
        Some((MoveStep::Done, 100))
    }
}
