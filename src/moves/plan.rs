//! The schedule of the steps of a move.

use super::{MoveEvidence, MoveState, MoveStep, Verdict};

/// Shares of the new version after the canary step, in percent.
const RAMP_SHARES: [u32; 2] = [25, 50];

/// Number of requests of the new version after which the minimum duration of
/// a step applies instead of the maximum.
const EARLY_STEP_REQUESTS: u64 = 50;

/// A step lasts at least the time from start to deadline divided by this.
const MIN_STEP_DIVISOR: u64 = 20;

/// A step lasts at most the time from start to deadline divided by this, so
/// that three steps leave two fifths of it in reserve for a failure of the
/// lease holder.
const MAX_STEP_DIVISOR: u64 = 5;

/// The schedule of a move.
#[derive(Clone, Copy, Debug)]
pub struct MovePlan {
    canary_percent: u32,
}

impl MovePlan {
    /// Creates a plan with the given share for the canary step.
    pub fn new(canary_percent: u32) -> MovePlan {
        MovePlan { canary_percent }
    }

    /// Returns the next step and its share, if it is due.
    ///
    /// `evidence` is that of the whole move, not of the step. A version
    /// without requests advances by time alone, because there is nothing to
    /// compare. One that is probably bad does not advance, and is rolled back
    /// at the deadline at the latest.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::moves::{
    ///     MoveEvidence, MovePlan, MoveStartRecord, MoveState, MoveStep,
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
    /// let evidence = MoveEvidence::default();
    /// let next = plan.next_step(&state, &evidence, 0);
    /// assert_eq!(next, Some((MoveStep::Canary, 5)));
    /// ```
    pub fn next_step(
        &self,
        state: &MoveState,
        evidence: &MoveEvidence,
        now_ms: u64,
    ) -> Option<(MoveStep, u32)> {
        if !state.is_active() {
            return None;
        }
        if state.step == MoveStep::Planned {
            return Some((MoveStep::Canary, self.canary_percent));
        }
        let total = state.start.deadline_ms.saturating_sub(state.start_ms);
        let elapsed = now_ms.saturating_sub(state.step_ms);
        let early = evidence.new.requests() >= EARLY_STEP_REQUESTS;
        let divisor = if early { MIN_STEP_DIVISOR } else { MAX_STEP_DIVISOR };
        if elapsed < total / divisor {
            return None;
        }
        if evidence.advance_verdict() != Verdict::Pass {
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
