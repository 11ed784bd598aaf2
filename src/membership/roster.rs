//! The upstreams that have registered themselves.
//!
//! An upstream that leaves says so or takes its entry away; either way it
//! gets nothing more. While the registry is out of reach, entries lapse
//! although their upstreams live. So what turns out to be missing in the
//! first read after an outage stays in use until it could be back. What is
//! removed later did not lapse in the outage and is believed at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::OutageTracker;
use crate::ports::{UpstreamDeparture, UpstreamEntry, UpstreamEvent};

/// Entries that lapsed in an outage are back within this time after it, if
/// their upstreams live.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Time for which other routers can learn from this one that an upstream has
/// left.
const DEPARTURE_TIME: Duration = Duration::from_secs(10);

/// The identity and age of an entry: the start of its upstream and the
/// number of the entry since then.
type EntryAge = (u64, u64);

#[derive(Clone, Debug)]
struct RosterEntry {
    entry: UpstreamEntry,
    /// When the entry is to be taken as gone, if it is in doubt.
    doubted: Option<Instant>,
}

/// What news of the registry did to the belief.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// The usable upstreams may have changed.
    Changed {
        /// The upstream.
        id: String,
    },
    /// The entry was removed and stays in use until it could be back.
    Retained {
        /// The upstream.
        id: String,
        /// When the entry is to be taken as gone.
        until: Instant,
    },
    /// The registration is older than the newest one known.
    Outdated {
        /// The upstream.
        id: String,
        /// When the upstream of the newest one started, in milliseconds
        /// since the epoch.
        started_ms: u64,
        /// The number of the newest one.
        sequence: u64,
    },
}

/// What a router believes about registered upstreams.
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
    ages: BTreeMap<String, EntryAge>,
    /// When upstreams have left, and when they had started.
    departed: BTreeMap<String, (Instant, u64)>,
    read_at: Option<Instant>,
    /// Until when entries stay in use that the current read removes.
    lapse_end: Option<Instant>,
}

impl UpstreamRoster {
    /// Creates an empty roster.
    pub fn new() -> UpstreamRoster {
        UpstreamRoster::default()
    }

    /// Whether the registry has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.read_at.is_some()
    }

    /// When the registry was read last.
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Entries that were removed and may come back.
    pub fn retained_count(&self) -> usize {
        let doubted = self.entries.values().filter(|e| e.doubted.is_some());
        doubted.count()
    }

    /// Notes that the upstreams were read; the news of the read follow.
    pub fn begin_read(&mut self, now: Instant, outage: &OutageTracker) {
        let returned = outage.recovered_since(self.read_at);
        self.lapse_end = returned.map(|returned| returned + RETURN_TIME);
        self.read_at = Some(now);
    }

    /// The upstreams that have left lately, for routers that cannot read it.
    pub fn departures(&self, now: Instant) -> Vec<UpstreamDeparture> {
        let mut departures = Vec::new();
        for (upstream, (at, started_ms)) in &self.departed {
            if now.saturating_duration_since(*at) < DEPARTURE_TIME {
                let (upstream, started_ms) = (upstream.clone(), *started_ms);
                departures.push(UpstreamDeparture { upstream, started_ms });
            }
        }
        departures
    }

    /// Takes another router's word that an upstream has left; `true` if it
    /// was in use.
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

    /// Notes that an upstream leaves or has left.
    fn note_departure(&mut self, id: &str, started_ms: u64, now: Instant) {
        let fresh = |(at, _): &mut (Instant, u64)| {
            now.saturating_duration_since(*at) < DEPARTURE_TIME
        };
        self.departed.retain(|_, departure| fresh(departure));
        self.departed.insert(id.to_owned(), (now, started_ms));
    }

    /// Takes news; without a change if they do not matter to requests.
    pub fn apply(
        &mut self,
        news: UpstreamEvent,
        now: Instant,
    ) -> Vec<RosterChange> {
        match news {
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

    fn list(
        &mut self,
        entry: UpstreamEntry,
        now: Instant,
    ) -> Option<RosterChange> {
        let age = (entry.started_ms, entry.sequence);
        let id = entry.id.clone();
        let known = self.ages.get(&id).copied();
        if let Some((started_ms, sequence)) = known
            && (started_ms, sequence) > age
        {
            return Some(RosterChange::Outdated { id, started_ms, sequence });
        }
        self.ages.insert(id.clone(), age);
        self.drop_former(&entry);
        if entry.is_leaving {
            self.note_departure(&id, entry.started_ms, now);
        } else {
            self.departed.remove(&id);
        }
        let fresh = RosterEntry { entry, doubted: None };
        let before = self.entries.insert(id.clone(), fresh);
        let before = before.map(|known| known.entry);
        let after = self.entries.get(&id).map(|known| &known.entry);
        let is_same = same_upstream(before.as_ref(), after);
        (!is_same).then_some(RosterChange::Changed { id })
    }

    /// Drops entries of upstreams that had the address before.
    fn drop_former(&mut self, entry: &UpstreamEntry) {
        self.entries.retain(|id, known| {
            let known = &known.entry;
            let is_former = known.address == entry.address
                && known.started_ms < entry.started_ms;
            *id == entry.id || !is_former
        });
    }

    /// Drops an entry whose address turned out to be another upstream's.
    pub fn remove_misaddressed(&mut self, id: &str) -> bool {
        self.entries.remove(id).is_some()
    }

    fn remove(&mut self, id: String, now: Instant) -> Option<RosterChange> {
        let known = self.entries.get_mut(&id)?;
        let lapse_end = self.lapse_end.filter(|until| *until > now);
        if let Some(until) = lapse_end
            && !known.entry.is_leaving
        {
            known.doubted = Some(until);
            return Some(RosterChange::Retained { id, until });
        }
        let known = self.entries.remove(&id)?;
        self.note_departure(&id, known.entry.started_ms, now);
        Some(RosterChange::Changed { id })
    }

    fn keep_only(
        &mut self,
        ids: &[String],
        now: Instant,
    ) -> Vec<RosterChange> {
        let listed: BTreeSet<&String> = ids.iter().collect();
        let mut gone = Vec::new();
        for id in self.entries.keys() {
            if !listed.contains(id) {
                gone.push(id.clone());
            }
        }
        gone.into_iter().filter_map(|id| self.remove(id, now)).collect()
    }

    /// Drops doubted entries that did not come back in time, and returns
    /// their upstreams.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let is_over = |known: &RosterEntry| {
            known.doubted.is_some_and(|until| until <= now)
        };
        let gone = self.entries.extract_if(.., |_, known| is_over(known));
        gone.map(|(id, _)| id).collect()
    }

    /// The entry of an upstream.
    pub fn entry(&self, id: &str) -> Option<&UpstreamEntry> {
        self.entries.get(id).map(|known| &known.entry)
    }

    /// The upstreams that take new requests.
    pub fn usable(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let entries = self.entries.values().map(|known| &known.entry);
        entries.filter(|entry| !entry.is_leaving)
    }
}

/// Whether two entries describe the same upstream in the same state.
fn same_upstream(
    before: Option<&UpstreamEntry>,
    after: Option<&UpstreamEntry>,
) -> bool {
    let (Some(before), Some(after)) = (before, after) else {
        return before.is_none() && after.is_none();
    };
    let unnumbered = UpstreamEntry {
        sequence: before.sequence,
        started_ms: before.started_ms,
        ..after.clone()
    };
    unnumbered == *before
}
