//! Quarantine of prompt parts that crash upstreams.
//!
//! A request that crashes the upstream that serves it is retried elsewhere
//! and crashes the next one. What such requests have in common is a part of
//! their prompts. A part is quarantined if several upstreams in a row crashed
//! while they served requests with it, and none answered such a request in
//! full in between. A part that sound requests share is answered again and
//! again, so it never gets there, although a crash also breaks off the sound
//! requests at its upstream.
//!
//! Only a whole answer of one upstream is a sign of soundness. Any number of
//! events may leave an upstream before it crashes.
//!
//! Parts that were lost together every time cannot be told apart. The next
//! request with only some of them is admitted and shows which one it is.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Number of losses in a row after which a part is quarantined.
const MAX_LOSSES: u32 = 3;

/// Crashes within this time count as one. They may have a common cause that
/// has nothing to do with the part, such as a failure domain without power.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(200);

/// Reports of the same upstream within this time are of the same crash: each
/// request that it served may report it, at any router.
const REPORT_WINDOW: Duration = Duration::from_secs(1);

/// Time without a loss after which earlier ones no longer count.
const LOSS_LIFETIME: Duration = Duration::from_secs(30);

/// Duration of the first quarantine of a part; doubles with each further one.
const BASE_QUARANTINE: Duration = Duration::from_secs(120);

/// Upper bound of the duration of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(1_800);

/// Time in which a request that tests a part after its quarantine is
/// answered or lost. Further requests with the part are rejected meanwhile.
const PROBE_WINDOW: Duration = Duration::from_secs(10);

/// Time in which reports that are older than an answer may still arrive from
/// other routers.
const ANSWER_MEMORY: Duration = Duration::from_secs(10);

/// Maximum number of parts with a record.
const MAX_RECORDS: usize = 4_096;

/// The crash of an upstream that was serving requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamCrash<'a> {
    /// The upstream.
    pub upstream: &'a str,
    /// Who has observed the crash.
    pub observer: LossObserver,
}

/// A part whose requests are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// The identifier of the part.
    pub part: String,
    /// Time until a request with the part is tried again.
    pub time_left: Duration,
}

/// Who has observed a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossObserver {
    /// This router.
    Own,
    /// Another router.
    Peer,
}

impl LossObserver {
    /// Returns the time by which a quarantine that the loss starts is longer
    /// here. The router that observed the loss is the first to test the part.
    fn probe_delay(self) -> Duration {
        match self {
            LossObserver::Own => Duration::ZERO,
            LossObserver::Peer => PROBE_WINDOW,
        }
    }
}

/// What is known of a part that upstreams were lost on.
#[derive(Clone, Debug)]
struct PartRecord {
    /// Losses in a row.
    losses: u32,
    lost_at: Instant,
    /// The upstreams that the last loss is made of.
    crashed: BTreeSet<String>,
    /// Number of quarantines so far.
    quarantines: u32,
    quarantined_until: Option<Instant>,
    /// Whether an admitted request is testing the part.
    is_probed: bool,
    /// Other parts whose quarantine started with the same loss.
    companions: Vec<String>,
}

impl PartRecord {
    fn new(now: Instant) -> PartRecord {
        PartRecord {
            losses: 0,
            lost_at: now,
            crashed: BTreeSet::new(),
            quarantines: 0,
            quarantined_until: None,
            is_probed: false,
            companions: Vec::new(),
        }
    }

    fn time_left(&self, now: Instant) -> Option<Duration> {
        let until = self.quarantined_until.filter(|until| *until > now)?;
        Some(until - now)
    }

    /// Returns whether the record no longer matters.
    fn is_expired(&self, now: Instant) -> bool {
        let is_old =
            now.saturating_duration_since(self.lost_at) > LOSS_LIFETIME;
        is_old && self.quarantines == 0
    }

    /// Returns whether a crash is part of the last loss.
    fn is_known(&self, crash: UpstreamCrash<'_>, now: Instant) -> bool {
        let since_last = now.saturating_duration_since(self.lost_at);
        let window = if self.crashed.contains(crash.upstream) {
            REPORT_WINDOW
        } else {
            COINCIDENCE_WINDOW
        };
        self.losses > 0 && since_last < window
    }

