//! The upstreams that have registered themselves.
//!
//! An upstream that leaves marks or removes its entry; either way it gets no
//! new requests. While the registry is unreachable, entries expire although
//! their upstreams live. So entries that are missing from the first read
//! after an outage are retained until their upstreams have had time to
//! register again. An entry that is removed later did not expire in the
//! outage, and its removal takes effect at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::OutageTracker;
use crate::ports::{UpstreamDeparture, UpstreamEntry, UpstreamEvent};

/// Live upstreams whose entries expired in an outage have registered again
/// within this time after it.
const REREGISTRATION_WINDOW: Duration = Duration::from_secs(2);

/// Time for which this router tells others that an upstream has left.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(10);

/// The version of an entry: the start time of its upstream in milliseconds
/// and the sequence number of the entry since then.
type EntryVersion = (u64, u64);

#[derive(Clone, Debug)]
struct RosterEntry {
    entry: UpstreamEntry,
    /// When the retention of the entry ends, if it is missing from the
    /// registry.
    retained_until: Option<Instant>,
}

/// The effect of an event of the registry on the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// The usable upstreams may have changed.
    Changed {
        /// The upstream.
        id: String,
    },
    /// The entry was removed and is retained, because it may have expired in
    /// an outage.
    Retained {
        /// The upstream.
        id: String,
        /// When the retention ends.
        until: Instant,
    },
    /// The registration is older than the newest one known.
    Outdated {
        /// The upstream.
        id: String,
        /// When the upstream of the newest known registration started, in
        /// milliseconds since the epoch.
        started_ms: u64,
        /// The sequence number of the newest known registration.
        sequence: u64,
    },
}

/// The registered upstreams as known to this router.
///
/// # Example
///
/// ```
/// use magnoliahaven::membership::UpstreamRoster;
///
/// assert_eq!(UpstreamRoster::new().usable().count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct UpstreamRoster {
    entries: BTreeMap<String, RosterEntry>,
    versions: BTreeMap<String, EntryVersion>,
    /// Upstreams that have said in an answer that they leave, and when they
    /// had started. Their registrations may say otherwise for a while.
    announced: BTreeMap<String, u64>,
    /// Upstreams that have left: when they left, and when they had started.
    departed: BTreeMap<String, (Instant, u64)>,
    read_at: Option<Instant>,
    /// The newest entries of upstreams that had left before the registry was
    /// restored. A copy may list them again.
    bygone: BTreeMap<String, EntryVersion>,
    /// Until when entries that the current read removes are retained.
    retain_until: Option<Instant>,
}

impl UpstreamRoster {
    /// Creates an empty roster.
    pub fn new() -> UpstreamRoster {
        UpstreamRoster::default()
    }

