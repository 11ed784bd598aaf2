//! How new declarations reach all gateways.
//!
//! Every gateway asks the store at short intervals whether the declarations
//! have changed, which costs little. Their text is large, and a store that
//! had to send it to each gateway of a large fleet would be overloaded by a
//! few changes. So only a few gateways, the readers, read the text from the
//! store. All others get it from gateways that have it, as in a three-phase
//! gossip protocol: whoever applies a new version announces it to a few
//! random gateways, those that lack it ask for the text, and it is sent.
//!
//! If no text arrives, the number of readers doubles at an interval, until a
//! gateway that can reach nobody but the store reads it there.

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {rand::seq::IteratorRandom, tokio::sync::Notify};

use super::{
    GatewayCore,
    confirm::{PeerReport, fetch_state},
};
use crate::{
    entry::{EntryHealth, select_entries},
    ports::{DeclaredChanges, DeclaredNotice, PeerCall, ReadScope},
    runtime::{OverlapOptions, OverlappedCalls, TimedAnswer, spawn},
};

/// Number of gateways that read a changed text from the store at once. If a
/// third of all gateways cannot reach the store, one of them still can.
const READER_COUNT: usize = 8;

/// The number of readers doubles at intervals of this part of the apply time.
const READER_DOUBLING_FRACTION: f64 = 0.1;

/// Time for which a gateway that knows no other one waits for the list of
/// entry VMs before it reads the text from the store.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes per second that a reader reads from the store on average.
const READ_RATE: f64 = 2_000_000.0;

/// Bytes per second of texts that a gateway sends to others on average.
const SEND_RATE: f64 = 500_000.0;

/// Gateways that are told of a new version, beyond the logarithm of the
/// number of all gateways.
const EXTRA_FANOUT: usize = 2;

/// Minimum interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of gateways that are remembered as having a newer text.
const MAX_SOURCES: usize = 16;

/// Interval between checks whether a text is missing.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after a gateway that did not send a text.
const SOURCE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Part of the apply time for which no further text is fetched after one has
/// arrived. Versions in between are skipped.
const FETCH_INTERVAL_FRACTION: f64 = 0.1;

/// Part of the apply time after which a reader asks other gateways too.
const READER_FETCH_FRACTION: f64 = 0.15;

/// Hedging of the calls for a text: a second gateway is asked while the first
/// is overdue.
const FETCH_OPTIONS: OverlapOptions = OverlapOptions {
    overdue_after: Duration::from_millis(600),
    extra_interval: Duration::from_millis(600),
    max_in_flight: 2,
};

/// A gateway that has a newer text.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TextSource {
    vm: String,
    version: u64,
}

/// Limits the bytes that are sent to other gateways.
#[derive(Debug, Default)]
struct SendQuota {
    free_at: Option<Instant>,
}

impl SendQuota {
    /// Returns whether `bytes` may be sent at `now`, and counts them.
    fn try_take(&mut self, bytes: usize, now: Instant) -> bool {
        if self.free_at.is_some_and(|free_at| free_at > now) {
            return false;
        }
        let time = Duration::from_secs_f64(bytes as f64 / SEND_RATE);
        self.free_at = Some(now + time);
        true
    }
}

/// The state of the exchange of declarations with other gateways.
#[derive(Debug, Default)]
pub(super) struct DeclarationSpread {
    sources: RefCell<VecDeque<TextSource>>,
    quota: RefCell<SendQuota>,
    adopted: Notify,
    behind: Notify,
}

impl DeclarationSpread {
    /// Creates the state of a gateway that has exchanged nothing yet.
    pub(super) fn new() -> DeclarationSpread {
        DeclarationSpread::default()
    }

    /// Records that this gateway applies a new version.
    pub(super) fn note_adopted(&self) {
        self.adopted.notify_one();
    }

