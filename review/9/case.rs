//! The open connections between the machines go silent for good, while new
//! ones work. Later, requests with a part that crashes workers come.

#[path = "../lab-2.rs"]
mod lab;

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use lab::{
    Machines, Record, Relay, Request, Store, Worker, call, config, free_port,
    pause, trouble, wait_ready,
};

const GATEWAYS: usize = 5;
const WORKERS: usize = 8;

/// When the connections go silent, and when the requests with the deadly part
/// come, one each second, at one machine after the other.
const SILENT_AT: f64 = 3.0;
const DEADLY_AT: f64 = 8.0;
const DEADLY_S: f64 = 22.0;
const DEADLY_GAP_S: f64 = 1.0;

/// Time until a worker that has crashed is back.
const BACK_MS: u64 = 2_000;

const STABILITY_WINDOW_S: f64 = 3.0;

/// Requests that the rule allows later than that after the fifth crash.
const ALLOWED: usize = 3;

/// Sound streams: their number a second at each machine, their events, and
/// the time between two.
const RATE: f64 = 6.0;
const EVENTS: u64 = 10;
const EVENT_MS: u64 = 60;

const DEADLY_PART: &str = "dead01";

#[derive(Default)]
struct Seen {
    /// When a request with the part reached a worker: when it was sent, its
    /// id, and the worker.
    deadly: Vec<(f64, f64, String)>,
    crashes: Vec<f64>,
    /// When a sound stream was sent, its id, its status and whether it came
    /// to its end.
    ends: Vec<(f64, String, u16, bool)>,
}

fn has_deadly_part(request: &Request) -> bool {
    let parts: Vec<&str> = request.header("prefix-hash").split(',').collect();
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().any(|part| part.starts_with(DEADLY_PART))
}