    /// Returns whether the registry has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.read_at.is_some()
    }

    /// Returns when the registry was last read.
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Returns the number of removed entries that are retained.
    pub fn retained_count(&self) -> usize {
        let retained =
            self.entries.values().filter(|e| e.retained_until.is_some());
        retained.count()
    }

    /// Records that the registry was read; the events of the read follow.
    pub fn begin_read(&mut self, now: Instant, outage: &OutageTracker) {
        let recovered = outage.recovered_since(self.read_at);
        self.retain_until =
            recovered.map(|recovered| recovered + REREGISTRATION_WINDOW);
        self.read_at = Some(now);
    }

    /// Returns the upstreams that have left recently, for routers that cannot
    /// read the registry.
    pub fn departures(&self, now: Instant) -> Vec<UpstreamDeparture> {
        let mut departures = Vec::new();
        for (upstream, (at, started_ms)) in &self.departed {
            if now.saturating_duration_since(*at) < DEPARTURE_LIFETIME {
                let (upstream, started_ms) = (upstream.clone(), *started_ms);
                departures.push(UpstreamDeparture { upstream, started_ms });
            }
        }
        departures
    }

    /// Applies another router's report that an upstream has left; returns
    /// whether it was in use.
    pub fn apply_departure(&mut self, departure: &UpstreamDeparture) -> bool {
        let known = self.entries.get_mut(&departure.upstream);
        let known = known.filter(|known| {
            known.entry.started_ms <= departure.started_ms
                && !known.entry.is_leaving
        });
        let Some(known) = known else {
            return false;
        };
        known.entry.is_leaving = true;
        true
    }

    /// Records that an upstream has said in an answer that it leaves; returns
    /// whether it was in use.
    pub fn announce_departure(&mut self, id: &str, now: Instant) -> bool {
        let Some(known) = self.entries.get_mut(id) else {
            return false;
        };
        let started_ms = known.entry.started_ms;
        let was_in_use = !known.entry.is_leaving;
        known.entry.is_leaving = true;
        self.announced.insert(id.to_owned(), started_ms);
        self.record_departure(id, started_ms, now);
        was_in_use
    }

    /// Returns whether the upstream of an entry has said that it leaves.
    fn has_announced(&self, entry: &UpstreamEntry) -> bool {
        let started_ms = self.announced.get(&entry.id);
        started_ms.is_some_and(|known| *known >= entry.started_ms)
    }

    /// Records that an upstream leaves or has left.
    fn record_departure(&mut self, id: &str, started_ms: u64, now: Instant) {
        let fresh = |(at, _): &mut (Instant, u64)| {
            now.saturating_duration_since(*at) < DEPARTURE_LIFETIME
        };
        self.departed.retain(|_, departure| fresh(departure));
        self.departed.insert(id.to_owned(), (now, started_ms));
    }

    /// Applies an event and returns the changes that matter to requests.
    pub fn apply(
        &mut self,
        event: UpstreamEvent,
        now: Instant,
    ) -> Vec<RosterChange> {
        match event {
            UpstreamEvent::Restored => {
                self.begin_era(now);
                Vec::new()
            }
            UpstreamEvent::Listed(entry) => {
                Vec::from_iter(self.list(entry, now))
            }
            UpstreamEvent::Removed(id) => Vec::from_iter(self.remove(id, now)),
            UpstreamEvent::Unreadable(id) => {
                let known = self.entries.remove(&id);
                let change = known.map(|_| RosterChange::Changed { id });
                Vec::from_iter(change)
            }
            UpstreamEvent::RetainOnly(ids) => self.keep_only(&ids, now),
        }
    }

    /// Prepares for a registry that was restored from a copy: it may list
    /// upstreams that have left, and lack those that have joined.
    fn begin_era(&mut self, now: Instant) {
        for (id, version) in &self.versions {
            if !self.entries.contains_key(id) {
                self.bygone.insert(id.clone(), *version);
            }
        }
        let until = now + REREGISTRATION_WINDOW;
        self.retain_until = self.retain_until.max(Some(until));
    }

    /// Returns whether an entry is the one with which an upstream had left
    /// before the registry was restored.
    fn is_bygone(&self, id: &str, version: EntryVersion) -> bool {
        self.bygone.get(id).is_some_and(|newest| version <= *newest)
    }

    fn list(
        &mut self,
        mut entry: UpstreamEntry,
        now: Instant,
    ) -> Option<RosterChange> {
        let version = (entry.started_ms, entry.sequence);
        let id = entry.id.clone();
        let known = self.versions.get(&id).copied();
        if let Some((started_ms, sequence)) = known
            && ((started_ms, sequence) > version
                || self.is_bygone(&id, version))
        {
            return Some(RosterChange::Outdated { id, started_ms, sequence });
        }
        self.versions.insert(id.clone(), version);
        self.remove_predecessors(&entry);
        entry.is_leaving |= self.has_announced(&entry);
        if entry.is_leaving {
            self.record_departure(&id, entry.started_ms, now);
        } else {
            self.departed.remove(&id);
        }
        let fresh = RosterEntry { entry, retained_until: None };
        let before = self.entries.insert(id.clone(), fresh);
        let before = before.map(|known| known.entry);
        let after = self.entries.get(&id).map(|known| &known.entry);
        let is_same = is_same_state(before.as_ref(), after);
        (!is_same).then_some(RosterChange::Changed { id })
    }

    /// Removes entries of earlier upstreams at the same address.
    fn remove_predecessors(&mut self, entry: &UpstreamEntry) {
        self.entries.retain(|id, known| {
            let known = &known.entry;
            let is_predecessor = known.address == entry.address
                && known.started_ms < entry.started_ms;
            *id == entry.id || !is_predecessor
        });
    }

    /// Removes an entry whose address has turned out to belong to another
    /// upstream.
    pub fn remove_misaddressed(&mut self, id: &str) -> bool {
        self.entries.remove(id).is_some()
    }

    fn remove(&mut self, id: String, now: Instant) -> Option<RosterChange> {
        let known = self.entries.get_mut(&id)?;
        let retain_until = self.retain_until.filter(|until| *until > now);
        if let Some(until) = retain_until
            && !known.entry.is_leaving
        {
            known.retained_until = Some(until);
            return Some(RosterChange::Retained { id, until });
        }
        let known = self.entries.remove(&id)?;
        self.announced.remove(&id);
        self.record_departure(&id, known.entry.started_ms, now);
        Some(RosterChange::Changed { id })
    }

    fn keep_only(
        &mut self,
        ids: &[String],
        now: Instant,
    ) -> Vec<RosterChange> {
        let listed: BTreeSet<&String> = ids.iter().collect();
        let mut missing = Vec::new();
        for id in self.entries.keys() {
            if !listed.contains(id) {
                missing.push(id.clone());
            }
        }
        missing.into_iter().filter_map(|id| self.remove(id, now)).collect()
    }

    /// Removes entries whose retention has ended, and returns their upstreams.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let is_over = |known: &RosterEntry| {
            known.retained_until.is_some_and(|until| until <= now)
        };
        let expired = self.entries.extract_if(.., |_, known| is_over(known));
        expired.map(|(id, _)| id).collect()
    }

    /// Returns the entry of an upstream.
    pub fn entry(&self, id: &str) -> Option<&UpstreamEntry> {
        self.entries.get(id).map(|known| &known.entry)
    }

    /// Returns the upstreams that take new requests.
    pub fn usable(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let entries = self.entries.values().map(|known| &known.entry);
        entries.filter(|entry| !entry.is_leaving)
    }
}

/// Returns whether two entries differ at most in their version.
fn is_same_state(
    before: Option<&UpstreamEntry>,
    after: Option<&UpstreamEntry>,
) -> bool {
    let (Some(before), Some(after)) = (before, after) else {
        return before.is_none() && after.is_none();
    };
    let with_same_version = UpstreamEntry {
        sequence: before.sequence,
        started_ms: before.started_ms,
        ..after.clone()
    };
    with_same_version == *before
}
