//! When a router takes another one for dead.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use magnoliahaven::{
    domain::HolderId,
    membership::{MemberOptions, MemberTable, VmDirectory},
    ports::{
        KnownState, MemberStatus, MemberUpdate, PeerAnswer, PeerCall,
        PeerFault, PeerPort, PingMessage, PortFuture, VmEntry, VmList, VmRole,
        VmState,
    },
    runtime::{block_on, sleep},
    timer::TimerService,
};

const INTERVAL: Duration = Duration::from_millis(20);

/// Peers that answer all pings but the first ones to one of them.
struct PeerStandin {
    pinged: RefCell<Vec<SocketAddr>>,
    failing: Option<SocketAddr>,
    failures_left: Cell<u32>,
}

impl PeerPort for PeerStandin {
    fn call(
        &self,
        peer: SocketAddr,
        call: PeerCall,
    ) -> PortFuture<'_, Result<PeerAnswer, PeerFault>> {
        Box::pin(async move {
            let PeerCall::Ping(message) = call else {
                return Ok(PeerAnswer::Reached(false));
            };
            self.pinged.borrow_mut().push(peer);
            if self.failing == Some(peer) && self.failures_left.get() > 0 {
                self.failures_left.set(self.failures_left.get() - 1);
                let reason = "no answer".to_owned();
                return Err(PeerFault::Unreachable { reason });
            }
            Ok(PeerAnswer::Pong(pong(peer, &message)))
        })
    }
}

/// The answer of the router at `peer`, which refutes a suspicion.
fn pong(peer: SocketAddr, message: &PingMessage) -> PingMessage {
    let id = HolderId::new(name(peer.port()), 1);
    let told = message.updates.iter().find(|update| update.id == id);
    let suspected = told.filter(|u| u.status != MemberStatus::Alive);
    let version = suspected.map_or(0, |update| update.version + 1);
    let own =
        MemberUpdate { id, status: MemberStatus::Alive, version, full: false };
    PingMessage { updates: vec![own], known: KnownState::default() }
}

fn name(number: u16) -> String {
    format!("vm-{number}")
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn list(version: u64, numbers: impl Iterator<Item = u16>) -> VmList {
    let entries = numbers.map(|number| {
        let entry = VmEntry {
            role: VmRole::Entry,
            state: VmState::Live,
            region: "r".to_owned(),
            domain: "z".to_owned(),
            address: address(number),
            peer_address: Some(address(number)),
            operator_address: None,
            capacity: 0,
            service: String::new(),
            version: String::new(),
        };
        (name(number), entry)
    });
    VmList { version, vms: entries.collect::<BTreeMap<_, _>>() }
}

struct Fleet {
    table: Rc<MemberTable>,
    directory: Rc<VmDirectory>,
    peers: Rc<PeerStandin>,
}

/// Starts the table of router 0 in a fleet of `count`, all of them alive.
fn start(count: u16, failing: Option<u16>) -> Fleet {
    let directory = Rc::new(VmDirectory::new(name(0)));
    directory.update(list(1, 0..count));
    let options =
        MemberOptions { probe_interval: INTERVAL, suspect_timeout: INTERVAL };
    let id = HolderId::new(name(0), 1);
    let table = MemberTable::new(id, directory.clone(), options);
    for number in 1..count {
        table.record_alive(&HolderId::new(name(number), 1));
    }
    let table = Rc::new(table);
    let peers = Rc::new(PeerStandin {
        pinged: RefCell::default(),
        failing: failing.map(address),
        failures_left: Cell::new(1),
    });
    let timer = TimerService::new();
    monoio::spawn(timer.clone().run());
    monoio::spawn(table.clone().run(peers.clone(), timer));
    Fleet { table, directory, peers }
}

fn dead(table: &MemberTable) -> Vec<String> {
    let mut members = table.members();
    members.retain(|member| member.status != MemberStatus::Alive);
    members.into_iter().map(|member| member.id.vm).collect()
}

/// A third of a fleet is turned away by the platform and disappears from its
/// list. They live, and nobody has an address to ask them.
#[test]
fn a_router_that_is_no_longer_listed_is_not_suspected() {
    let ran = block_on(async {
        let fleet = start(20, None);
        while fleet.peers.pinged.borrow().is_empty() {
            sleep(INTERVAL / 4).await;
        }
        fleet.directory.update(list(2, 0..1));
        sleep(INTERVAL * 10).await;
        assert_eq!(dead(&fleet.table), Vec::<String>::new());
    });
    ran.expect("runtime");
}

/// One lost answer in a large fleet: the suspect is told at once and stays
/// alive, although its next turn would come after the timeout.
#[test]
fn a_suspect_is_probed_again_before_its_time_is_over() {
    const ROUTERS: u16 = 200;
    let ran = block_on(async {
        let fleet = start(ROUTERS, Some(7));
        while fleet.peers.failures_left.get() > 0 {
            sleep(INTERVAL / 4).await;
        }
        assert_eq!(dead(&fleet.table), ["vm-7"]);
        sleep(INTERVAL * 4).await;
        assert_eq!(dead(&fleet.table), Vec::<String>::new());
    });
    ran.expect("runtime");
}

/// Peers whose first pings are lost, which shows after some time.
#[derive(Default)]
struct LossyPeers {
    pinged: RefCell<BTreeMap<SocketAddr, u32>>,
}

/// Time after which a lost ping fails.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

impl PeerPort for LossyPeers {
    fn call(
        &self,
        peer: SocketAddr,
        call: PeerCall,
    ) -> PortFuture<'_, Result<PeerAnswer, PeerFault>> {
        Box::pin(async move {
            let PeerCall::Ping(message) = call else {
                return Ok(PeerAnswer::Reached(false));
            };
            let count = {
                let mut pinged = self.pinged.borrow_mut();
                let count = pinged.entry(peer).or_default();
                *count += 1;
                *count
            };
            if count == 1 {
                sleep(PING_TIMEOUT).await;
                let reason = "timed out".to_owned();
                return Err(PeerFault::Unreachable { reason });
            }
            Ok(PeerAnswer::Pong(pong(peer, &message)))
        })
    }
}

/// DRAIN: a router that leaves told the others one after the other, each of
/// which took a timeout when their connections were silent, and did not tell
/// them again.
#[test]
fn a_leaving_router_tells_all_others_in_time() {
    const ROUTERS: u16 = 40;
    let ran = block_on(async {
        let fleet = start(ROUTERS, None);
        let peers = LossyPeers::default();
        let started = Instant::now();
        fleet.table.broadcast(&peers).await;
        assert!(started.elapsed() < Duration::from_secs(1));
        let pinged = peers.pinged.borrow();
        assert_eq!(pinged.len(), usize::from(ROUTERS) - 1);
        assert!(pinged.values().all(|count| *count == 2), "{pinged:?}");
    });
    ran.expect("runtime");
}
