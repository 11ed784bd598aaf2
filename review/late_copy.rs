//! A worker sends a second copy of an answer, late, while the next request is
//! still being written on that connection, and answers that one before it has
//! read its long body.

#[path = "common.rs"]
mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use common::{
    Message, Record, Sights, Store, Wire, cannot_run, declare, has_trouble,
    listen, register, request_head, serve, start_gateways,
};

/// Bytes of the long body; the limit of the configuration is 4 MiB.
const LONG_BODY: usize = 3_000_000;

/// Every byte of the long body.
const FILLER: u8 = b'b';

/// Bodies from this size on are long.
const LONG: usize = 100_000;

/// Time after which a long request is answered, before its body is read.
const EARLY_AFTER: Duration = Duration::from_millis(100);

/// Pause of a worker before it reads on.
const READ_ON_AFTER: Duration = Duration::from_millis(700);

/// Requests that are answered before, so that the extra answer is one of more
/// than fifty of its worker.
const EARLIER: usize = 300;

/// Long requests, until one comes to the faulty worker.
const LONG_REQUESTS: usize = 12;

/// What workers found where the rest of a long body was due.
type Foreign = Arc<Mutex<Vec<String>>>;

/// Reads the rest of a long body; notes other bytes in their place.
fn read_on(
    wire: &mut Wire,
    mut due: usize,
    id: &str,
    record: &Record,
    foreign: &Foreign,
) -> bool {
    while due > 0 {
        if wire.buffer.is_empty() && !wire.fill() {
            record.note(format!(
                "the connection of {id} ends, {due} bytes of its body are due"
            ));
            return false;
        }
        let count = due.min(wire.buffer.len());
        let part: Vec<u8> = wire.buffer.drain(..count).collect();
        due -= count;
        if let Some(at) = part.iter().position(|byte| *byte != FILLER) {
            let text = String::from_utf8_lossy(&part[at..]).into_owned();
            let lines: Vec<&str> = text.lines().take(3).collect();
            let lines = lines.join(" / ");
            record.note(format!(
                "in place of the body of {id} come other bytes: {lines}"
            ));
            foreign.lock().expect("foreign").push(lines);
            return false;
        }
    }
    record.note(format!("the whole body of {id} has been read"));
    true
}

fn answer(wire: &mut Wire, id: &str, attempt: &str, status: u16) -> Vec<u8> {
    let bytes = format!(
        "HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\nServer-Stamp: \
         {id}.{attempt}\r\nContent-Length: 4\r\n\r\nmilk"
    );
    let _ = wire.stream.write_all(bytes.as_bytes());
    bytes.into_bytes()
}

fn start_worker(
    store: &Store,
    id: &'static str,
    record: &Record,
    sights: &Sights,
    repeats: Option<Arc<AtomicBool>>,
    foreign: &Foreign,
) {
    let listener = listen();
    register(store, id, "ledger", listener.local_addr().expect("address"));
    let (record, sights) = (record.clone(), sights.clone());
    let foreign = foreign.clone();
    serve(listener, move |mut wire| {
        let mut last_answer = Vec::new();
        while let Some(mut request) = wire.head() {
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            let length: usize = request
                .header("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            if request.header("expect-instance") != Some(id) {
                return;
            }
            if length < LONG {
                wire.body(&mut request);
                sights.add(id, &attempt);
                if request.path() != "/lookup/x" {
                    record.note(format!("{id} runs {attempt}"));
                }
                last_answer = answer(&mut wire, id, &attempt, 200);
                continue;
            }
            let Some(repeats) = &repeats else {
                record.note(format!("{id} reads all of {attempt}"));
                wire.body(&mut request);
                sights.add(id, &attempt);
                last_answer = answer(&mut wire, id, &attempt, 200);
                continue;
            };
            if repeats.swap(false, Ordering::SeqCst) {
                record.note(format!(
                    "{id} sends its answer before {attempt} once more, behind \
                     {} requests there",
                    sights.at(id).len()
                ));
                let _ = wire.stream.write_all(&last_answer);
            }
            thread::sleep(EARLY_AFTER);
            record.note(format!(
                "{id} answers {attempt} before it has read its body"
            ));
            last_answer = answer(&mut wire, id, &attempt, 413);
            thread::sleep(READ_ON_AFTER);
            if !read_on(&mut wire, length, &attempt, &record, &foreign) {
                // Keeps the connection, as a worker that waits for the rest.
                let mut rest = Vec::new();
                let _ = wire.stream.read_to_end(&mut rest);
                return;
            }
        }
    });
}

fn send(
    wire: &mut Wire,
    record: &Record,
    method: &str,
    target: &str,
    id: &str,
    body: &[u8],
) -> Option<Message> {
    record.note(format!("client sends {id} with {} bytes", body.len()));
    let head = request_head(method, target, id, body.len(), "");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    wire.stream.write_all(&bytes).ok()?;
    let answer = wire.message();
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    record.note(format!("{id}: {status}"));
    answer
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder");
    let record = Record::new(&folder);
    let trouble = has_trouble();
    record.note(format!("trouble: {trouble}"));
    let store = Store::start();
    declare(&store, 2, 10_000_000);
    let sights = Sights::default();
    let foreign = Foreign::default();
    let repeats = Arc::new(AtomicBool::new(false));
    let faulty = Some(repeats.clone());
    start_worker(&store, "w-1", &record, &sights, faulty, &foreign);
    start_worker(&store, "w-2", &record, &sights, None, &foreign);
    let gateways = start_gateways(&record, &store, 2);
    let stream = TcpStream::connect(gateways[0].address).expect("connection");
    let wait = Some(Duration::from_secs(12));
    stream.set_read_timeout(wait).expect("timeout");
    let mut wire = Wire::new(stream);
    for number in 0..EARLIER {
        let id = format!("e{number}");
        let head = request_head("GET", "/lookup/x", &id, 0, "");
        let sent = wire.stream.write_all(head.as_bytes());
        if sent.is_err() || wire.message().is_none_or(|a| a.status() != 200) {
            drop(gateways);
            cannot_run(&record, "an early request was not answered");
        }
    }
    record.note(format!("{EARLIER} requests have been answered"));
    repeats.store(trouble, Ordering::SeqCst);
    let body = vec![FILLER; LONG_BODY];
    let mut was_early = false;
    for number in 0..LONG_REQUESTS {
        let id = format!("long{number}");
        let (method, target) = ("POST", "/lookup/b");
        let long = send(&mut wire, &record, method, target, &id, &body);
        was_early = long.is_some_and(|answer| answer.status() == 413);
        if was_early {
            break;
        }
    }
    if !was_early {
        drop(gateways);
        cannot_run(&record, "no long request came to w-1");
    }
    // Payments follow on the connections that the gateway has kept.
    let mut statuses = Vec::new();
    for number in 0..4 {
        let id = format!("paid{number}");
        let (method, target) = ("POST", "/pay/c");
        let paid = send(&mut wire, &record, method, target, &id, b"pay once");
        statuses.push(paid.map_or(0, |answer| answer.status()));
    }
    thread::sleep(READ_ON_AFTER * 2);
    drop(gateways);
    let foreign = foreign.lock().expect("foreign");
    record.note(format!(
        "{} bodies with other bytes; the payments behind got {statuses:?}",
        foreign.len()
    ));
    if !trouble && statuses.iter().any(|status| *status != 200) {
        std::process::exit(2);
    }
    let is_broken = !foreign.is_empty();
    let end = if is_broken { "broken" } else { "kept" };
    record.note(format!("UNASKED is {end}"));
    std::process::exit(i32::from(is_broken));
}
