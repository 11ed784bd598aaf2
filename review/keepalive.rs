//! A worker states a very long idle timeout in the head of one answer.

#[path = "common.rs"]
mod common;

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use common::{
    Record, Sights, Store, Wire, cannot_run, declare, has_trouble, listen, register,
    request_head, serve, start_gateways,
};

/// Clients with a kept connection each.
const CLIENTS: usize = 12;

/// Time that a payment runs at a worker.
const WORK: Duration = Duration::from_millis(700);

/// Requests that are answered before, so that the spoiled answer is one of
/// more than fifty of its worker.
const EARLIER: usize = 240;

/// Seconds in the header `Keep-Alive` of the one answer.
const LONG_TIMEOUT_S: u64 = i64::MAX as u64;

/// Starts a worker. `spoils` has it state the long timeout in the next answer.
fn start_worker(
    store: &Store,
    id: &'static str,
    record: &Record,
    sights: &Sights,
    spoils: Arc<AtomicBool>,
    spoiler: Arc<Mutex<Option<&'static str>>>,
) {
    let listener = listen();
    register(store, id, "ledger", listener.local_addr().expect("address"));
    let (record, sights) = (record.clone(), sights.clone());
    serve(listener, move |mut wire| {
        while let Some(request) = wire.message() {
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            if request.header("expect-instance") != Some(id) {
                let head = format!(
                    "HTTP/1.1 421 X\r\nNot-Executed: 1\r\nAttempt-Id: \
                     {attempt}\r\nContent-Length: 0\r\n\r\n"
                );
                if wire.stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            sights.add(id, &attempt);
            if request.path().starts_with("/pay/") {
                record.note(format!("{id} runs {attempt}"));
                thread::sleep(WORK);
            }
            let is_last = request.path() == "/lookup/last";
            let spoiled = is_last && spoils.swap(false, Ordering::SeqCst);
            let timeout = if spoiled { LONG_TIMEOUT_S } else { 8 };
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: \
                 {id}.1\r\nKeep-Alive: timeout={timeout}\r\n\
                 Content-Length: 4\r\n\r\nmilk"
            );
            if spoiled {
                *spoiler.lock().expect("spoiler") = Some(id);
                record.note(format!(
                    "{id} answers {attempt}, one of {} requests there, with \
                     Keep-Alive: timeout={timeout}",
                    sights.at(id).len()
                ));
            }
            if wire.stream.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    });
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder");
    let record = Record::new(&folder);
    let trouble = has_trouble();
    record.note(format!("trouble: {trouble}"));
    let store = Store::start();
    declare(&store, 2, 10_000_000);
    let sights = Sights::default();
    let spoils = Arc::new(AtomicBool::new(false));
    let spoiler = Arc::new(Mutex::new(None));
    for id in ["w-1", "w-2", "w-3"] {
        let (spoils, spoiler) = (spoils.clone(), spoiler.clone());
        start_worker(&store, id, &record, &sights, spoils, spoiler);
    }
    let mut gateways = start_gateways(&record, &store, 3);
    let address = gateways[0].address;
    let stream = TcpStream::connect(address).expect("connection");
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
    // Each client has one kept connection and sends two requests on it.
    let results = Arc::new(Mutex::new(Vec::new()));
    let (ready, all_ready) = mpsc::channel();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, results) = (record.clone(), results.clone());
        let ready = ready.clone();
        clients.push(thread::spawn(move || {
            let stream = TcpStream::connect(address).expect("connection");
            let wait = Some(Duration::from_secs(12));
            stream.set_read_timeout(wait).expect("timeout");
            let mut wire = Wire::new(stream);
            for round in 0..2 {
                let id = format!("c{number}-{round}");
                let head = request_head("POST", "/pay/x", &id, 0, "");
                record.note(format!("client sends {id}"));
                if round == 1 {
                    let _ = ready.send(());
                }
                let sent = wire.stream.write_all(head.as_bytes());
                let answer = sent.ok().and_then(|()| wire.message());
                let status = answer.as_ref().map_or(0, |a| a.status());
                record.note(match status {
                    0 => format!("{id}: closed without an answer"),
                    _ => format!("{id}: {status}"),
                });
                results.lock().expect("results").push((id, round, status));
                if status == 0 {
                    return;
                }
            }
        }));
    }
    for _ in 0..CLIENTS {
        let _ = all_ready.recv_timeout(Duration::from_secs(20));
    }
    thread::sleep(Duration::from_millis(200));
    spoils.store(trouble, Ordering::SeqCst);
    let head = request_head("GET", "/lookup/last", "last", 0, "");
    let _ = wire.stream.write_all(head.as_bytes());
    let status = wire.message().map_or(0, |answer| answer.status());
    record.note(format!("last: {status}"));
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(300));
    let ended = gateways[0].ended();
    if let Some(status) = &ended {
        record.note(format!("edge-1 has ended by itself: {status}"));
        record.note(gateways[0].errors().trim().to_owned());
    }
    let results = results.lock().expect("results");
    // Only requests at other workers than the faulty one count.
    let spoiler = *spoiler.lock().expect("spoiler");
    let sound = ["w-1", "w-2", "w-3"].map(|id| match Some(id) == spoiler {
        true => Default::default(),
        false => sights.at(id),
    });
    let lost = results.iter().filter(|(id, round, status)| {
        let ran = sound.iter().any(|ran| ran.contains(id));
        *round == 1 && *status == 0 && ran
    });
    let lost = lost.count();
    drop(gateways);
    record.note(format!(
        "{lost} requests from kept connections were passed on to a sound \
         worker and closed without an answer; 3 are allowed"
    ));
    let is_broken = lost > 3;
    record.note(if is_broken { "LOST is broken" } else { "LOST is kept" });
    std::process::exit(i32::from(is_broken));
}
