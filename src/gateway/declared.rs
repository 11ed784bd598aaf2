//! What a gateway knows of the operators' declarations.
//!
//! A gateway reads them from the platform's store. Its way there may be
//! slow or cut while that of others is not, and the declarations then
//! change without its knowledge. [`DeclarationTracker`] keeps since when that
//! may be so, and whether another router has newer ones. It does no I/O.
//!
//! * Declarations that were confirmed lately are in force: what they do not
//!   know is refused for good.
//! * Older ones are doubted, and other routers are asked. What they know is
//!   still served: if nobody can confirm them, nobody can change them
//!   either, or this router alone is cut off and its callers have no other.
//! * Declarations are outdated once another router has gone by newer ones
//!   for a while, or if the last answer was late, as on a link where packets
//!   wait, and is too old by now. Nothing is served by them any more.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::ports::DeclaredState;

/// Declarations that were confirmed within this time are those in force: a
/// change has to be within 2 s. Reads of them wait for 0.5 s each.
const FRESH_WINDOW: Duration = Duration::from_millis(1_500);

/// Declarations that were not confirmed for this time are doubted. Two
/// reads in a row should have come by then.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(1_100);

/// Newer declarations that have been in force elsewhere for this time bind
/// a router that does not know them. The rest of the 2 s is for the time
/// after which the other router had them.
const SUPERSEDED_GRACE: Duration = Duration::from_millis(1_000);

/// Longest time after which a change has to be in force.
const MAX_APPLY_DELAY: Duration = Duration::from_millis(2_000);

/// Where answers were late and none comes for this time, the store is out or
/// this router cut off, and not only its link full.
const OUTAGE_GAP: Duration = Duration::from_secs(10);

/// An answer that is older when it comes was current up on its way. Reads wait
/// for 0.5 s at the store.
const LATE_ANSWER_AGE: Duration = Duration::from_millis(1_000);

/// The declarations that a router goes by.
#[derive(Clone, Debug)]
struct CurrentDeclaration {
    version: u64,
    text: Rc<str>,
    since: Instant,
}

/// Declarations that only others know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewerDeclaration {
    /// The newest version that was heard of.
    pub version: u64,
    /// Since when something newer is in force at another router.
    pub since: Instant,
}

/// Why nothing is served by the declarations of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReason {
    /// Newer ones are in force elsewhere.
    Superseded(NewerDeclaration),
    /// They were in force that long ago, and may have changed since.
    LateAnswers(Duration),
}

/// How far the declarations of a router can be relied on.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::gateway::DeclarationTracker;
///
/// let start = Instant::now();
/// let mut tracker = DeclarationTracker::new();
/// tracker.adopt(3, "{}".into(), start);
/// tracker.record_store_answer(start, start);
/// assert!(tracker.is_fresh(start + Duration::from_secs(1)));
/// tracker.record_newer(4, start + Duration::from_secs(1));
/// let later = start + Duration::from_secs(3);
/// assert!(tracker.staleness(later).is_some());
/// tracker.adopt(4, "{}".into(), later);
/// assert!(tracker.staleness(later).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct DeclarationTracker {
    current: Option<CurrentDeclaration>,
    confirmed_at: Option<Instant>,
    answered_at: Option<Instant>,
    newer: Option<NewerDeclaration>,
}

impl DeclarationTracker {
    /// Creates the tracker of a router that knows no declarations.
    pub fn new() -> DeclarationTracker {
        DeclarationTracker::default()
    }

    /// The version that the router goes by.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|current| current.version)
    }

    /// Takes declarations into force.
    pub fn adopt(&mut self, version: u64, text: Rc<str>, now: Instant) {
        self.current = Some(CurrentDeclaration { version, text, since: now });
        self.newer = self.newer.filter(|newer| newer.version > version);
    }

    /// Notes an answer of the store that came at `now`: the declarations
    /// here were the newest ones at `at`, when it was asked.
    pub fn record_store_answer(&mut self, at: Instant, now: Instant) {
        self.answered_at = self.answered_at.max(Some(now));
        self.record_peer_confirmation(at);
    }

    /// Notes that another router had the same declarations confirmed at `at`.
    pub fn record_peer_confirmation(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.newer = self.newer.filter(|newer| newer.since > at);
    }

    /// Notes that another router goes by a newer version since a moment.
    pub fn record_newer(&mut self, version: u64, since: Instant) {
        if self.version().is_some_and(|current| current >= version) {
            return;
        }
        let newer = NewerDeclaration { version, since };
        // What is missing here is missing since the first of them.
        let known = self.newer.unwrap_or(newer);
        self.newer = Some(NewerDeclaration {
            version: known.version.max(version),
            since: known.since.min(since),
        });
    }

    /// How long ago the declarations were confirmed; `None` if never.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = self.confirmed_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Whether the declarations are those in force.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < FRESH_WINDOW)
    }

    /// Whether other routers should be asked.
    pub fn needs_confirmation(&self, now: Instant) -> bool {
        let is_recent =
            self.age(now).is_some_and(|age| age < CONFIRMATION_DELAY);
        self.current.is_none() || self.newer.is_some() || !is_recent
    }

    /// Why nothing may be served by the declarations here; `None` if it may.
    pub fn staleness(&self, now: Instant) -> Option<StaleReason> {
        if let Some(newer) = self.newer {
            let known_for = now.saturating_duration_since(newer.since);
            if known_for >= SUPERSEDED_GRACE {
                return Some(StaleReason::Superseded(newer));
            }
        }
        let age = self.age(now)?;
        let gap = now.saturating_duration_since(self.answered_at?);
        // How old the last answer was when it came.
        let was_late = age.saturating_sub(gap) >= LATE_ANSWER_AGE;
        let is_stale = was_late && gap < OUTAGE_GAP && age >= MAX_APPLY_DELAY;
        is_stale.then_some(StaleReason::LateAnswers(age))
    }

    /// What another router is told, with the text if that is newer than
    /// `text_after`.
    pub fn state(
        &self,
        now: Instant,
        text_after: Option<u64>,
    ) -> Option<DeclaredState> {
        let current = self.current.as_ref()?;
        let wants_text =
            text_after.is_some_and(|after| current.version > after);
        Some(DeclaredState {
            version: current.version,
            age: self.age(now)?,
            in_force: now.saturating_duration_since(current.since),
            text: wants_text.then(|| current.text.to_string()),
        })
    }
}