/// Answers with a stream of events.
fn stream(own: &Worker, request: &Request, out: &mut TcpStream) -> bool {
    let id = request.header("attempt-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\nAttempt-Id: {id}\r\n\
         Server-Stamp: stamp-{}\r\n\r\n",
        own.id
    );
    if out.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let last = request.header("last-event-id").parse().unwrap_or(0);
    for number in last + 1..=EVENTS {
        pause(EVENT_MS);
        let event = format!("id: {number}\ndata: piece-{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if out.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    out.write_all(b"0\r\n\r\n").is_ok()
}

fn play() -> i32 {
    let record = Record::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config(1, 1_000_000_000, 9_000));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for number in 0..WORKERS {
        let id = format!("i-{number}");
        let (record, seen) = (record.clone(), seen.clone());
        let serve = move |own: &Worker, request: &Request, out: &mut _| {
            if !own.is_meant(request, out) {
                return true;
            }
            if !has_deadly_part(request) {
                return stream(own, request, out);
            }
            let now = record.now();
            let id = request.header("attempt-id");
            // Clients name the time of sending in the id.
            let sent_at = id.split('-').nth(1).unwrap_or_default();
            let sent_at = sent_at.parse().unwrap_or(0.0) / 1e3;
            let at = format!("{id} at {}", own.id);
            {
                let mut seen = seen.lock().expect("seen");
                seen.deadly.push((now, sent_at, at));
                seen.crashes.push(now);
            }
            own.exit();
            pause(BACK_MS);
            own.come_back();
            false
        };
        Worker::start(&store, &id, "asistente", "v1", serve);
    }

    // Each machine calls the others through relays of its own, so that its
    // port for traffic between machines differs from theirs.
    let machines = Machines::new();
    let ports: Vec<u16> = (0..GATEWAYS).map(|_| free_port()).collect();
    let mut relays = Vec::new();
    let mut gateways = Vec::new();
    for from in 0..GATEWAYS {
        for to in (0..GATEWAYS).filter(|to| *to != from) {
            let at = format!("{}:{}", machines.ip(to), ports[from]);
            let target = format!("{}:{}", machines.ip(to), ports[to]);
            let target = target.parse().expect("address");
            relays.push(Relay::start(&at, target));
        }
    }
    for number in 0..GATEWAYS {
        let port = ports[number];
        gateways.push(machines.start(number, store.address, port, 0));
    }
    wait_ready(&record, &gateways);
    pause(2_000);

    let start = record.now();
    let stop: Arc<AtomicBool> = Arc::default();
    let mut threads = Vec::new();
    const LANES: usize = 40;
    for lane in 0..LANES {
        let (record, seen, stop) =
            (record.clone(), seen.clone(), stop.clone());
        let front = gateways[lane % GATEWAYS].front;
        threads.push(thread::spawn(move || {
            let pace = LANES as f64 / (RATE * GATEWAYS as f64);
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                let due = count as f64 + lane as f64 / LANES as f64;
                record.sleep_until(start + due * pace);
                count += 1;
                let id = format!("sound-{lane}-{count}");
                let parts = format!("a1:300,b{}:200,{id}:80", count % 9);
                let sent_at = record.now();
                let more = [
                    ("Deadline-Ms", "9000"),
                    ("Model", "m"),
                    ("Token-Usage", "580,60"),
                    ("Prefix-Hash", parts.as_str()),
                ];
                let answer = call(front, "POST", "/consulta/1", &id, &more);
                let answer = answer.unwrap_or_default();
                let end = (sent_at, id, answer.status, answer.is_whole);
                seen.lock().expect("seen").ends.push(end);
            }
        }));
    }
    record.say("traffic begins");

    record.sleep_until(start + SILENT_AT);
    if trouble() {
        let open: usize = relays.iter().map(Relay::silence_open).sum();
        record.say(&format!(
            "{open} open connections between machines go silent for good"
        ));
    }
    record.sleep_until(start + DEADLY_AT);
    record.say("requests with a part that crashes workers come");
    let mut count = 0;
    let mut callers = Vec::new();
    while record.now() < start + DEADLY_AT + DEADLY_S {
        let front = gateways[count % GATEWAYS].front;
        let (own, number) = (record.clone(), count);
        callers.push(thread::spawn(move || {
            let sent_at = (own.now() * 1e3) as u64;
            let id = format!("deadly-{sent_at}-{number}");
            let parts = format!("a1:300,{DEADLY_PART}:200,{id}:80");
            let more = [
                ("Deadline-Ms", "9000"),
                ("Model", "m"),
                ("Token-Usage", "580,60"),
                ("Prefix-Hash", parts.as_str()),
            ];
            let answer = call(front, "POST", "/ronda/1", &id, &more);
            let status = answer.map_or(0, |answer| answer.status);
            let machine = number % GATEWAYS;
            own.line(&format!("answered: {id} {status} by edge-{machine}"));
        }));
        count += 1;
        let next = DEADLY_AT + count as f64 * DEADLY_GAP_S;
        record.sleep_until(start + next);
    }
    pause(1_500);
    stop.store(true, Ordering::SeqCst);
    for thread in threads.into_iter().chain(callers) {
        let _ = thread.join();
    }
    for gateway in &gateways {
        let count = gateway.events("part_quarantined").len();
        record.line(&format!("{}: {count} quarantines", gateway.name));
    }
    drop(gateways);

    let seen = seen.lock().expect("seen");
    for (at, sent_at, id) in &seen.deadly {
        record.line(&format!("crashed at {at:.3}: {id}, sent {sent_at:.3}"));
    }
    for (at, id, status, is_whole) in &seen.ends {
        record.line(&format!(
            "answered: {id} {status}, whole: {is_whole}, sent at {at:.3}"
        ));
    }
    if seen.crashes.is_empty() || seen.ends.is_empty() {
        return 2;
    }
    let fifth = seen.crashes.get(4).copied();
    let late = seen.deadly.iter().filter(|(at, sent_at, _)| {
        fifth.is_some_and(|fifth| {
            *sent_at > fifth + STABILITY_WINDOW_S && *at > fifth
        })
    });
    let late = late.count();
    let cut = seen.ends.iter().filter(|(.., status, is_whole)| {
        *status != 503 && !(*status == 200 && *is_whole)
    });
    record.say(&format!(
        "{} crashes, the fifth at {:.3}; {late} requests with the part \
         reached workers later than {STABILITY_WINDOW_S} s after it \
         ({ALLOWED} are allowed); {} of {} sound streams were cut off or \
         failed",
        seen.crashes.len(),
        fifth.unwrap_or(f64::NAN),
        cut.count(),
        seen.ends.len(),
    ));
    let broken = late > ALLOWED;
    record.say(if broken { "BUDGET is broken" } else { "BUDGET held" });
    i32::from(broken)
}

fn main() {
    lab::run(play)
}
