//! A part of a prompt crashes each worker that has begun to write an answer on
//! it: the first event has left when it crashes.

#[path = "common.rs"]
mod common;

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use common::{
    Record, Store, Wire, declare, has_trouble, listen, request_head,
    start_gateways,
};

const WORKERS: [&str; 8] =
    ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8"];

/// The part that crashes workers; it is never the last one.
const DEADLY_PART: &str = "dead:300";

/// One of this many requests has the part.
const DEADLY_OF: usize = 20;

/// For how long such requests come, and the time between two requests.
const DEADLY_TIME: Duration = Duration::from_secs(22);
const REQUEST_GAP: Duration = Duration::from_millis(40);

/// Time until a crashed worker is up again.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Events of a stream, and the time before each.
const EVENTS: usize = 10;
const EVENT_GAP: Duration = Duration::from_millis(20);

/// Of the rule: the crashes after which the part has to be known, the time
/// after these (`stabilityWindowMs`), and the requests that may come then.
const KNOWN_CRASHES: usize = 5;
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
const MOST_LATE: usize = 3;

/// What workers have seen.
#[derive(Default)]
struct Seen {
    /// When requests with the part reached a worker.
    deadly: Vec<Instant>,
    crashes: Vec<Instant>,
}

type SharedSeen = Arc<Mutex<Seen>>;

struct Worker {
    id: &'static str,
    address: SocketAddr,
    store: Store,
    /// How often the worker has crashed.
    crashes: AtomicU64,
    /// How often its port has been closed since.
    closed: AtomicU64,
    crashes_on_part: bool,
    record: Record,
    seen: SharedSeen,
}

impl Worker {
    /// Accepts connections; after a crash the port is closed for a while.
    fn run(self: Arc<Worker>, mut listener: TcpListener) {
        loop {
            let life = self.crashes.load(Ordering::SeqCst);
            listener.set_nonblocking(true).expect("listener");
            let born = SystemTime::now().duration_since(UNIX_EPOCH);
            let born = born.expect("clock").as_millis();
            self.write(born, 1);
            let mut registered = Instant::now();
            let mut sequence = 2;
            while self.crashes.load(Ordering::SeqCst) == life {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("stream");
                        let own = self.clone();
                        thread::spawn(move || own.serve(stream, life));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
                if registered.elapsed() > Duration::from_millis(1_200) {
                    registered = Instant::now();
                    self.write(born, sequence);
                    sequence += 1;
                }
            }
            drop(listener);
            self.closed.store(life + 1, Ordering::SeqCst);
            thread::sleep(DOWN_TIME);
            listener = loop {
                if let Ok(listener) = TcpListener::bind(self.address) {
                    break listener;
                }
                thread::sleep(Duration::from_millis(20));
            };
        }
    }

    fn write(&self, born: u128, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"engines\",\"address\":\"{}\",\"zone\":\"z-1\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
            self.address
        );
        self.store.put("keyed.servers", self.id, &entry);
    }

    /// Whether the worker has crashed. Its port is closed before its
    /// connections, as when the system ends a process.
    fn has_crashed(&self, life: u64) -> bool {
        if self.crashes.load(Ordering::SeqCst) == life {
            return false;
        }
        while self.closed.load(Ordering::SeqCst) <= life {
            thread::sleep(Duration::from_micros(200));
        }
        true
    }

    fn serve(&self, stream: TcpStream, life: u64) {
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.message() {
            let id = request.header("attempt-id").unwrap_or("").to_owned();
            if request.header("expect-instance") != Some(self.id)
                || self.has_crashed(life)
            {
                return;
            }
            let parts = request.header("prefix-hash").unwrap_or("");
            let is_deadly = parts.contains(DEADLY_PART);
            if is_deadly {
                self.seen.lock().expect("seen").deadly.push(Instant::now());
                self.record.note(format!("{id} reaches {}", self.id));
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: \
                 {}.1\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\nWeight-Versions: 1\r\n\r\n",
                self.id
            );
            if wire.stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            let first = request.header("last-event-id");
            let first = first.and_then(|id| id.parse().ok()).unwrap_or(0);
            for number in first + 1..=EVENTS {
                thread::sleep(EVENT_GAP);
                if self.has_crashed(life) {
                    return;
                }
                let event = format!("id: {number}\ndata: milk\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if wire.stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                if is_deadly && self.crashes_on_part {
                    thread::sleep(Duration::from_millis(2));
                    self.crash(life, &id);
                    return;
                }
            }
            if wire.stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    fn crash(&self, life: u64, id: &str) {
        let (next, order) = (life + 1, Ordering::SeqCst);
        if self.crashes.compare_exchange(life, next, order, order).is_ok() {
            self.seen.lock().expect("seen").crashes.push(Instant::now());
            self.record.note(format!("{} crashes on {id}", self.id));
        }
        self.has_crashed(life);
    }
}

/// How a client's stream ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    BrokenOff,
    Refused(u16),
}

