//! Tracks whether a gateway's copy of the declarations is current.
//!
//! A gateway reads the operators' declarations from the platform's store.
//! Its link to the store may be slow or down while those of other routers
//! work. The declarations can then change without its knowledge.
//! [`DeclarationTracker`] records when they were last confirmed and whether
//! another router has newer ones. It does no I/O. Declarations are in one
//! of three states:
//!
//! * Fresh: they were confirmed recently. A request for a route or key that
//!   they lack fails permanently.
//! * Unconfirmed: other routers are asked. Requests are still served. If no
//!   router can reach the store, nobody can change the declarations either.
//!   If this router alone is cut off, its callers have no other router.
//! * Stale: another router has used newer declarations for a while, or the
//!   store has newer ones that could not be read in time, or its last answer
//!   was delayed, as on a congested link, and is too old by now. All requests
//!   are rejected.

use std::time::{Duration, Instant};

use crate::{
    catalog::PackedText,
    ports::{DeclaredState, TopicPosition},
};

/// Time within which a change must be in force everywhere, unless the
/// settings say otherwise.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Declarations are fresh after a confirmation for this part of the apply
/// time. The rest covers a read, which waits up to 0.5 s at the store.
const FRESH_FRACTION: f64 = 0.75;

/// Age from which other routers are asked to confirm the declarations, as a
/// part of the apply time. Two consecutive reads should have completed by
/// then.
const CONFIRMATION_FRACTION: f64 = 0.55;

/// Declarations are stale once another router has used newer ones for this
/// part of the apply time. The rest covers the time until the other router
/// had them.
const SUPERSEDED_FRACTION: f64 = 0.5;

/// If the store has been silent for this long, it is down or this router is
/// cut off, rather than its link congested. A refusal is not silence: a store
/// that refuses reads may still accept changes.
const OUTAGE_GAP: Duration = Duration::from_secs(10);

/// An answer that is older than this on arrival was delayed in transit. Reads
/// wait up to 0.5 s at the store.
const LATE_ANSWER_AGE: Duration = Duration::from_millis(1_000);

/// The declarations that a router uses.
#[derive(Clone, Debug)]
struct CurrentDeclaration {
    version: u64,
    text: PackedText,
    since: Instant,
}

/// Records of the operators' topic that this router has not read, and which
/// may hold newer declarations.
#[derive(Clone, Copy, Debug)]
struct UnreadRecords {
    /// The position after the last of them.
    end: TopicPosition,
    /// Since when the router is behind, or when it last caught up in part.
    since: Instant,
}

/// Newer declarations that this router has not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewerDeclaration {
    /// The newest version that another router has reported.
    pub version: u64,
    /// When another router first used a version that is newer than the one
    /// here.
    pub since: Instant,
}

/// Why a router rejects all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReason {
    /// Another router uses newer declarations.
    Superseded(NewerDeclaration),
    /// The store has newer declarations that are not known here; those known
    /// were confirmed this long ago.
    Unread(Duration),
    /// The store answers late; the declarations were confirmed this long ago
    /// and may have changed since.
    LateAnswers(Duration),
}

impl StaleReason {
    /// Returns the name of the reason in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            StaleReason::Superseded(_) => "superseded",
            StaleReason::Unread(_) => "unread",
            StaleReason::LateAnswers(_) => "late_answers",
        }
    }
}

/// Tracks whether the declarations of a router are fresh, unconfirmed or
/// stale.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::{catalog::PackedText, gateway::DeclarationTracker};
///
/// let start = Instant::now();
/// let text = PackedText::pack("{}");
/// let mut tracker = DeclarationTracker::new();
/// tracker.adopt(3, text.clone(), start);
/// tracker.record_store_answer(start, start);
/// assert!(tracker.is_fresh(start + Duration::from_secs(1)));
/// tracker.record_newer(4, start + Duration::from_secs(1));
/// let later = start + Duration::from_secs(3);
/// assert!(tracker.staleness(later).is_some());
/// tracker.adopt(4, text, later);
/// assert!(tracker.staleness(later).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct DeclarationTracker {
    /// Time within which a change must be in force everywhere.
    apply_time: Duration,
    current: Option<CurrentDeclaration>,
    /// When the declarations were last known to be in force.
    confirmed_at: Option<Instant>,
    /// When the last answer of the store arrived.
    answered_at: Option<Instant>,
    /// When the store last refused a read.
    refused_at: Option<Instant>,
    newer: Option<NewerDeclaration>,
    /// The position up to which there are no newer declarations.
    position: Option<TopicPosition>,
    unread: Option<UnreadRecords>,
}

impl DeclarationTracker {
    /// Creates the tracker of a router that knows no declarations.
    pub fn new() -> DeclarationTracker {
        DeclarationTracker {
            apply_time: APPLY_TIME,
            current: None,
            confirmed_at: None,
            answered_at: None,
            refused_at: None,
            newer: None,
            position: None,
            unread: None,
        }
    }

