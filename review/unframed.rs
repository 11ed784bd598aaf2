//! A worker crashes while it sends a stream that has neither a length nor
//! chunks, to a client that reads slowly.

#[path = "common.rs"]
mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    os::fd::AsRawFd,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use common::{
    Record, Sights, Store, Wire, declare, has_trouble, listen, register,
    request_head, serve, start_gateways,
};

/// Events of a whole stream.
const EVENTS: usize = 220;

/// Bytes of an event.
const EVENT_BYTES: usize = 4_000;

/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(30);

/// Workers, one of which crashes.
const WORKERS: [&str; 7] = ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7"];

/// Streams, and the time between the starts of two of them.
const STREAMS: usize = 210;
const START_GAP: Duration = Duration::from_millis(8);

/// Time from the start of the last stream to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(1_350);

/// Rounds, until a stream ends falsely. One worker crashes in each; the one
/// of the round before is up again.
const ROUNDS: usize = 4;

/// For how long a client reads nothing after the head of its answer.
const READ_PAUSE: Duration = Duration::from_millis(3_400);

#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(
        socket: i32,
        level: i32,
        name: i32,
        value: *const Linger,
        length: u32,
    ) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Has the connection reset when it is closed, as that of a crashed worker.
fn reset_on_close(stream: &TcpStream) {
    let linger = Linger { is_on: 1, seconds: 0 };
    let length = size_of::<Linger>() as u32;
    // SAFETY: the value has the type and the length that the option takes.
    let done = unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length)
    };
    assert_eq!(done, 0, "SO_LINGER");
}

/// The streams that run at a worker, and whether it has crashed.
#[derive(Default)]
struct WorkerState {
    running: AtomicUsize,
    has_crashed: AtomicBool,
}

fn start_worker(
    store: &Store,
    id: &'static str,
    record: &Record,
    sights: &Sights,
) -> Arc<WorkerState> {
    let listener = listen();
    register(store, id, "engines", listener.local_addr().expect("address"));
    let (record, sights) = (record.clone(), sights.clone());
    let state = Arc::new(WorkerState::default());
    let shared = state.clone();
    serve(listener, move |mut wire| {
        if shared.has_crashed.load(Ordering::SeqCst) {
            reset_on_close(&wire.stream);
            return;
        }
        let Some(request) = wire.message() else { return };
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if request.header("expect-instance") != Some(id) {
            return;
        }
        sights.add(id, &attempt);
        record.note(format!("{id} runs {attempt}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: \
             {id}.1\r\nContent-Type: text/event-stream\r\n\
             Weight-Versions: 1\r\n\r\n"
        );
        if wire.stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        shared.running.fetch_add(1, Ordering::SeqCst);
        let filler = "x".repeat(EVENT_BYTES);
        for number in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            if shared.has_crashed.load(Ordering::SeqCst) {
                record.note(format!(
                    "{id} has crashed: {attempt} is reset behind event {} of \
                     {EVENTS}",
                    number - 1
                ));
                reset_on_close(&wire.stream);
                return;
            }
            let event = format!("id: {number}\ndata: {filler}\n\n");
            if wire.stream.write_all(event.as_bytes()).is_err() {
                record.note(format!("{id}: {attempt} closed by its sender"));
                return;
            }
        }
        shared.running.fetch_sub(1, Ordering::SeqCst);
        record.note(format!("{id} has sent all of {attempt}"));
    });
    state
}

/// Reads a stream slowly; returns the last event and whether the answer is
/// framed as whole.
fn read_slowly(wire: &mut Wire) -> (usize, bool, u16) {
    let Some(head) = wire.head() else { return (0, false, 0) };
    let mut bytes = std::mem::take(&mut wire.buffer);
    thread::sleep(READ_PAUSE);
    let mut part = vec![0; 16_384];
    loop {
        match wire.stream.read(&mut part) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ => break,
        }
        if bytes.ends_with(b"\r\n0\r\n\r\n") {
            break;
        }
    }
    let is_whole = bytes.ends_with(b"\r\n0\r\n\r\n");
    let text = String::from_utf8_lossy(&bytes);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let last = ids.filter_map(|id| id.parse().ok()).max().unwrap_or(0);
    (last, is_whole, head.status())
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder");
    let record = Record::new(&folder);
    let trouble = has_trouble();
    record.note(format!("trouble: {trouble}"));
    let store = Store::start();
    declare(&store, 2, 10_000_000);
    let sights = Sights::default();
    let workers =
        WORKERS.map(|id| start_worker(&store, id, &record, &sights));
    let gateways = start_gateways(&record, &store, 3);
    let mut false_ends = 0;
    let mut failed = 0;
    for round in 1..=ROUNDS {
        let mut clients = Vec::new();
        for number in 0..STREAMS {
            let address = gateways[number % gateways.len()].address;
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let id = format!("r{round}-{number}");
                let stream = TcpStream::connect(address).expect("connection");
                let wait = Some(Duration::from_secs(12));
                stream.set_read_timeout(wait).expect("timeout");
                let mut wire = Wire::new(stream);
                let extra = "Model: m\r\nToken-Usage: 100,1320\r\n\
                             Prefix-Hash: a1:60,b2:40\r\n";
                let head = request_head("POST", "/summary/x", &id, 0, extra);
                record.note(format!("client sends {id}"));
                wire.stream.write_all(head.as_bytes()).expect("request");
                let (last, is_whole, status) = read_slowly(&mut wire);
                let end = if is_whole { "ended as complete" } else { "broken off" };
                record.note(format!(
                    "{id}: {status}, events up to {last} of {EVENTS}, {end}"
                ));
                (last, is_whole)
            }));
            thread::sleep(START_GAP);
        }
        thread::sleep(CRASH_AFTER);
        if trouble {
            // The worker with most streams crashes.
            let busiest = (0..WORKERS.len())
                .max_by_key(|n| workers[*n].running.load(Ordering::SeqCst));
            let busiest = busiest.expect("workers");
            let count = workers[busiest].running.load(Ordering::SeqCst);
            record.note(format!(
                "{} crashes with {count} streams",
                WORKERS[busiest]
            ));
            workers[busiest].has_crashed.store(true, Ordering::SeqCst);
        }
        for client in clients {
            let (last, is_whole) = client.join().expect("client");
            false_ends += usize::from(is_whole && last < EVENTS);
            failed += usize::from(last < EVENTS);
        }
        for worker in &workers {
            worker.has_crashed.store(false, Ordering::SeqCst);
            worker.running.store(0, Ordering::SeqCst);
        }
        if false_ends > 0 || !trouble {
            break;
        }
        record.note("all workers are up");
        thread::sleep(Duration::from_millis(4_500));
    }
    drop(gateways);
    record.note(format!(
        "{failed} streams lack events; {false_ends} of them ended as complete"
    ));
    if !trouble && failed > 0 {
        std::process::exit(2);
    }
    let is_broken = false_ends > 0;
    record.note(if is_broken { "ORDER is broken" } else { "ORDER is kept" });
    std::process::exit(i32::from(is_broken));
}