    /// Counts a crash; returns `true` if it starts a quarantine.
    fn record_crash(
        &mut self,
        crash: UpstreamCrash<'_>,
        now: Instant,
    ) -> bool {
        let is_known = self.is_known(crash, now);
        if !is_known {
            self.crashed.clear();
        }
        self.crashed.insert(crash.upstream.to_owned());
        if is_known {
            return false;
        }
        self.losses += 1;
        self.lost_at = now;
        self.companions.clear();
        if self.losses < MAX_LOSSES || self.is_quarantined_for_loss(now) {
            return false;
        }
        let factor = 2_u32.saturating_pow(self.quarantines);
        let duration = BASE_QUARANTINE.saturating_mul(factor);
        let probe_delay = crash.observer.probe_delay();
        let duration = duration.min(MAX_QUARANTINE) + probe_delay;
        self.quarantines += 1;
        self.is_probed = false;
        self.quarantined_until = Some(now + duration);
        true
    }

    /// Returns whether a quarantine is in force. The short one during a probe
    /// does not count, since a lost probe starts the next quarantine.
    fn is_quarantined_for_loss(&self, now: Instant) -> bool {
        self.time_left(now).is_some_and(|left| left > PROBE_WINDOW)
    }
}

/// The prompt parts that upstreams were lost on, as known to this router.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::routing::{
///     LossObserver, PartQuarantine, UpstreamCrash,
/// };
///
/// let mut quarantine = PartQuarantine::new();
/// let mut now = Instant::now();
/// for upstream in ["w-1", "w-2", "w-3"] {
///     assert!(quarantine.admit(["p1"], now).is_ok());
///     now += Duration::from_secs(1);
///     let observer = LossObserver::Own;
///     let crash = UpstreamCrash { upstream, observer };
///     quarantine.record_crash(["p1"], crash, now);
/// }
/// assert!(quarantine.admit(["p1"], now).is_err());
/// ```
#[derive(Debug, Default)]
pub struct PartQuarantine {
    records: BTreeMap<String, PartRecord>,
    /// When parts with a record were answered.
    answered: BTreeMap<String, Instant>,
}

impl PartQuarantine {
    /// Creates a quarantine without parts.
    pub fn new() -> PartQuarantine {
        PartQuarantine::default()
    }