    /// Sets the time within which a change must be in force everywhere.
    pub fn with_apply_time(
        mut self,
        apply_time: Duration,
    ) -> DeclarationTracker {
        self.apply_time = apply_time;
        self
    }

    /// Returns the version that the router uses.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|current| current.version)
    }

    /// Replaces the declarations that the router uses.
    pub fn adopt(&mut self, version: u64, text: PackedText, now: Instant) {
        self.current = Some(CurrentDeclaration { version, text, since: now });
        self.newer = self.newer.filter(|newer| newer.version > version);
        if let Some(unread) = &mut self.unread {
            unread.since = now;
        }
    }

    /// Records that there are no declarations before `position` that are
    /// newer than those here.
    pub fn advance(&mut self, position: TopicPosition) {
        self.position = self.position.max(Some(position));
        self.unread = self.unread.filter(|unread| unread.end > position);
    }

    /// Records an answer of the store that arrived at `now`: its topic ends
    /// at `end`, and there may be newer declarations before that.
    pub fn record_unread(&mut self, end: TopicPosition, now: Instant) {
        self.answered_at = self.answered_at.max(Some(now));
        if self.position >= Some(end) {
            return;
        }
        let known = self.unread.unwrap_or(UnreadRecords { end, since: now });
        let end = known.end.max(end);
        self.unread = Some(UnreadRecords { end, ..known });
    }

    /// Returns for how long this router has known of newer declarations
    /// without getting any; `None` if it knows of none.
    pub fn behind_for(&self, now: Instant) -> Option<Duration> {
        let unread = self.unread.map(|unread| unread.since);
        let newer = self.newer.map(|newer| newer.since);
        let since = [unread, newer].into_iter().flatten().min()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records an answer of the store that arrived at `now`. The declarations
    /// here were the newest ones at `at`, when the read began.
    pub fn record_store_answer(&mut self, at: Instant, now: Instant) {
        self.answered_at = self.answered_at.max(Some(now));
        self.record_peer_confirmation(at);
    }

    /// Records that the store refused a read.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refused_at = self.refused_at.max(Some(now));
    }

    /// Records that another router had the same declarations confirmed at
    /// `at`; returns `false` if a later confirmation was known.
    pub fn record_peer_confirmation(&mut self, at: Instant) -> bool {
        self.newer = self.newer.filter(|newer| newer.since > at);
        let is_later = self.confirmed_at < Some(at);
        self.confirmed_at = self.confirmed_at.max(Some(at));
        is_later
    }

    /// Records that another router has used a newer version since `since`;
    /// returns `false` if that or a newer one was known.
    pub fn record_newer(&mut self, version: u64, since: Instant) -> bool {
        if self.version().is_some_and(|current| current >= version) {
            return false;
        }
        let newer = NewerDeclaration { version, since };
        let was_unknown = self.newer.is_none_or(|n| n.version < version);
        // This router has been behind since the first of the newer versions.
        let known = self.newer.unwrap_or(newer);
        self.newer = Some(NewerDeclaration {
            version: known.version.max(version),
            since: known.since.min(since),
        });
        was_unknown
    }

    /// Returns the time since the last confirmation, or `None` if there was
    /// none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = self.confirmed_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns whether the declarations were confirmed recently.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let fresh_for = self.apply_time.mul_f64(FRESH_FRACTION);
        self.age(now).is_some_and(|age| age < fresh_for)
    }

    /// Returns whether other routers should be asked to confirm the
    /// declarations.
    pub fn needs_confirmation(&self, now: Instant) -> bool {
        let asked_after = self.apply_time.mul_f64(CONFIRMATION_FRACTION);
        let is_recent = self.age(now).is_some_and(|age| age < asked_after);
        self.current.is_none() || self.newer.is_some() || !is_recent
    }

    /// Returns why the declarations are stale, or `None` if they may be used.
    pub fn staleness(&self, now: Instant) -> Option<StaleReason> {
        if let Some(newer) = self.newer {
            let known_for = now.saturating_duration_since(newer.since);
            if known_for >= self.apply_time.mul_f64(SUPERSEDED_FRACTION) {
                return Some(StaleReason::Superseded(newer));
            }
        }
        let age = self.age(now)?;
        let answered_at = self.answered_at?;
        let heard_at = self.refused_at.max(Some(answered_at))?;
        let silence = now.saturating_duration_since(heard_at);
        if age < self.apply_time || silence >= OUTAGE_GAP {
            return None;
        }
        if self.unread.is_some() {
            return Some(StaleReason::Unread(age));
        }
        let answer_age =
            age.saturating_sub(now.saturating_duration_since(answered_at));
        let was_late = answer_age >= LATE_ANSWER_AGE;
        was_late.then_some(StaleReason::LateAnswers(age))
    }

    /// Returns the state that is reported to another router. It includes the
    /// text if the version is newer than `text_after`.
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
            position: self.position.unwrap_or_default(),
            text: wants_text.then(|| current.text.clone()),
        })
    }
}

impl Default for DeclarationTracker {
    fn default() -> DeclarationTracker {
        DeclarationTracker::new()
    }
}
