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

use super::{OutageTracker, history::UpstreamHistory};
use crate::ports::{UpstreamDeparture, UpstreamEntry, UpstreamEvent};

/// Live upstreams whose entries expired in an outage have registered again
/// within this time after it.
const REREGISTRATION_WINDOW: Duration = Duration::from_secs(2);

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
    /// The registration offers an upstream that has said that it leaves.
    Overruled {
        /// The upstream.
        id: String,
        /// When the upstream started, in milliseconds since the epoch.
        started_ms: u64,
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
    /// What is known of upstreams beside their entries.
    history: UpstreamHistory,
    read_at: Option<Instant>,
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
        let entries = &self.entries;
        self.history.forget_old(now, |id| entries.contains_key(id));
    }

    /// Returns the number of upstreams that are remembered, whether or not
    /// they are registered.
    pub fn remembered_count(&self) -> usize {
        self.history.len()
    }

    /// Returns the upstreams that have left recently, for routers that cannot
    /// read the registry.
    pub fn departures(&self, now: Instant) -> Vec<UpstreamDeparture> {
        self.history.departures(now)
    }

    /// Applies another router's report that an upstream has left; returns
    /// whether it was in use.
    ///
    /// A report that its registration was removed holds until it is read
    /// here again. What the upstream itself has said holds for good.
    pub fn apply_departure(
        &mut self,
        departure: &UpstreamDeparture,
        now: Instant,
    ) -> bool {
        let UpstreamDeparture { upstream, started_ms, is_announced } =
            departure;
        if *is_announced {
            self.history.record_announcement(upstream, *started_ms, now);
        }
        self.mark_leaving(upstream, *started_ms)
    }

    /// Records that an upstream, which had started at `started_ms`, has said
    /// in an answer that it leaves; returns whether it was in use.
    ///
    /// Its registration may be gone already, and may come back for a while.
    pub fn announce_departure(
        &mut self,
        id: &str,
        started_ms: u64,
        now: Instant,
    ) -> bool {
        self.history.record_announcement(id, started_ms, now);
        self.history.record_departure(id, started_ms, now);
        self.mark_leaving(id, started_ms)
    }

    /// Marks the entry of an upstream as leaving, unless it has started again
    /// since; returns whether it was in use.
    fn mark_leaving(&mut self, id: &str, started_ms: u64) -> bool {
        let Some(known) = self.entries.get_mut(id) else {
            return false;
        };
        if known.entry.started_ms > started_ms || known.entry.is_leaving {
            return false;
        }
        known.entry.is_leaving = true;
        true
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
        let entries = &self.entries;
        self.history.begin_era(|id| entries.contains_key(id));
        let until = now + REREGISTRATION_WINDOW;
        self.retain_until = self.retain_until.max(Some(until));
    }

    fn list(
        &mut self,
        mut entry: UpstreamEntry,
        now: Instant,
    ) -> Option<RosterChange> {
        let id = entry.id.clone();
        let newer = self.history.newer_version(&entry);
        if let Some((started_ms, sequence)) = newer {
            return Some(RosterChange::Outdated { id, started_ms, sequence });
        }
        self.history.record_version(&entry, now);
        self.remove_predecessors(&entry);
        let started_ms = entry.started_ms;
        let is_overruled =
            !entry.is_leaving && self.history.has_announced(&entry);
        entry.is_leaving |= is_overruled;
        if entry.is_leaving {
            self.history.record_departure(&id, started_ms, now);
        } else {
            self.history.clear_departure(&id);
        }
        let fresh = RosterEntry { entry, retained_until: None };
        let before = self.entries.insert(id.clone(), fresh);
        if is_overruled && before.is_none() {
            return Some(RosterChange::Overruled { id, started_ms });
        }
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
        let started_ms = known.entry.started_ms;
        self.history.record_departure(&id, started_ms, now);
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

/// Returns whether two entries differ at most in their sequence number.
fn is_same_state(
    before: Option<&UpstreamEntry>,
    after: Option<&UpstreamEntry>,
) -> bool {
    let (Some(before), Some(after)) = (before, after) else {
        return before.is_none() && after.is_none();
    };
    let renumbered =
        UpstreamEntry { sequence: before.sequence, ..after.clone() };
    renumbered == *before
}