    /// Records that the gateway on `vm` applies `version`, which is newer
    /// than the one here.
    pub(super) fn note_source(&self, vm: &str, version: u64) {
        let mut sources = self.sources.borrow_mut();
        sources.retain(|source| source.vm != vm);
        sources.push_back(TextSource { vm: vm.to_owned(), version });
        if sources.len() > MAX_SOURCES {
            sources.pop_front();
        }
        self.behind.notify_one();
    }

    /// Removes and returns the first gateway that has a version newer than
    /// `known`.
    fn take_source(&self, known: Option<u64>) -> Option<String> {
        let mut sources = self.sources.borrow_mut();
        sources.retain(|source| known < Some(source.version));
        sources.pop_front().map(|source| source.vm)
    }

    fn has_source(&self, known: Option<u64>) -> bool {
        let sources = self.sources.borrow();
        sources.iter().any(|source| known < Some(source.version))
    }

    /// Returns whether a text of `bytes` may be sent to another gateway, and
    /// counts it.
    pub(super) fn try_send(&self, bytes: usize, now: Instant) -> bool {
        self.quota.borrow_mut().try_take(bytes, now)
    }
}

/// Announces each new version to some random gateways. Never returns.
pub(super) async fn run_announcement(core: Rc<GatewayCore>) {
    loop {
        core.spread.adopted.notified().await;
        let Some(version) = core.declarations.borrow().version() else {
            continue;
        };
        let vm = core.id.vm.clone();
        let notice = DeclaredNotice { vm, version };
        let call =
            PeerCall::Declared { text_after: None, notice: Some(notice) };
        for peer in core.announcement_peers() {
            let (core, call) = (core.clone(), call.clone());
            spawn("announcement", async move {
                // A gateway that misses it learns of the change by itself.
                let _ = core.ports.peers.call(peer, call).await;
            });
        }
        core.timer.sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Fetches newer texts from other gateways. Never returns.
pub(super) async fn run_fetch(core: Rc<GatewayCore>) {
    let calls = OverlappedCalls::new(FETCH_OPTIONS);
    loop {
        monoio::select! {
            () = core.spread.behind.notified() => {}
            () = core.timer.sleep(CHECK_INTERVAL) => {}
        }
        while core.needs_text(Instant::now()) {
            let make_call = || Some(fetch_newer(core.clone()));
            let answer =
                calls.next_within(FETCH_OPTIONS.overdue_after, make_call);
            let known = core.declarations.borrow().version();
            if let Some(TimedAnswer { requested_at, value: Some(report) }) =
                answer.await
            {
                core.apply_report(&report, requested_at);
            }
            let has_advanced = core.declarations.borrow().version() > known;
            let pause = if has_advanced {
                core.settings.apply_time.mul_f64(FETCH_INTERVAL_FRACTION)
            } else {
                SOURCE_RETRY_DELAY
            };
            core.timer.sleep(pause).await;
        }
    }
}

/// Asks a gateway that probably has a newer text.
async fn fetch_newer(core: Rc<GatewayCore>) -> Option<PeerReport> {
    let (vm, peer) = core.next_source()?;
    let known = core.declarations.borrow().version();
    let text_after = Some(known.unwrap_or_default());
    let state = fetch_state(&core, peer, text_after).await?;
    Some(PeerReport { vm, state })
}

/// Returns the number of gateways that read the text from the store, for a
/// gateway that has been behind for some time.
pub fn reader_count(behind_for: Duration, apply_time: Duration) -> usize {
    let interval = apply_time.mul_f64(READER_DOUBLING_FRACTION);
    let doublings = behind_for.div_duration_f64(interval) as u32;
    READER_COUNT.checked_shl(doublings).unwrap_or(usize::MAX)
}

/// Returns the number of gateways, out of `gateways`, that one tells of a new
/// version.
///
/// All gateways learn of it with high probability if that number is above
/// the natural logarithm of their number ("Stretching Gossip with Live
/// Streaming", DSN 2009).
pub fn announcement_fanout(gateways: usize) -> usize {
    (gateways.max(1) as f64).ln().ceil() as usize + EXTRA_FANOUT
}

impl GatewayCore {
    /// Returns what this gateway reads of the declarations now.
    pub(super) fn read_scope(&self) -> ReadScope {
        let behind_for = self.declarations.borrow().behind_for(Instant::now());
        let behind_for = behind_for.unwrap_or_default();
        if self.directory.vms().is_empty() && behind_for < LIST_TIMEOUT {
            return ReadScope::Position;
        }
        let count = reader_count(behind_for, self.settings.apply_time);
        if self.is_reader(count) {
            ReadScope::Text
        } else {
            ReadScope::Position
        }
    }

    /// Returns whether this gateway is among the `count` readers.
    fn is_reader(&self, count: usize) -> bool {
        let vms = self.directory.vms();
        if vms.len() <= count {
            return true;
        }
        self.readers(count).contains(&self.id.vm)
    }

    /// Returns the VMs of `count` readers, large ones of all failure domains.
    fn readers(&self, count: usize) -> Vec<String> {
        let vms = self.directory.vms();
        let health = |vm: &str| {
            let is_other = *vm != self.id.vm;
            let unusable = is_other && self.members.health(vm).unusable;
            EntryHealth { unusable, full: false }
        };
        let region = &self.settings.region;
        let readers = select_entries(vms.iter(), region, count, health);
        readers.into_iter().map(|reader| reader.vm).collect()
    }

    /// Returns whether a text should be fetched from another gateway.
    fn needs_text(&self, now: Instant) -> bool {
        let tracker = self.declarations.borrow();
        let known = tracker.version();
        let behind_for = tracker.behind_for(now);
        let is_behind = behind_for.is_some() || self.spread.has_source(known);
        if !is_behind || !self.is_reader(READER_COUNT) {
            return is_behind;
        }
        let delay = self.settings.apply_time.mul_f64(READER_FETCH_FRACTION);
        behind_for.is_some_and(|time| time >= delay)
    }

    /// Returns a gateway that has announced a newer version, or else a random
    /// reader.
    fn next_source(&self) -> Option<(String, SocketAddr)> {
        let known = self.declarations.borrow().version();
        while let Some(vm) = self.spread.take_source(known) {
            if let Some(address) = self.directory.peer_address(&vm) {
                return Some((vm, address));
            }
        }
        let behind_for = self.declarations.borrow().behind_for(Instant::now());
        let apply_time = self.settings.apply_time;
        let count = reader_count(behind_for.unwrap_or_default(), apply_time);
        let mut readers = self.readers(count);
        readers.retain(|vm| *vm != self.id.vm);
        let vm = readers.into_iter().choose(&mut rand::rng())?;
        let address = self.directory.peer_address(&vm)?;
        Some((vm, address))
    }

    /// Returns the addresses of the gateways that are told of a new version.
    fn announcement_peers(&self) -> Vec<SocketAddr> {
        let vms = self.directory.vms();
        let fanout = announcement_fanout(vms.len());
        let peers = vms.iter().filter_map(|(vm, entry)| {
            let is_usable = *vm != self.id.vm && self.members.may_be_alive(vm);
            entry.peer_address.filter(|_| is_usable)
        });
        peers.choose_multiple(&mut rand::rng(), fanout)
    }

    /// Applies what a read of the declarations has returned, and returns the
    /// time until the next one.
    pub(super) fn apply_declared_changes(
        &self,
        changes: DeclaredChanges,
    ) -> Duration {
        for order in changes.orders {
            self.apply_order(order);
        }
        let mut pause = Duration::ZERO;
        if let Some(declared) = changes.catalog {
            let seconds = changes.read_bytes as f64 / READ_RATE;
            pause = Duration::from_secs_f64(seconds);
            self.apply_catalog(declared, changes.requested_at, "store");
        }
        if let Some(position) = changes.position {
            self.declarations.borrow_mut().advance(position);
        }
        let Some(end) = changes.unread_end else {
            self.record_catalog_read(changes.requested_at);
            return pause;
        };
        self.declarations.borrow_mut().record_unread(end, Instant::now());
        self.spread.behind.notify_one();
        pause
    }
}