fn ask(address: SocketAddr, id: &str, parts: &str) -> End {
    let Ok(stream) = TcpStream::connect(address) else {
        return End::Refused(0);
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
    let mut wire = Wire::new(stream);
    let extra = format!(
        "Model: m\r\nToken-Usage: 900,60\r\nPrefix-Hash: {parts}\r\n"
    );
    let head = request_head("POST", "/round/x", id, 0, &extra);
    if wire.stream.write_all(head.as_bytes()).is_err() {
        return End::Refused(0);
    }
    match wire.message() {
        None => End::BrokenOff,
        Some(answer) if answer.status() != 200 => {
            End::Refused(answer.status())
        }
        Some(answer) if answer.is_whole => End::Whole,
        Some(_) => End::BrokenOff,
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder");
    let record = Record::new(&folder);
    let trouble = has_trouble();
    record.note(format!("trouble: {trouble}"));
    let store = Store::start();
    declare(&store, 2, 100_000_000);
    let seen = SharedSeen::default();
    for id in WORKERS {
        let listener = listen();
        let worker = Arc::new(Worker {
            id,
            address: listener.local_addr().expect("address"),
            store: store.clone(),
            crashes: AtomicU64::new(0),
            closed: AtomicU64::new(0),
            crashes_on_part: trouble,
            record: record.clone(),
            seen: seen.clone(),
        });
        thread::spawn(move || worker.run(listener));
    }
    let gateways = start_gateways(&record, &store, 3);
    let began = Instant::now();
    let mut clients = Vec::new();
    for number in 0.. {
        if began.elapsed() >= DEADLY_TIME {
            break;
        }
        let address = gateways[number % gateways.len()].address;
        let is_deadly = number % DEADLY_OF == DEADLY_OF - 1;
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let middle = match is_deadly {
                true => DEADLY_PART.to_owned(),
                false => format!("b{:x}:300", number % 30),
            };
            let parts = format!("a1:500,{middle},ff{number:x}:100");
            let kind = if is_deadly { "deadly" } else { "sound" };
            let id = format!("{kind}-{number}");
            let end = ask(address, &id, &parts);
            if is_deadly || end != End::Whole {
                record.note(match end {
                    End::Whole => format!("{id}: whole"),
                    End::BrokenOff => format!("{id}: broken off"),
                    End::Refused(status) => format!("{id}: {status}"),
                });
            }
            (is_deadly, end)
        }));
        thread::sleep(REQUEST_GAP);
    }
    let (mut sound, mut broken_off, mut refused) = (0, 0, 0);
    for client in clients {
        let (is_deadly, end) = client.join().expect("client");
        if is_deadly {
            continue;
        }
        sound += 1;
        broken_off += usize::from(end == End::BrokenOff);
        refused += usize::from(matches!(end, End::Refused(_)));
    }
    drop(gateways);
    let seen = seen.lock().expect("seen");
    let known = seen.crashes.get(KNOWN_CRASHES - 1);
    let late = known.map_or(0, |known| {
        let late = seen.deadly.iter();
        late.filter(|at| **at > *known + STABILITY_WINDOW).count()
    });
    record.note(format!(
        "{} crashes; {} requests with the part reached workers, {late} of \
         them later than 3 s after the fifth crash, {MOST_LATE} are allowed; \
         of {sound} sound streams {broken_off} were broken off, {refused} \
         refused",
        seen.crashes.len(),
        seen.deadly.len()
    ));
    if !trouble && broken_off + refused > 0 {
        std::process::exit(2);
    }
    let is_broken = late > MOST_LATE;
    let end = if is_broken { "broken" } else { "kept" };
    record.note(format!("BUDGET is {end}"));
    std::process::exit(i32::from(is_broken));
}