    /// Checks a new request with these parts.
    ///
    /// After a quarantine, one request is admitted as a probe, and so is one
    /// that lacks a part which was always lost together with the others.
    ///
    /// # Errors
    ///
    /// Returns the part that is in quarantine.
    pub fn admit<'a>(
        &mut self,
        parts: impl IntoIterator<Item = &'a str> + Clone,
        now: Instant,
    ) -> Result<(), QuarantinedPart> {
        if self.records.is_empty() {
            return Ok(());
        }
        for part in parts.clone() {
            let record = self.records.get(part);
            let Some(time_left) = record.and_then(|r| r.time_left(now)) else {
                continue;
            };
            let lacks_companion = record.is_some_and(|record| {
                let mut companions = record.companions.iter();
                companions.any(|other| {
                    parts.clone().into_iter().all(|part| part != other)
                })
            });
            if !lacks_companion {
                let part = part.to_owned();
                return Err(QuarantinedPart { part, time_left });
            }
        }
        self.begin_probe(parts, now);
        Ok(())
    }

    /// Holds back further requests with these parts while an admitted one
    /// shows whether a part in quarantine crashes upstreams.
    fn begin_probe<'a>(
        &mut self,
        parts: impl IntoIterator<Item = &'a str>,
        now: Instant,
    ) {
        for part in parts {
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            record.companions.clear();
            let Some(until) = record.quarantined_until else {
                continue;
            };
            record.quarantined_until = Some(until.max(now + PROBE_WINDOW));
            record.is_probed = true;
        }
    }

    /// Records that an upstream has begun to answer a request with these
    /// parts.
    ///
    /// Requests that wait for a probe with the part are no longer held back.
    /// The losses still count, so that the next one quarantines it again.
    pub fn record_begin<'a>(
        &mut self,
        parts: impl IntoIterator<Item = &'a str>,
        now: Instant,
    ) {
        if self.records.is_empty() {
            return;
        }
        for part in parts {
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            if record.is_probed {
                record.is_probed = false;
                record.quarantined_until = Some(now);
            }
        }
    }

    /// Returns whether upstreams were lost on one of these parts.
    pub fn is_suspected<'a>(
        &self,
        parts: impl IntoIterator<Item = &'a str>,
    ) -> bool {
        parts.into_iter().any(|part| self.records.contains_key(part))
    }

    /// Returns the first of the parts that is in quarantine.
    pub fn find<'a>(
        &self,
        parts: impl IntoIterator<Item = &'a str>,
        now: Instant,
    ) -> Option<QuarantinedPart> {
        for part in parts {
            let record = self.records.get(part);
            let Some(time_left) = record.and_then(|r| r.time_left(now)) else {
                continue;
            };
            return Some(QuarantinedPart { part: part.to_owned(), time_left });
        }
        None
    }

    /// Records that an upstream crashed before it had answered requests with
    /// these parts in full; returns the parts whose quarantine starts.
    pub fn record_crash<'a>(
        &mut self,
        parts: impl IntoIterator<Item = &'a str>,
        crash: UpstreamCrash<'_>,
        now: Instant,
    ) -> Vec<QuarantinedPart> {
        self.remove_expired(now);
        let mut started = Vec::new();
        for part in parts {
            let is_full = self.records.len() >= MAX_RECORDS;
            if is_full && !self.records.contains_key(part) {
                continue;
            }
            let record = self.records.entry(part.to_owned());
            let record = record.or_insert_with(|| PartRecord::new(now));
            if !record.record_crash(crash, now) {
                continue;
            }
            let time_left = record.time_left(now).unwrap_or_default();
            let part = part.to_owned();
            started.push(QuarantinedPart { part, time_left });
        }
        self.link_companions(&started);
        started
    }

    /// Records which parts cannot be told apart yet.
    fn link_companions(&mut self, started: &[QuarantinedPart]) {
        for quarantined in started {
            let Some(record) = self.records.get_mut(&quarantined.part) else {
                continue;
            };
            let others = started.iter().filter(|other| *other != quarantined);
            record.companions = others.map(|o| o.part.clone()).collect();
        }
    }

    /// Records that a request with these parts was answered in full, which
    /// clears them; returns those that had a record.
    pub fn record_answer<'a>(
        &mut self,
        parts: impl IntoIterator<Item = &'a str>,
        now: Instant,
    ) -> Vec<String> {
        let mut cleared = Vec::new();
        if self.records.is_empty() {
            return cleared;
        }
        for part in parts {
            if self.records.remove(part).is_some() {
                self.answered.insert(part.to_owned(), now);
                cleared.push(part.to_owned());
            }
        }
        cleared
    }

    /// Returns the parts in quarantine, for other routers.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedPart> {
        let mut quarantined = Vec::new();
        for (part, record) in &self.records {
            if let Some(time_left) = record.time_left(now) {
                let part = part.clone();
                quarantined.push(QuarantinedPart { part, time_left });
            }
        }
        quarantined
    }

    /// Applies the quarantines of another router; returns the parts whose
    /// quarantine starts here.
    pub fn merge(
        &mut self,
        quarantined: &[QuarantinedPart],
        now: Instant,
    ) -> Vec<QuarantinedPart> {
        self.remove_expired(now);
        let mut started = Vec::new();
        for theirs in quarantined {
            let QuarantinedPart { part, time_left } = theirs;
            if self.answered.contains_key(part) {
                continue;
            }
            let record = self.records.entry(part.clone());
            let record = record.or_insert_with(|| PartRecord::new(now));
            if record.time_left(now).is_some() {
                continue;
            }
            let delay = LossObserver::Peer.probe_delay();
            record.quarantined_until = Some(now + *time_left + delay);
            record.losses = record.losses.max(MAX_LOSSES);
            record.quarantines = record.quarantines.max(1);
            started.push(theirs.clone());
        }
        started
    }

    fn remove_expired(&mut self, now: Instant) {
        self.records.retain(|_, record| !record.is_expired(now));
        self.answered.retain(|_, at| {
            now.saturating_duration_since(*at) < ANSWER_MEMORY
        });
    }
}
