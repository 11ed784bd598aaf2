//! What is remembered of upstreams beside their registrations.
//!
//! A registration comes and goes, and the registry may show an old one again:
//! a write that was late, or a copy from which the registry was restored.
//! What an upstream has said of itself stays true meanwhile. It is remembered
//! by the ID and the start of the upstream, for a limited time behind its
//! registration.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ports::{UpstreamDeparture, UpstreamEntry};

/// Time for which an upstream without a registration is remembered. Late
/// writes and copies of the registry are some seconds old.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// Maximum number of upstreams without a registration that are remembered.
const MAX_UNREGISTERED: usize = 2_048;

/// Interval between two searches for upstreams to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which this router tells others that an upstream has left.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(10);

/// The version of an entry: the start time of its upstream in milliseconds
/// and the sequence number of the entry since then.
pub(super) type EntryVersion = (u64, u64);

/// What is remembered of one upstream.
#[derive(Clone, Debug)]
struct UpstreamMemory {
    /// The newest version of its registrations.
    version: Option<EntryVersion>,
    /// The newest version with which it had left before the registry was
    /// restored.
    bygone: Option<EntryVersion>,
    /// When the upstream had started that has said that it leaves.
    announced: Option<u64>,
    /// When the upstream has left, and when it had started.
    departed: Option<(Instant, u64)>,
    /// When something was last recorded.
    recorded_at: Instant,
}

impl UpstreamMemory {
    fn new(now: Instant) -> UpstreamMemory {
        UpstreamMemory {
            version: None,
            bygone: None,
            announced: None,
            departed: None,
            recorded_at: now,
        }
    }
}

/// What is remembered of all upstreams.
#[derive(Debug, Default)]
pub(super) struct UpstreamHistory {
    upstreams: BTreeMap<String, UpstreamMemory>,
    searched_at: Option<Instant>,
}

impl UpstreamHistory {
    fn record(&mut self, id: &str, now: Instant) -> &mut UpstreamMemory {
        let memory = self.upstreams.entry(id.to_owned());
        let memory = memory.or_insert_with(|| UpstreamMemory::new(now));
        memory.recorded_at = now;
        memory
    }

    /// Returns the newest known version of the registrations if the entry is
    /// older, or is one with which its upstream had left before the registry
    /// was restored.
    pub(super) fn newer_version(
        &self,
        entry: &UpstreamEntry,
    ) -> Option<EntryVersion> {
        let version = (entry.started_ms, entry.sequence);
        let memory = self.upstreams.get(&entry.id)?;
        let is_bygone = memory.bygone.is_some_and(|last| version <= last);
        memory.version.filter(|newest| *newest > version || is_bygone)
    }

    /// Records the version of a registration.
    pub(super) fn record_version(
        &mut self,
        entry: &UpstreamEntry,
        now: Instant,
    ) {
        let version = (entry.started_ms, entry.sequence);
        self.record(&entry.id, now).version = Some(version);
    }

    /// Records that the upstream with this ID and start has said that it
    /// leaves, whether or not it is registered.
    pub(super) fn record_announcement(
        &mut self,
        id: &str,
        started_ms: u64,
        now: Instant,
    ) {
        let memory = self.record(id, now);
        memory.announced = memory.announced.max(Some(started_ms));
    }

    /// Returns whether the upstream of an entry has said that it leaves.
    ///
    /// One that started later under the same ID is another upstream.
    pub(super) fn has_announced(&self, entry: &UpstreamEntry) -> bool {
        let memory = self.upstreams.get(&entry.id);
        let started_ms = memory.and_then(|memory| memory.announced);
        started_ms.is_some_and(|known| known >= entry.started_ms)
    }

    /// Records that an upstream leaves or has left, for other routers.
    pub(super) fn record_departure(
        &mut self,
        id: &str,
        started_ms: u64,
        now: Instant,
    ) {
        self.record(id, now).departed = Some((now, started_ms));
    }

    /// Records that an upstream takes requests.
    pub(super) fn clear_departure(&mut self, id: &str) {
        if let Some(memory) = self.upstreams.get_mut(id) {
            memory.departed = None;
        }
    }

    /// Returns the upstreams that have left recently.
    pub(super) fn departures(&self, now: Instant) -> Vec<UpstreamDeparture> {
        let mut departures = Vec::new();
        for (id, memory) in &self.upstreams {
            let Some((at, started_ms)) = memory.departed else {
                continue;
            };
            if now.saturating_duration_since(at) >= DEPARTURE_LIFETIME {
                continue;
            }
            departures.push(UpstreamDeparture {
                upstream: id.clone(),
                started_ms,
                is_announced: memory.announced >= Some(started_ms),
            });
        }
        departures
    }

    /// Prepares for a registry that was restored from a copy, which may list
    /// upstreams that have left.
    pub(super) fn begin_era(&mut self, is_registered: impl Fn(&str) -> bool) {
        for (id, memory) in &mut self.upstreams {
            if !is_registered(id) {
                memory.bygone = memory.version;
            }
        }
    }

    /// Forgets upstreams that have not been registered for long, and the
    /// oldest ones if they are many. Searches for them at an interval.
    pub(super) fn forget_old(
        &mut self,
        now: Instant,
        is_registered: impl Fn(&str) -> bool,
    ) {
        let is_due = self.searched_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= FORGET_INTERVAL
        });
        if !is_due {
            return;
        }
        self.searched_at = Some(now);
        let is_old = |memory: &UpstreamMemory| {
            let age = now.saturating_duration_since(memory.recorded_at);
            age >= MEMORY_TIME
        };
        self.upstreams
            .retain(|id, memory| is_registered(id) || !is_old(memory));
        let mut unregistered = Vec::new();
        for (id, memory) in &self.upstreams {
            if !is_registered(id) {
                unregistered.push((memory.recorded_at, id.clone()));
            }
        }
        unregistered.sort();
        let excess = unregistered.len().saturating_sub(MAX_UNREGISTERED);
        for (_, id) in unregistered.drain(..excess) {
            self.upstreams.remove(&id);
        }
    }

    /// Returns the number of upstreams that are remembered.
    pub(super) fn len(&self) -> usize {
        self.upstreams.len()
    }
}
