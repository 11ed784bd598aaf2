//! The upstreams that have registered themselves.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::ports::{UpstreamEntry, UpstreamNews};

/// Entries that lapsed while the registry was out of reach are back within
/// this time after its return, if their upstreams live.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Registry calls that fail for longer than this are an outage, in which
/// entries may lapse although their upstreams live.
const OUTAGE_TIME: Duration = Duration::from_millis(1_000);

/// The identity and age of an entry: the start of its upstream and the
/// number of the entry since then.
type EntryAge = (u64, u64);

#[derive(Clone, Debug)]
struct RosterEntry {
    entry: UpstreamEntry,
    /// When the entry is to be taken as gone, if it is in doubt.
    doubted: Option<Instant>,
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
    failing_since: Option<Instant>,
    returned: Option<Instant>,
    is_loaded: bool,
}

impl UpstreamRoster {
    /// Creates an empty roster.
    pub fn new() -> UpstreamRoster {
        UpstreamRoster::default()
    }

    /// Whether the registry has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Notes that the registry could not be read.
    pub fn note_fault(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Notes that the registry was read.
    pub fn note_answer(&mut self, now: Instant) {
        self.is_loaded = true;
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now - since >= OUTAGE_TIME {
            self.returned = Some(now);
        }
    }

    /// Takes a change; `true` if the usable upstreams may have changed.
    pub fn take(&mut self, news: UpstreamNews, now: Instant) -> bool {
        match news {
            UpstreamNews::Listed(entry) => self.list(entry),
            UpstreamNews::Removed(id) => self.remove(&id, now),
            UpstreamNews::Unreadable(id) => self.entries.remove(&id).is_some(),
            UpstreamNews::OnlyThese(ids) => self.keep_only(&ids, now),
        }
    }

    fn list(&mut self, entry: UpstreamEntry) -> bool {
        let age = (entry.started_ms, entry.sequence);
        let known = self.ages.get(&entry.id);
        if known.is_some_and(|known| *known > age) {
            return false;
        }
        self.ages.insert(entry.id.clone(), age);
        let id = entry.id.clone();
        self.drop_former(&entry);
        let fresh = RosterEntry { entry, doubted: None };
        let before = self.entries.insert(id.clone(), fresh);
        let before = before.map(|known| known.entry);
        let after = self.entries.get(&id).map(|known| &known.entry);
        !same_upstream(before.as_ref(), after)
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
    pub fn drop_misplaced(&mut self, id: &str) -> bool {
        self.entries.remove(id).is_some()
    }

    fn remove(&mut self, id: &str, now: Instant) -> bool {
        let Some(known) = self.entries.get_mut(id) else {
            return false;
        };
        let returned = self.returned.filter(|t| now - *t < RETURN_TIME);
        if let Some(returned) = returned
            && !known.entry.is_leaving
        {
            known.doubted.get_or_insert(returned + RETURN_TIME);
            return false;
        }
        self.entries.remove(id).is_some()
    }

    fn keep_only(&mut self, ids: &[String], now: Instant) -> bool {
        let listed: BTreeSet<&String> = ids.iter().collect();
        let mut gone = Vec::new();
        for id in self.entries.keys() {
            if !listed.contains(id) {
                gone.push(id.clone());
            }
        }
        let mut changed = false;
        for id in gone {
            changed |= self.remove(&id, now);
        }
        changed
    }

    /// Drops doubted entries that did not come back in time.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, known| known.doubted.is_none_or(|until| until > now));
        before != self.entries.len()
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
