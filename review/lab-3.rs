//! Stand-ins and cases of the third review. Only the standard library.
//!
//! `lab-3 CASE FOLDER` plays one case against `magnolia-gateway` processes
//! and writes `record.txt` into FOLDER. The variable `TROUBLE=0` leaves the
//! disruption out. It exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn sleep_ms(count: u64) {
    thread::sleep(ms(count));
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// The processes that were started and still run.
static PROCESSES: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Longest time of a case.
const CASE_TIME: Duration = Duration::from_secs(114);

fn send_signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .status();
}

/// Ends everything if the case takes too long.
fn watch(record: Record, folder: PathBuf) {
    thread::spawn(move || {
        thread::sleep(CASE_TIME);
        for pid in lock(&PROCESSES).iter() {
            send_signal(*pid, "KILL");
        }
        record.say("the case could not run: it took too long");
        record.write(&folder);
        std::process::exit(2);
    });
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    fn note(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:9.4} {}", text.as_ref());
        lock(&self.lines).push(line);
    }

    fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }

    fn write(&self, folder: &Path) {
        let mut lines = lock(&self.lines).clone();
        lines.sort();
        let text = lines.join("\n") + "\n";
        if let Err(err) = fs::write(folder.join("record.txt"), text) {
            eprintln!("record.txt: {err}");
        }
    }
}

// ------------------------------------------------------------------ the wire

/// A message as it was read: its first line, headers and body.
#[derive(Clone, Debug, Default)]
struct Message {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        let found =
            self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(n, _)| n.eq_ignore_ascii_case(name))
    }

    fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return unescape(value);
            }
        }
        String::new()
    }

    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex =
                std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
            if let Ok(byte) = u8::from_str_radix(hex, 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// One end of a connection, with the bytes that were read ahead.
struct Wire {
    stream: TcpStream,
    ahead: Vec<u8>,
}

/// How the reading of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    Whole,
    /// Without a length or chunks; it ended with its connection.
    Closed,
    Cut,
    TimedOut,
}

impl Wire {
    fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, ahead: Vec::new() }
    }

    fn connect(address: SocketAddr) -> std::io::Result<Wire> {
        Ok(Wire::new(TcpStream::connect_timeout(&address, ms(1_000))?))
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.ahead.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn read_head(&mut self) -> std::io::Result<Option<Message>> {
        loop {
            let end = self.ahead.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let rest = self.ahead.split_off(end + 4);
                let head = std::mem::replace(&mut self.ahead, rest);
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let mut message = Message {
                    line: lines.next().unwrap_or("").to_owned(),
                    ..Message::default()
                };
                for line in lines {
                    if let Some((name, value)) = line.split_once(':') {
                        let header =
                            (name.to_owned(), value.trim().to_owned());
                        message.headers.push(header);
                    }
                }
                return Ok(Some(message));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize) -> std::io::Result<Option<Vec<u8>>> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let rest = self.ahead.split_off(count);
        Ok(Some(std::mem::replace(&mut self.ahead, rest)))
    }

    fn take_line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            let end = self.ahead.windows(2).position(|w| w == b"\r\n");
            if let Some(end) = end {
                let line = self.take(end + 2)?.unwrap_or_default();
                return Ok(Some(
                    String::from_utf8_lossy(&line[..end]).into_owned(),
                ));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body, and passes each part to `on_part` as it arrives.
    fn read_body(
        &mut self,
        head: &Message,
        is_answer: bool,
        mut on_part: impl FnMut(&[u8]),
    ) -> BodyEnd {
        let end_of = |result: std::io::Result<Option<Vec<u8>>>| match result {
            Ok(Some(part)) => Ok(part),
            Ok(None) => Err(BodyEnd::Cut),
            Err(err)
                if matches!(
                    err.kind(),
                    std::io::ErrorKind::WouldBlock
                        | std::io::ErrorKind::TimedOut
                ) =>
            {
                Err(BodyEnd::TimedOut)
            }
            Err(_) => Err(BodyEnd::Cut),
        };
        if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let line = match self.take_line() {
                    Ok(Some(line)) => line,
                    Ok(None) => return BodyEnd::Cut,
                    Err(err)
                        if matches!(
                            err.kind(),
                            std::io::ErrorKind::WouldBlock
                                | std::io::ErrorKind::TimedOut
                        ) =>
                    {
                        return BodyEnd::TimedOut;
                    }
                    Err(_) => return BodyEnd::Cut,
                };
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                    return BodyEnd::Cut;
                };
                match end_of(self.take(size + 2)) {
                    Ok(part) => on_part(&part[..size]),
                    Err(end) => return end,
                }
                if size == 0 {
                    return BodyEnd::Whole;
                }
            }
        }
        if head.has("content-length") {
            let Ok(length) = head.header("content-length").parse::<usize>()
            else {
                return BodyEnd::Cut;
            };
            return match end_of(self.take(length)) {
                Ok(part) => {
                    on_part(&part);
                    BodyEnd::Whole
                }
                Err(end) => end,
            };
        }
        if !is_answer || head.status() == 204 {
            return BodyEnd::Whole;
        }
        loop {
            if !self.ahead.is_empty() {
                on_part(&std::mem::take(&mut self.ahead));
            }
            match self.fill() {
                Ok(0) => return BodyEnd::Closed,
                Ok(_) => {}
                Err(_) => return BodyEnd::Cut,
            }
        }
    }

    fn read_request(&mut self) -> Option<Message> {
        let mut message = self.read_head().ok()??;
        let mut body = Vec::new();
        let end = self
            .read_body(&message, false, |part| body.extend_from_slice(part));
        if end != BodyEnd::Whole {
            return None;
        }
        message.body = body;
        Some(message)
    }

    fn answer(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> bool {
        let mut text = format!("HTTP/1.1 {status} X\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).is_ok()
    }
}

/// Listens at an address and serves each connection with a thread of its own.
fn serve(
    address: SocketAddr,
    handle: impl Fn(&Message, &mut Wire) -> bool + Send + Sync + 'static,
) -> std::io::Result<(SocketAddr, Arc<AtomicBool>)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let stop = Arc::new(AtomicBool::new(false));
    let handle = Arc::new(handle);
    let stopped = stop.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            if stopped.load(Ordering::Acquire) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Some(request) = wire.read_request() {
                    if !handle(&request, &mut wire) {
                        let _ = wire.stream.shutdown(Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    Ok((bound, stop))
}

fn loopback(last: u8) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + high % 250, low, last))
}

fn any_port(last: u8) -> SocketAddr {
    SocketAddr::new(loopback(last), 0)
}

// ----------------------------------------------------------------- the store

#[derive(Clone, Default)]
struct Writer {
    epoch: u64,
    next: Option<u64>,
    done: BTreeMap<u64, u64>,
}

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    writers: BTreeMap<String, Writer>,
}

impl Topic {
    fn push(&mut self, record: &[u8]) {
        let offset = self.records.len() as u64;
        if let Some((length, rest)) = record.split_first() {
            let length = usize::from(*length).min(rest.len());
            let (key, value) = rest.split_at(length);
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value.to_vec()));
            }
        }
        self.records.push(record.to_vec());
    }
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// A log store as `PROTOCOL.md` describes it.
#[derive(Clone)]
struct Store {
    state: Arc<Mutex<StoreState>>,
    address: SocketAddr,
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |w, b| w << 8 | u32::from(*b))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(
                    SET[(word >> (18 - 6 * index)) as usize & 63],
                ));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// The text of a field of a flat JSON object.
fn json_text(body: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(body).into_owned();
    let Some((_, rest)) = text.split_once(&format!("\"{name}\":\"")) else {
        return String::new();
    };
    rest.split('"').next().unwrap_or("").to_owned()
}

fn json_number(body: &[u8], name: &str) -> u64 {
    let text = String::from_utf8_lossy(body).into_owned();
    let Some((_, rest)) = text.split_once(&format!("\"{name}\":")) else {
        return 0;
    };
    let digits: String =
        rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

const JSON: (&str, &str) = ("Content-Type", "application/json");

impl Store {
    fn start(last: u8) -> std::io::Result<Store> {
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let shared = state.clone();
        let (address, _) = serve(any_port(last), move |request, wire| {
            Store::handle(&shared, request, wire)
        })?;
        Ok(Store { state, address })
    }

    /// Writes a record as the operator or a worker does.
    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        lock(&self.state)
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(&record);
    }

    fn value(&self, topic: &str, key: &str) -> String {
        let state = lock(&self.state);
        let found = state.topics.get(topic).and_then(|t| t.newest.get(key));
        found.map_or(String::new(), |(_, v)| {
            String::from_utf8_lossy(v).into_owned()
        })
    }

    fn values(&self, topic: &str) -> Vec<(String, String)> {
        let state = lock(&self.state);
        let Some(topic) = state.topics.get(topic) else { return Vec::new() };
        let values = topic.newest.iter();
        values
            .map(|(k, (_, v))| {
                (k.clone(), String::from_utf8_lossy(v).into_owned())
            })
            .collect()
    }

    fn handle(
        shared: &Mutex<StoreState>,
        request: &Message,
        wire: &mut Wire,
    ) -> bool {
        match request.path() {
            "/magnoliahaven/log-append" => {
                let (status, body) = Store::append(shared, request);
                wire.answer(status, &[JSON], body.as_bytes())
            }
            "/magnoliahaven/log-read" => Store::read(shared, request, wire),
            "/magnoliahaven/log-newest" => {
                let body = Store::newest(shared, request);
                wire.answer(200, &[JSON], body.as_bytes())
            }
            "/magnoliahaven/log-join" => {
                let member = json_text(&request.body, "member");
                let ttl = json_number(&request.body, "ttlMs").max(1_000);
                let mut state = lock(shared);
                state.expire();
                let until = Instant::now() + ms(ttl);
                if state.members.insert(member, until).is_none() {
                    state.generation += 1;
                }
                let generation = state.generation;
                drop(state);
                let body = format!(
                    "{{\"generation\":{generation},\"ttlMs\":{ttl},\"parts\":[]}}"
                );
                wire.answer(200, &[JSON], body.as_bytes())
            }
            "/magnoliahaven/log-leave" => {
                let member = json_text(&request.body, "member");
                let mut state = lock(shared);
                if state.members.remove(&member).is_some() {
                    state.generation += 1;
                }
                drop(state);
                wire.answer(200, &[JSON], b"{}")
            }
            "/magnoliahaven/log-owners" => {
                let mut state = lock(shared);
                state.expire();
                let rows: Vec<String> = state
                    .members
                    .keys()
                    .enumerate()
                    .map(|(n, m)| format!("[\"seats-0\",{n},\"{m}\",0]"))
                    .collect();
                drop(state);
                let body = format!("{{\"parts\":[{}]}}", rows.join(","));
                wire.answer(200, &[JSON], body.as_bytes())
            }
            _ => wire.answer(404, &[JSON], b"{}"),
        }
    }

    fn append(shared: &Mutex<StoreState>, request: &Message) -> (u16, String) {
        let name = request.query("topic");
        if name == "keyed.op" || name == "keyed.servers" {
            return (403, "{}".to_owned());
        }
        let mut state = lock(shared);
        let topic = state.topics.entry(name).or_default();
        let offset = topic.records.len() as u64;
        let at = request.query("at");
        if !at.is_empty() && at.parse() != Ok(offset) {
            return (412, format!("{{\"end\":{offset}}}"));
        }
        let producer = request.query("producer");
        if !producer.is_empty() {
            let epoch: u64 = request.query("epoch").parse().unwrap_or(0);
            let writer = topic.writers.entry(producer).or_default();
            if epoch < writer.epoch {
                return (409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > writer.epoch {
                *writer = Writer { epoch, ..Writer::default() };
            }
            if !request.body.is_empty() {
                let number: u64 =
                    request.query("sequence").parse().unwrap_or(0);
                if let Some(first) = writer.done.get(&number) {
                    return (
                        200,
                        format!("{{\"offset\":{first},\"end\":{offset}}}"),
                    );
                }
                if let Some(next) = writer.next.filter(|next| *next != number)
                {
                    return (
                        409,
                        format!("{{\"reason\":\"seq\",\"sequence\":{next}}}"),
                    );
                }
                writer.next = Some(number + 1);
                writer.done.insert(number, offset);
                writer.done.retain(|done, _| done + 5 > number);
            }
        }
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length =
                u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]])
                    as usize;
            let end = (4 + length).min(rest.len());
            topic.push(&rest[4..end]);
            rest = &rest[end..];
        }
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{}}}", topic.records.len()),
        )
    }

    fn read(
        shared: &Mutex<StoreState>,
        request: &Message,
        wire: &mut Wire,
    ) -> bool {
        let from: u64 = request.query("from").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let most: usize =
            request.query("maxKb").parse().unwrap_or(1_024) * 1_024;
        let deadline = Instant::now() + ms(wait);
        loop {
            {
                let mut state = lock(shared);
                let topic =
                    state.topics.entry(request.query("topic")).or_default();
                let end = topic.records.len() as u64;
                if from > end {
                    return wire.answer(410, &[JSON], b"{\"first\":0}");
                }
                if end > from || Instant::now() >= deadline {
                    let mut body = end.to_be_bytes().to_vec();
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for record in &topic.records[from as usize..] {
                        if body.len() > 16 && body.len() + record.len() > most
                        {
                            break;
                        }
                        body.extend_from_slice(
                            &(record.len() as u32).to_be_bytes(),
                        );
                        body.extend_from_slice(record);
                    }
                    drop(state);
                    return wire.answer(200, &[], &body);
                }
            }
            sleep_ms(3);
        }
    }

    fn newest(shared: &Mutex<StoreState>, request: &Message) -> String {
        let after = request.query("after");
        let mut state = lock(shared);
        let topic = state.topics.entry(request.query("topic")).or_default();
        let end = topic.records.len();
        let mut items = Vec::new();
        for (key, (offset, value)) in &topic.newest {
            if *key > after || after.is_empty() {
                let value = base64(value);
                items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
            }
        }
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"end\":{end}}}",
            items.join(",")
        )
    }
}

impl StoreState {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() != before {
            self.generation += 1;
        }
    }
}

// --------------------------------------------------------------- the workers

/// A worker process of the users, played by threads.
struct Worker {
    id: String,
    service: String,
    version: String,
    address: SocketAddr,
    store: Store,
    sequence: AtomicU64,
    born: u64,
    is_beating: Arc<AtomicBool>,
}

impl Worker {
    fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-1\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.version, self.born
        )
    }

    fn write_entry(&self, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        self.store.put(
            "keyed.servers",
            &self.id,
            &self.entry(state, sequence),
        );
    }

    fn remove_entry(&self) {
        self.store.put("keyed.servers", &self.id, "");
    }

    /// Writes its entry every heartbeat, until it is told to stop.
    fn beat(self: &Arc<Worker>) {
        let worker = self.clone();
        worker.write_entry("ready");
        thread::spawn(move || {
            loop {
                sleep_ms(1_200);
                if !worker.is_beating.load(Ordering::Acquire) {
                    return;
                }
                worker.write_entry("ready");
            }
        });
    }
}

fn start_worker(
    id: &str,
    service: &str,
    last: u8,
    store: &Store,
    handle: impl Fn(&Message, &mut Wire) -> bool + Send + Sync + 'static,
) -> std::io::Result<Arc<Worker>> {
    start_version(id, service, "v1", last, store, handle)
}

fn start_version(
    id: &str,
    service: &str,
    version: &str,
    last: u8,
    store: &Store,
    handle: impl Fn(&Message, &mut Wire) -> bool + Send + Sync + 'static,
) -> std::io::Result<Arc<Worker>> {
    let own = id.to_owned();
    let (address, _) = serve(any_port(last), move |request, wire| {
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != own {
            let id = request.header("attempt-id");
            return wire.answer(
                421,
                &[("Attempt-Id", id), ("Not-Executed", "1")],
                b"",
            );
        }
        handle(request, wire)
    })?;
    let worker = Arc::new(Worker {
        id: id.to_owned(),
        service: service.to_owned(),
        version: version.to_owned(),
        address,
        store: store.clone(),
        sequence: AtomicU64::new(0),
        born: unix_ms(),
        is_beating: Arc::new(AtomicBool::new(true)),
    });
    worker.beat();
    Ok(worker)
}

/// Tokens of one event, as the sites have it.
const STRIDE: u64 = 6;

/// The prompt and the most output tokens that a request names.
fn token_usage(request: &Message) -> (u64, u64) {
    let text = request.header("token-usage");
    let (prompt, output) = text.split_once(',').unwrap_or(("0", "0"));
    (prompt.parse().unwrap_or(0), output.parse().unwrap_or(0))
}

/// Answers a request with all of its events: `output / STRIDE` of them.
fn stream_answer(
    request: &Message,
    wire: &mut Wire,
    worker: &str,
    before_first: Duration,
    pause: Duration,
) -> bool {
    let (_, output) = token_usage(request);
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    thread::sleep(before_first);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Stamp: s-{worker}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.header("attempt-id")
    );
    if wire.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in last + 1..=output / STRIDE {
        let event = format!("id: {number}\ndata: piece-{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if wire.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(pause);
    }
    wire.stream.write_all(b"0\r\n\r\n").is_ok()
}

// -------------------------------------------------------------- the gateways

/// A gateway process, started with the command of the deploy file.
struct Gateway {
    child: Child,
    callers: SocketAddr,
    readiness: SocketAddr,
    name: String,
}

/// Ports of a gateway: callers, peers, operators, entry, readiness.
#[derive(Clone, Copy, Debug)]
struct Ports {
    callers: u16,
    peers: u16,
    operators: u16,
    entry: u16,
    readiness: u16,
}

fn free_port(last: u8) -> u16 {
    let listener = TcpListener::bind(any_port(last)).expect("a free port");
    listener.local_addr().expect("its address").port()
}

fn free_ports(last: u8) -> Ports {
    Ports {
        callers: free_port(last),
        peers: free_port(last),
        operators: free_port(last),
        entry: free_port(last),
        readiness: free_port(last),
    }
}

impl Gateway {
    fn start(
        folder: &Path,
        number: u8,
        ports: Ports,
        store: SocketAddr,
    ) -> std::io::Result<Gateway> {
        let ip = loopback(100 + number);
        let name = format!("edge-{number}");
        let Ports { callers, peers, operators, entry, readiness } = ports;
        // As `deploy/settings.yaml.template` makes it of a small deployment.
        let text = format!(
            "vm: \"{name}\"\nregion: \"r-1\"\ndomain: \"z-{number}\"\nlisten:\n  callers: \"{ip}:{callers}\"\n  \
             peers: \"{ip}:{peers}\"\n  operators: \"{ip}:{operators}\"\n  entry: \"{ip}:{entry}\"\n  \
             readiness: \"{ip}:{readiness}\"\nlog:\n  address: \"{store}\"\n  retention: \"300s\"\n  \
             partitions: 12\nbudgets:\n  settle_interval: 700ms\n  grant_horizon: 8s\n  \
             reserve_time: 1000ms\nretries:\n  ratio: 0.2\n  slack: 58\nmoves:\n  exposed_share: 0.1\n  \
             exposed_requests: 50\napply_time: 2000ms\nentry_lifetime: 2s\nentry_width: 5\ncapacity: 0.25\n\
             leave_time: 8s\nseeds: [\"{ip}:{peers}\"]\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = fs::File::create(settings.with_extension("log"))?;
        let child = Command::new("target/release/magnolia-gateway")
            .env("MAGNOLIAHAVEN_SETTINGS", &settings)
            .env("MAGNOLIA_MEMORY", "260MB")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        lock(&PROCESSES).insert(child.id());
        Ok(Gateway {
            child,
            callers: SocketAddr::new(ip, callers),
            readiness: SocketAddr::new(ip, readiness),
            name,
        })
    }

    fn is_ready(&self) -> bool {
        let request = "GET /magnoliahaven/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let Ok(mut wire) = Wire::connect(self.readiness) else { return false };
        let _ = wire.stream.set_read_timeout(Some(ms(1_000)));
        if wire.stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        matches!(wire.read_head(), Ok(Some(head)) if head.status() == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&PROCESSES).remove(&self.child.id());
    }
}

fn wait_until(
    what: &str,
    limit: Duration,
    mut check: impl FnMut() -> bool,
) -> Result<(), String> {
    let deadline = Instant::now() + limit;
    while !check() {
        if Instant::now() >= deadline {
            return Err(format!("never happened: {what}"));
        }
        sleep_ms(20);
    }
    Ok(())
}

// --------------------------------------------------------------- the clients

/// What a client got for one request.
#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    stamp: String,
    body: Vec<u8>,
    events: u64,
    end: BodyEnd,
    head: Message,
}

struct Call<'a> {
    method: &'a str,
    target: &'a str,
    id: &'a str,
    key: &'a str,
    deadline_ms: u64,
    headers: &'a [(&'a str, String)],
    body: &'a [u8],
}

impl Call<'_> {
    fn head(&self) -> String {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: milk.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
             Authorization: Bearer {}\r\n",
            self.method, self.target, self.id, self.deadline_ms, self.key
        );
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text
    }

    fn send(&self, wire: &mut Wire) -> std::io::Result<()> {
        let mut bytes = self.head().into_bytes();
        bytes.extend_from_slice(
            format!("Content-Length: {}\r\n\r\n", self.body.len()).as_bytes(),
        );
        bytes.extend_from_slice(self.body);
        wire.stream.write_all(&bytes)
    }

    /// Sends the request on a connection of its own and reads the answer.
    fn run(&self, address: SocketAddr) -> Option<Answer> {
        let mut wire = Wire::connect(address).ok()?;
        self.run_on(&mut wire)
    }

    fn run_on(&self, wire: &mut Wire) -> Option<Answer> {
        let _ = wire.stream.set_read_timeout(Some(ms(self.deadline_ms + 500)));
        self.send(wire).ok()?;
        read_answer(wire)
    }
}

fn read_answer(wire: &mut Wire) -> Option<Answer> {
    let head = wire.read_head().ok()??;
    let mut body = Vec::new();
    let end = wire.read_body(&head, true, |part| body.extend_from_slice(part));
    let events = body.windows(2).filter(|w| *w == b"\n\n").count() as u64;
    Some(Answer {
        status: head.status(),
        stamp: head.header("server-stamp").to_owned(),
        body,
        events,
        end,
        head,
    })
}

// -------------------------------------------------------- the configurations

struct RouteText<'a> {
    prefix: &'a str,
    kind: &'a str,
    service: &'a str,
    timeout_ms: u64,
    attempts: u32,
    resumable: bool,
}

fn config_text(
    version: u64,
    routes: &[RouteText<'_>],
    services: &[&str],
    tenants: &[(&str, &str, Option<u64>)],
) -> String {
    let mut rows = Vec::new();
    for route in routes {
        let sticky = route.kind == "streaming";
        let resumable = if sticky {
            format!(",\"resumable\":{},\"gapAimMs\":400", route.resumable)
        } else {
            String::new()
        };
        rows.push(format!(
            "{{\"name\":\"r{}\",\"host\":\"milk.example\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"timeoutMs\":{},\
             \"targetLatencyMs\":600,\"priority\":1,\"service\":\"{}\",\"maxAttempts\":{},\"public\":false,\
             \"sticky\":{sticky}{resumable}}}",
            route.prefix.replace('/', "-"), route.prefix, route.kind, route.timeout_ms, route.service, route.attempts
        ));
    }
    let mut parts = Vec::new();
    for service in services {
        let engine = if service.starts_with("llm") {
            ",\"engine\":{\"slots\":64,\"kvTokens\":711700,\"stride\":6}"
        } else {
            ""
        };
        parts.push(format!(
            "{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false{engine}}}"
        ));
    }
    let mut owners = Vec::new();
    for (name, key, prepaid) in tenants {
        let prepaid =
            prepaid.map_or(String::new(), |p| format!(",\"prepaid\":{p}"));
        owners.push(format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1{prepaid}}}"));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        rows.join(","),
        parts.join(","),
        owners.join(",")
    )
}

struct Lab {
    record: Record,
    folder: PathBuf,
    trouble: bool,
    store: Store,
}

impl Lab {
    fn start_gateways(&self, count: u8) -> Result<Vec<Gateway>, String> {
        let ports = free_ports(101);
        let mut gateways = Vec::new();
        for number in 1..=count {
            let gateway = Gateway::start(
                &self.folder,
                number,
                ports,
                self.store.address,
            );
            gateways.push(gateway.map_err(|err| format!("gateway: {err}"))?);
        }
        wait_until("all gateways are ready", ms(15_000), || {
            gateways.iter().all(Gateway::is_ready)
        })?;
        // The list of workers and that of gateways are read at intervals.
        sleep_ms(1_500);
        Ok(gateways)
    }
}

// ------------------------------------------------------------------ the cases

/// What a tenant has got: prompts of requests that were answered, and tokens
/// of the events that reached the client.
#[derive(Default)]
struct Consumed {
    prompts: AtomicU64,
    outputs: AtomicU64,
}

impl Consumed {
    fn total(&self) -> u64 {
        self.prompts.load(Ordering::Acquire)
            + self.outputs.load(Ordering::Acquire)
    }
}

/// Sends one stream and counts what it brought.
fn take_stream(
    lab: &Lab,
    consumed: &Consumed,
    address: SocketAddr,
    target: &str,
    id: &str,
    usage: (u64, u64),
) -> u16 {
    let (prompt, output) = usage;
    let headers = [
        ("Model", "m".to_owned()),
        ("Token-Usage", format!("{prompt},{output}")),
        (
            "Prefix-Hash",
            format!("5c1e07a2:{},{id}:{}", prompt / 2, prompt - prompt / 2),
        ),
    ];
    let call = Call {
        method: "POST",
        target,
        id,
        key: "key-1",
        deadline_ms: 12_000,
        headers: &headers,
        body: b"prompt",
    };
    let Some(answer) = call.run(address) else {
        lab.record.note(format!("client {id} got no answer"));
        return 0;
    };
    let tokens = answer.events * STRIDE;
    lab.record.note(format!(
        "client {id} got {} with {} events ({tokens} tokens), end {:?}, stamp {}",
        answer.status, answer.events, answer.end, answer.stamp
    ));
    if answer.status == 200 {
        consumed.prompts.fetch_add(prompt, Ordering::AcqRel);
        consumed.outputs.fetch_add(tokens, Ordering::AcqRel);
    }
    answer.status
}

/// BUDGET: a route moves to another service, and the service that it leaves is
/// no longer declared, while streams wait for their first event there.
fn moved_service(lab: &Lab) -> Result<bool, String> {
    const PREPAID: u64 = 100_000;
    const STREAMS: u64 = 40;
    const USAGE: (u64, u64) = (200, 600);
    // How long a request waits for its first event: the queues are long at
    // first, and short later.
    let wait_ms = Arc::new(AtomicU64::new(1_500));
    let mut last = 20;
    let mut workers = Vec::new();
    for service in ["llm-a", "llm-b"] {
        for number in 1..=2 {
            let id = format!("i-{service}-{number}");
            let (own, record, wait_ms) =
                (id.clone(), lab.record.clone(), wait_ms.clone());
            let worker = start_worker(
                &id,
                service,
                last,
                &lab.store,
                move |request, wire| {
                    let attempt = request.header("attempt-id").to_owned();
                    record.note(format!("worker {own} runs {attempt}"));
                    let wait = ms(wait_ms.load(Ordering::Acquire));
                    stream_answer(request, wire, &own, wait, ms(2))
                },
            );
            workers.push(worker.map_err(|err| err.to_string())?);
            last += 1;
        }
    }
    let route = |service| RouteText {
        prefix: "/r/",
        kind: "streaming",
        service,
        timeout_ms: 15_000,
        attempts: 2,
        resumable: true,
    };
    let tenants = [("dairy", "key-1", Some(PREPAID))];
    let first =
        config_text(10, &[route("llm-a")], &["llm-a", "llm-b"], &tenants);
    lab.store.put("keyed.op", "config", &first);
    let gateways = lab.start_gateways(3)?;
    let consumed = Consumed::default();
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let address = gateways[number as usize % gateways.len()].callers;
            let consumed = &consumed;
            scope.spawn(move || {
                let id = format!("first-{number}");
                take_stream(lab, consumed, address, "/r/x", &id, USAGE);
            });
        }
        if lab.trouble {
            sleep_ms(400);
            lab.store.put(
                "keyed.op",
                "config",
                &config_text(13, &[route("llm-b")], &["llm-b"], &tenants),
            );
            lab.record.note("the operator moves the route to llm-b and no longer declares llm-a");
        }
    });
    lab.record.say(format!(
        "after the first streams the tenant has got {} of {PREPAID}",
        consumed.total()
    ));
    wait_ms.store(20, Ordering::Release);
    // Clients go on until nothing of the account is left.
    thread::scope(|scope| {
        for client in 0..6 {
            let (consumed, gateways) = (&consumed, &gateways);
            scope.spawn(move || {
                let mut refused = 0;
                for number in 0..400 {
                    let address = gateways[number % gateways.len()].callers;
                    let id = format!("later-{client}-{number}");
                    let status = take_stream(
                        lab, consumed, address, "/r/x", &id, USAGE,
                    );
                    refused = if status == 200 { 0 } else { refused + 1 };
                    if status != 200 {
                        sleep_ms(200);
                    }
                    if refused >= 25
                        || lab.record.started.elapsed() > ms(100_000)
                    {
                        break;
                    }
                }
            });
        }
    });
    let total = consumed.total();
    lab.record.say(format!(
        "the tenant has got {total} tokens, prepaid are {PREPAID}"
    ));
    for (key, value) in lab.store.values("keyed.allowance") {
        lab.record.note(format!("record {key} {value}"));
    }
    drop(workers);
    Ok(total <= PREPAID)
}

fn pass_on(
    mut from: TcpStream,
    mut to: TcpStream,
    lost: impl Fn() -> Option<Duration>,
) {
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if let Some(delay) = lost() {
            thread::sleep(delay);
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// A link to the store that can be cut: nothing passes meanwhile.
fn start_cut_link(
    listen: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(near) = stream else { continue };
            let is_cut = is_cut.clone();
            thread::spawn(move || {
                while is_cut.load(Ordering::Acquire) {
                    sleep_ms(2);
                }
                let Ok(far) = TcpStream::connect(target) else { return };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let (Ok(near_2), Ok(far_2)) =
                    (near.try_clone(), far.try_clone())
                else {
                    return;
                };
                let cut = is_cut.clone();
                let wait = move |is_cut: &AtomicBool| {
                    while is_cut.load(Ordering::Acquire) {
                        sleep_ms(2);
                    }
                    None
                };
                thread::spawn(move || pass_on(near, far, || wait(&is_cut)));
                thread::spawn(move || pass_on(far_2, near_2, || wait(&cut)));
            });
        }
    });
    Ok(address)
}

/// EXPOSURE: an order for a version move whose answer was lost is written
/// again, while a machine is cut off from the store and the others. The
/// version turns bad later, on one route only.
///
/// What the machine does first when the cut heals varies, so that a round in
/// which the rule held is played again.
fn repeated_order(lab: &Lab) -> Result<bool, String> {
    const ROUNDS: u32 = 3;
    for round in 1..=ROUNDS {
        lab.record.say(format!("round {round}"));
        let folder = lab.folder.join(format!("round-{round}"));
        let store = fs::create_dir_all(&folder).and_then(|()| Store::start(2));
        let store = store.map_err(|err| err.to_string())?;
        let (record, trouble) = (lab.record.clone(), lab.trouble);
        let own = Lab { record, folder, trouble, store };
        if !play_repeated_order(&own, round)? {
            return Ok(false);
        }
    }
    Ok(true)
}

fn play_repeated_order(lab: &Lab, round: u32) -> Result<bool, String> {
    const DURATION_S: u64 = 10;
    /// From the first write of the order to the cut, and to the second write.
    const CUT_AFTER: Duration = Duration::from_millis(150);
    const REPEATED_AFTER: Duration = Duration::from_millis(1_000);
    /// From the second write to the end of the cut, which lasts 10.7 s.
    const HEALED_AFTER: Duration = Duration::from_millis(9_830);
    /// From the last write of the order until v2 turns bad.
    const BAD_AFTER: Duration = Duration::from_millis(5_500);
    /// From `rolled_back` to the drain of the new workers.
    const DRAINED_AFTER: Duration = Duration::from_millis(5_000);
    const ROLLBACK: Duration = Duration::from_millis(5_000);
    // Whether the answers of v2 are bad on the route `/q/`.
    let is_bad = Arc::new(AtomicBool::new(false));
    // The bad answers of v2, and all requests that it ran.
    let bad: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let at_new: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let stopped: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut workers = Vec::new();
    for (number, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
        let id = format!("i-{version}-{number}");
        let (own, record, stopped) =
            (id.clone(), lab.record.clone(), stopped.clone());
        let (is_bad, bad, at_new) =
            (is_bad.clone(), bad.clone(), at_new.clone());
        let turns = AtomicU64::new(0);
        let worker = start_version(
            &id,
            "llm-a",
            version,
            20 + number as u8,
            &lab.store,
            move |request, wire| {
                if lock(&stopped).contains(&own) {
                    return false;
                }
                let attempt = request.header("attempt-id");
                record.note(format!("worker {own} runs {attempt}"));
                if version == "v2" {
                    lock(&at_new).insert(attempt.to_owned());
                }
                let fails = version == "v2"
                    && request.path().starts_with("/q/")
                    && is_bad.load(Ordering::Acquire)
                    && turns.fetch_add(1, Ordering::AcqRel) % 2 == 0;
                if fails {
                    sleep_ms(30);
                    record.note(format!("worker {own} fails {attempt}"));
                    lock(&bad).push(Instant::now());
                    let stamp = format!("s-{own}");
                    let headers = [
                        ("Attempt-Id", attempt),
                        ("Server-Stamp", stamp.as_str()),
                    ];
                    return wire.answer(500, &headers, b"failed");
                }
                stream_answer(request, wire, &own, ms(30), ms(2))
            },
        );
        workers.push(worker.map_err(|err| err.to_string())?);
    }
    let route = |prefix| RouteText {
        prefix,
        kind: "streaming",
        service: "llm-a",
        timeout_ms: 15_000,
        attempts: 1,
        resumable: false,
    };
    let tenants = [("dairy", "key-1", Some(50_000_000))];
    lab.store.put(
        "keyed.op",
        "config",
        &config_text(10, &[route("/r/"), route("/q/")], &["llm-a"], &tenants),
    );
    let is_cut = Arc::new(AtomicBool::new(false));
    let cut_store =
        start_cut_link(any_port(3), lab.store.address, is_cut.clone())
            .map_err(|e| e.to_string())?;
    // A gateway expects the others at its own port for peers, so that links
    // can stand there if these ports differ.
    let mut ports = vec![free_ports(101); 3];
    for (number, own) in ports.iter_mut().enumerate() {
        own.peers = free_port(101 + number as u8);
    }
    for from in 0..3_usize {
        for to in 0..3_usize {
            if from == to {
                continue;
            }
            let ip = loopback(101 + to as u8);
            let cut = if from == 0 || to == 0 {
                is_cut.clone()
            } else {
                Arc::default()
            };
            let (listen, target) = (
                SocketAddr::new(ip, ports[from].peers),
                SocketAddr::new(ip, ports[to].peers),
            );
            start_cut_link(listen, target, cut).map_err(|e| e.to_string())?;
        }
    }
    let mut gateways = Vec::new();
    for number in 1..=3_u8 {
        let store = if number == 1 { cut_store } else { lab.store.address };
        let own = ports[usize::from(number) - 1];
        gateways.push(
            Gateway::start(&lab.folder, number, own, store)
                .map_err(|e| e.to_string())?,
        );
    }
    wait_until("all gateways are ready", ms(15_000), || {
        gateways.iter().all(Gateway::is_ready)
    })?;
    sleep_ms(2_000);
    let consumed = Consumed::default();
    let done = AtomicBool::new(false);
    let states: Mutex<Vec<String>> = Mutex::default();
    let order = format!(
        "{{\"service\":\"llm-a\",\"target\":\"v2\",\"durationS\":{DURATION_S}}}"
    );
    // A request: when it was sent, and to which machine.
    let sent: Mutex<BTreeMap<String, (Instant, usize)>> = Mutex::default();
    let (asked, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let mut at_deadline = String::new();
    thread::scope(|scope| {
        for client in 0..24_usize {
            let (gateways, done, consumed) = (&gateways, &done, &consumed);
            let (asked, refused, sent) = (&asked, &refused, &sent);
            scope.spawn(move || {
                // Those of the route `/q/` are at edge-2 and edge-3 first. A
                // client keeps to its machine until that refuses it.
                let is_other = client % 3 > 0;
                let mut machine =
                    if is_other { client % 3 } else { client / 3 % 3 };
                let target = if is_other { "/q/x" } else { "/r/x" };
                for number in 0.. {
                    if done.load(Ordering::Acquire) {
                        return;
                    }
                    let id = format!("r{round}-c{client}-{number}");
                    lock(sent).insert(id.clone(), (Instant::now(), machine));
                    let status = take_stream(
                        lab,
                        consumed,
                        gateways[machine].callers,
                        target,
                        &id,
                        (200, 60),
                    );
                    asked.fetch_add(1, Ordering::AcqRel);
                    if status != 200 {
                        refused.fetch_add(1, Ordering::AcqRel);
                        sleep_ms(50);
                    }
                    if status == 503 || status == 0 {
                        machine = (machine + 1) % gateways.len();
                    }
                    sleep_ms(50);
                }
            });
        }
        // The operator acts on the status as the pages say.
        scope.spawn(|| {
            let mut drained_at: Option<Instant> = None;
            let mut last = String::new();
            while !done.load(Ordering::Acquire) {
                let text = lab.store.value("keyed.status", "rollout/llm-a");
                let state = json_text(text.as_bytes(), "state");
                let mut states = lock(&states);
                let is_new = last != text;
                last.clone_from(&text);
                if is_new && !state.is_empty() && states.last() == Some(&state)
                {
                    lab.record.say(format!(
                        "{:9.4} status/rollout/llm-a is {text}",
                        lab.record.started.elapsed().as_secs_f64()
                    ));
                }
                if !state.is_empty() && states.last() != Some(&state) {
                    lab.record.say(format!(
                        "{:9.4} status/rollout/llm-a is {text}",
                        lab.record.started.elapsed().as_secs_f64()
                    ));
                    let is_completed = state == "completed";
                    let is_rolled_back = state == "rolled_back";
                    states.push(state);
                    if is_completed {
                        drained_at = None;
                        for worker in &workers[..2] {
                            worker.is_beating.store(false, Ordering::Release);
                            lock(&stopped).insert(worker.id.clone());
                            worker.remove_entry();
                        }
                        lab.record
                            .note("the operator stops the workers of v1");
                    }
                    if is_rolled_back {
                        drained_at = Some(Instant::now() + DRAINED_AFTER);
                    }
                }
                drop(states);
                if drained_at.is_some_and(|at| at <= Instant::now()) {
                    drained_at = None;
                    for worker in &workers[2..] {
                        worker.is_beating.store(false, Ordering::Release);
                        worker.write_entry("draining");
                    }
                    lab.record.note("the operator drains the workers of v2");
                }
                sleep_ms(10);
            }
        });
        sleep_ms(1_500);
        lab.store.put("keyed.op", "rollout/llm-a", &order);
        let mut ordered_at = Instant::now();
        lab.record.say(format!(
            "{:9.4} the operator orders v2{}",
            lab.record.started.elapsed().as_secs_f64(),
            if lab.trouble { ", the answer is lost" } else { "" }
        ));
        if lab.trouble {
            thread::sleep(CUT_AFTER);
            is_cut.store(true, Ordering::Release);
            lab.record.note("edge-1 is cut off");
            thread::sleep(REPEATED_AFTER.saturating_sub(ordered_at.elapsed()));
            lab.store.put("keyed.op", "rollout/llm-a", &order);
            ordered_at = Instant::now();
            lab.record.note(
                "the operator writes the order again, the answer arrives",
            );
        }
        thread::sleep(BAD_AFTER.saturating_sub(ordered_at.elapsed()));
        is_bad.store(true, Ordering::Release);
        lab.record.note("v2 turns bad on the route /q/");
        if lab.trouble {
            thread::sleep(HEALED_AFTER.saturating_sub(ordered_at.elapsed()));
            is_cut.store(false, Ordering::Release);
            lab.record.say(format!(
                "{:9.4} the cut has healed",
                lab.record.started.elapsed().as_secs_f64()
            ));
        }
        thread::sleep(
            Duration::from_secs(DURATION_S)
                .saturating_sub(ordered_at.elapsed()),
        );
        let text = lab.store.value("keyed.status", "rollout/llm-a");
        at_deadline = json_text(text.as_bytes(), "state");
        lab.record.say(format!(
            "{:9.4} the deadline of the order: {text}",
            lab.record.started.elapsed().as_secs_f64()
        ));
        thread::sleep(ms(20_000).saturating_sub(ordered_at.elapsed()));
        asked.store(0, Ordering::Release);
        refused.store(0, Ordering::Release);
        sleep_ms(2_000);
        done.store(true, Ordering::Release);
    });
    let states = lock(&states).clone();
    lab.record.say(format!(
        "states {states:?}, {at_deadline} at the deadline; of the last {} requests {} were not served",
        asked.load(Ordering::Acquire),
        refused.load(Ordering::Acquire)
    ));
    let mut bad = lock(&bad).clone();
    bad.sort();
    let at_new = lock(&at_new).clone();
    let mut late: BTreeMap<String, u32> = BTreeMap::new();
    if let Some(fiftieth) = bad.get(49) {
        let at = fiftieth.duration_since(lab.record.started).as_secs_f64();
        lab.record.say(format!("{at:9.4} the 50th bad answer of v2"));
        for (id, (sent_at, machine)) in lock(&sent).iter() {
            if !at_new.contains(id) || *sent_at <= *fiftieth + ROLLBACK {
                continue;
            }
            let name = &gateways[*machine].name;
            let after = sent_at.duration_since(*fiftieth).as_millis();
            lab.record.note(format!("broken: {id} was sent to {name} {after} ms after the 50th bad answer and reached v2"));
            *late.entry(name.clone()).or_default() += 1;
        }
    }
    lab.record.say(format!(
        "{} requests reached v2, {} bad answers; sent later than 5 s after the 50th: {late:?}",
        at_new.len(),
        bad.len()
    ));
    Ok(late.is_empty())
}

/// How a faulty worker spoils an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Spoil {
    /// The line with the size of the second chunk is empty, and so is the next.
    BlankSize,
    /// The lines of its head end with a bare line feed.
    BareLf,
}

/// The body of a worker's answer.
fn whole_body(id: &str) -> String {
    let first = format!("id: 1\ndata: of-{id}\n\n");
    format!(
        "{first}id: 2\ndata: \r\n\r\n\n\nid: 3\ndata: end-of-{id}-and-more\n\n"
    )
}

/// MIXED: a faulty worker sends bytes that are no answer.
fn spoiled_answers(lab: &Lab) -> Result<bool, String> {
    const REQUESTS: usize = 200;
    let spoiled: Arc<Mutex<BTreeMap<String, Spoil>>> = Arc::default();
    let count = Arc::new(AtomicUsize::new(0));
    let trouble = lab.trouble;
    let mut workers = Vec::new();
    for number in 0..2_u8 {
        let id = format!("i-{number}");
        let (own, record) = (id.clone(), lab.record.clone());
        let (spoiled, count) = (spoiled.clone(), count.clone());
        let worker = start_worker(
            &id,
            "pedidos",
            20 + number,
            &lab.store,
            move |request, wire| {
                let attempt = request.header("attempt-id");
                record.note(format!("worker {own} runs {attempt}"));
                sleep_ms(5);
                let body = whole_body(attempt);
                let fields = format!(
                    "Attempt-Id: {attempt}\r\nServer-Stamp: s-{own}\r\nContent-Type: text/plain\r\n"
                );
                // One worker of two spoils one answer in twenty.
                let turn = if number == 0 {
                    count.fetch_add(1, Ordering::AcqRel)
                } else {
                    1
                };
                let mode = match turn % 40 {
                    19 => Some(Spoil::BlankSize),
                    39 => Some(Spoil::BareLf),
                    _ => None,
                };
                let mode = mode.filter(|_| trouble);
                let chunk =
                    |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
                let (first, rest) = body.split_at(body.len() / 3);
                let text = match mode {
                    None => format!(
                        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n",
                        chunk(first),
                        chunk(rest)
                    ),
                    Some(Spoil::BlankSize) => format!(
                        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{}\r\n\r\n{rest}",
                        chunk(first)
                    ),
                    Some(Spoil::BareLf) => {
                        let head = format!(
                            "HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n",
                            body.len()
                        );
                        // What a caller that stops at the end of the body does
                        // not see.
                        format!(
                            "{}{body}{}",
                            head.replace("\r\n", "\n"),
                            "-".repeat(body.len())
                        )
                    }
                };
                if let Some(mode) = mode {
                    record.note(format!(
                        "worker {own} spoils its answer to {attempt}: {mode:?}"
                    ));
                    lock(&spoiled).insert(attempt.to_owned(), mode);
                }
                let sent = wire.stream.write_all(text.as_bytes()).is_ok();
                sent && mode.is_none()
            },
        );
        workers.push(worker.map_err(|err| err.to_string())?);
    }
    let route = |prefix, kind, attempts| RouteText {
        prefix,
        kind,
        service: "pedidos",
        timeout_ms: 800,
        attempts,
        resumable: false,
    };
    let tenants = [("dairy", "key-1", None)];
    let routes = [
        route("/once/", "non_idempotent", 1),
        route("/again/", "idempotent", 2),
    ];
    lab.store.put(
        "keyed.op",
        "config",
        &config_text(10, &routes, &["pedidos"], &tenants),
    );
    let gateways = lab.start_gateways(2)?;
    let wrong: Mutex<BTreeMap<Spoil, u32>> = Mutex::default();
    let other = AtomicUsize::new(0);
    thread::scope(|scope| {
        for client in 0..4_usize {
            let (gateways, spoiled, wrong, other) =
                (&gateways, &spoiled, &wrong, &other);
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    let id = format!("c{client}-{number}");
                    let target = if number % 2 == 0 { "/once/x" } else { "/again/x" };
                    let call = Call { method: "POST", target, id: &id, key: "key-1", deadline_ms: 1_500, headers: &[], body: b"delivery" };
                    let Some(answer) = call.run(gateways[client % 2].callers) else {
                        lab.record.note(format!("client {id} got no answer"));
                        continue;
                    };
                    let is_whole = answer.body == whole_body(&id).as_bytes();
                    lab.record.note(format!("client {id} got {} stamp '{}' end {:?} {}", answer.status, answer.stamp, answer.end, if is_whole { "whole" } else { "not the whole body" }));
                    if answer.status != 200 || answer.end != BodyEnd::Whole || is_whole {
                        continue;
                    }
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    lab.record.note(format!("broken: {id} is answered 200 as complete with {body:?}, the worker's body is {:?}", whole_body(&id)));
                    match lock(spoiled).get(&id) {
                        Some(mode) => *lock(wrong).entry(*mode).or_default() += 1,
                        None => {
                            other.fetch_add(1, Ordering::AcqRel);
                        }
                    }
                }
            });
        }
    });
    let (wrong, other) = (lock(&wrong).clone(), other.load(Ordering::Acquire));
    lab.record.say(format!("{} answers were spoiled; callers got a wrong body as a complete success: {wrong:?}, others {other}", lock(&spoiled).len()));
    Ok(wrong.is_empty() && other == 0)
}

/// DRAIN: a worker leaves. The last write of its entry before that had got no
/// response and is executed seconds later, when its entry has been removed.
fn late_entry(lab: &Lab) -> Result<bool, String> {
    const DRAIN_MS: u64 = 2_000;
    /// How long the leaving worker still serves after its entry was removed:
    /// `drainMs` and a little longer.
    const SERVES_MS: u64 = 2_400;
    /// Time that a worker needs for a request.
    const WORK_MS: u64 = 350;
    let is_leaving = Arc::new(AtomicBool::new(false));
    let has_ended = Arc::new(AtomicBool::new(false));
    let runs: Arc<Mutex<Vec<(String, bool)>>> = Arc::default();
    let mut workers = Vec::new();
    for number in 0..2_u8 {
        let id = format!("i-{number}");
        let (own, record, runs) =
            (id.clone(), lab.record.clone(), runs.clone());
        let (is_leaving, has_ended) = (is_leaving.clone(), has_ended.clone());
        let worker = start_worker(
            &id,
            "pedidos",
            20 + number,
            &lab.store,
            move |request, wire| {
                let is_leaver = number == 0;
                let attempt = request.header("attempt-id");
                if is_leaver && has_ended.load(Ordering::Acquire) {
                    return false;
                }
                record.note(format!("worker {own} runs {attempt}"));
                sleep_ms(WORK_MS);
                if is_leaver && has_ended.load(Ordering::Acquire) {
                    record.note(format!(
                        "worker {own} ends, its answer to {attempt} is lost"
                    ));
                    lock(&runs).push((attempt.to_owned(), false));
                    return false;
                }
                lock(&runs).push((attempt.to_owned(), true));
                let stamp = format!("s-{own}");
                let mut headers = vec![
                    ("Attempt-Id", attempt),
                    ("Server-Stamp", stamp.as_str()),
                ];
                let leaves = is_leaver && is_leaving.load(Ordering::Acquire);
                if leaves {
                    headers.push(("Server-Leaving", "1"));
                }
                wire.answer(200, &headers, b"paid")
            },
        );
        workers.push(worker.map_err(|err| err.to_string())?);
    }
    let route = RouteText {
        prefix: "/once/",
        kind: "non_idempotent",
        service: "pedidos",
        timeout_ms: 800,
        attempts: 1,
        resumable: false,
    };
    let tenants = [("dairy", "key-1", None)];
    lab.store.put(
        "keyed.op",
        "config",
        &config_text(10, &[route], &["pedidos"], &tenants),
    );
    let gateways = lab.start_gateways(3)?;
    let stop = AtomicBool::new(false);
    /// A request: its gateway, when it was sent, and when its answer with
    /// `Server-Leaving` arrived, if it had that.
    struct Sent {
        id: String,
        gateway: usize,
        sent_at: Instant,
        left_at: Option<Instant>,
        status: u16,
    }
    let sent: Mutex<Vec<Sent>> = Mutex::default();
    thread::scope(|scope| {
        for client in 0..24_usize {
            let (sent, gateways, stop) = (&sent, &gateways, &stop);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Acquire) {
                        return;
                    }
                    let gateway = client % gateways.len();
                    let id = format!("c{client}-{number}");
                    let call = Call {
                        method: "POST",
                        target: "/once/x",
                        id: &id,
                        key: "key-1",
                        deadline_ms: 1_500,
                        headers: &[],
                        body: b"delivery",
                    };
                    let sent_at = Instant::now();
                    let answer = call.run(gateways[gateway].callers);
                    let leaving = answer
                        .as_ref()
                        .is_some_and(|a| a.head.has("server-leaving"));
                    let status = answer.as_ref().map_or(0, |a| a.status);
                    let stamp = answer.map_or(String::new(), |a| a.stamp);
                    lab.record.note(format!(
                        "client {id} at {} got {status} {stamp}{}",
                        gateways[gateway].name,
                        if leaving { " leaving" } else { "" }
                    ));
                    let left_at = leaving.then(Instant::now);
                    lock(sent).push(Sent {
                        id,
                        gateway,
                        sent_at,
                        left_at,
                        status,
                    });
                    sleep_ms(20);
                }
            });
        }
        sleep_ms(2_000);
        // The write gets no response; the worker goes on.
        let leaver = workers[0].clone();
        leaver.is_beating.store(false, Ordering::Release);
        let sequence = leaver.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let late = leaver.entry("ready", sequence);
        lab.record.note(format!(
            "worker i-0 writes its entry, sequence {sequence}; {}",
            if lab.trouble { "no response" } else { "done" }
        ));
        if !lab.trouble {
            lab.store.put("keyed.servers", "i-0", &late);
        }
        sleep_ms(300);
        is_leaving.store(true, Ordering::Release);
        lab.record.note("worker i-0 leaves and says so in its answers");
        sleep_ms(700);
        leaver.remove_entry();
        let removed_at = Instant::now();
        lab.record.note("the entry of i-0 is removed");
        sleep_ms(2_000);
        if lab.trouble {
            lab.store.put("keyed.servers", "i-0", &late);
            lab.record
                .note("the write of the entry of i-0 is executed, 3 s late");
        }
        let left = ms(SERVES_MS).saturating_sub(removed_at.elapsed());
        thread::sleep(left);
        has_ended.store(true, Ordering::Release);
        lab.record.note("worker i-0 ends");
        sleep_ms(900);
        stop.store(true, Ordering::Release);
    });
    let sent = lock(&sent);
    let mut first_passed: BTreeMap<usize, Instant> = BTreeMap::new();
    for one in sent.iter() {
        if let Some(at) = one.left_at {
            let first = first_passed.entry(one.gateway).or_insert(at);
            *first = (*first).min(at);
        }
    }
    let reached: BTreeMap<String, bool> =
        lock(&runs).iter().cloned().collect();
    let at_leaver: BTreeSet<String> = lock(&lab.record.lines)
        .iter()
        .filter_map(|line| {
            line.split_once("worker i-0 runs ").map(|(_, id)| id.to_owned())
        })
        .collect();
    let (mut late, mut lost) = (0, 0);
    for one in sent.iter() {
        let Some(first) = first_passed.get(&one.gateway) else { continue };
        if one.sent_at <= *first + ms(DRAIN_MS) || !at_leaver.contains(&one.id)
        {
            continue;
        }
        late += 1;
        let is_lost = reached.get(&one.id) == Some(&false)
            || one.status == 0
            || one.status >= 500;
        lost += u32::from(is_lost);
        let after = (one.sent_at - *first).as_millis();
        lab.record.note(format!("broken: {} reached i-0, sent {after} ms after {} had passed on Server-Leaving, status {}", one.id, gateways[one.gateway].name, one.status));
    }
    lab.record.say(format!("{} machines passed on Server-Leaving; {late} requests reached the worker later than {DRAIN_MS} ms after that, {lost} of them lost", first_passed.len()));
    if first_passed.is_empty() {
        return Err("no answer of the leaving worker was passed on".to_owned());
    }
    Ok(late == 0)
}

/// A worker as a process of its own: it reads a request, sends the head of a
/// stream with neither a length nor chunks, and its events half a second
/// later.
fn run_worker(id: &str, address: &str) -> ExitCode {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return ExitCode::from(2);
    };
    let own = id.to_owned();
    let served = serve(address, move |request, wire| {
        let attempt = request.header("attempt-id");
        if request.header("expect-instance") != own {
            return wire.answer(
                421,
                &[("Attempt-Id", attempt), ("Not-Executed", "1")],
                b"",
            );
        }
        let (_, output) = token_usage(request);
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: s-{own}\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        let mut sent = wire.stream.write_all(head.as_bytes()).is_ok();
        sleep_ms(500);
        for number in last + 1..=output / STRIDE {
            let event = format!("id: {number}\ndata: piece-{number}\n\n");
            sent = sent && wire.stream.write_all(event.as_bytes()).is_ok();
            sleep_ms(5);
        }
        false
    });
    if served.is_err() {
        return ExitCode::from(2);
    }
    loop {
        sleep_ms(1_000);
    }
}

/// ORDER: a worker crashes behind the head of its streams.
fn empty_stream(lab: &Lab) -> Result<bool, String> {
    const EVENTS: u64 = 10;
    let program = std::env::current_exe().map_err(|err| err.to_string())?;
    let mut workers = Vec::new();
    for number in 0..4_u8 {
        let id = format!("i-{number}");
        let address =
            SocketAddr::new(loopback(20 + number), free_port(20 + number));
        let child = Command::new(&program)
            .arg("worker")
            .arg(&id)
            .arg(address.to_string())
            .spawn();
        let child = child.map_err(|err| err.to_string())?;
        lock(&PROCESSES).insert(child.id());
        let worker = Arc::new(Worker {
            id,
            service: "llm-a".to_owned(),
            version: "v1".to_owned(),
            address,
            store: lab.store.clone(),
            sequence: AtomicU64::new(0),
            born: unix_ms(),
            is_beating: Arc::new(AtomicBool::new(true)),
        });
        worker.beat();
        workers.push((child, worker));
    }
    let played = play_empty_stream(lab, &mut workers, EVENTS);
    for (child, _) in &mut workers {
        let _ = child.kill();
        let _ = child.wait();
        lock(&PROCESSES).remove(&child.id());
    }
    played
}

fn play_empty_stream(
    lab: &Lab,
    workers: &mut [(Child, Arc<Worker>)],
    events: u64,
) -> Result<bool, String> {
    let route = |prefix, resumable| RouteText {
        prefix,
        kind: "streaming",
        service: "llm-a",
        timeout_ms: 12_000,
        attempts: 2,
        resumable,
    };
    let tenants = [("dairy", "key-1", Some(1_000_000))];
    let routes = [route("/plain/", false), route("/resumed/", true)];
    lab.store.put(
        "keyed.op",
        "config",
        &config_text(10, &routes, &["llm-a"], &tenants),
    );
    let gateways = lab.start_gateways(2)?;
    let broken = AtomicUsize::new(0);
    let whole = AtomicUsize::new(0);
    thread::scope(|scope| {
        for client in 0..24_usize {
            let (gateways, broken, whole) = (&gateways, &broken, &whole);
            scope.spawn(move || {
                sleep_ms(client as u64 * 20);
                let target = if client % 2 == 0 { "/plain/x" } else { "/resumed/x" };
                let id = format!("c{client}");
                let headers = [("Model", "m".to_owned()), ("Token-Usage", format!("100,{}", events * STRIDE))];
                let call = Call { method: "POST", target, id: &id, key: "key-1", deadline_ms: 12_000, headers: &headers, body: b"prompt" };
                let Some(answer) = call.run(gateways[client % 2].callers) else {
                    lab.record.note(format!("client {id} got no answer"));
                    return;
                };
                lab.record.note(format!("client {id} {target} got {} stamp '{}' end {:?}, {} events of {events}", answer.status, answer.stamp, answer.end, answer.events));
                if answer.status != 200 || answer.end != BodyEnd::Whole {
                    return;
                }
                if answer.events == events {
                    whole.fetch_add(1, Ordering::AcqRel);
                } else if answer.events == 0 {
                    broken.fetch_add(1, Ordering::AcqRel);
                    lab.record.note(format!("broken: the stream of {id} ends as complete before its first piece"));
                }
            });
        }
        if lab.trouble {
            sleep_ms(600);
            let (child, worker) = &mut workers[0];
            let _ = child.kill();
            worker.is_beating.store(false, Ordering::Release);
            lab.record.note(format!("worker {} crashes", worker.id));
        }
    });
    let (broken, whole) =
        (broken.load(Ordering::Acquire), whole.load(Ordering::Acquire));
    lab.record.say(format!(
        "{whole} streams are whole, {broken} end as complete without any piece"
    ));
    if whole == 0 {
        return Err("no stream was whole".to_owned());
    }
    Ok(broken == 0)
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, id, address] = words.as_slice()
        && mode == "worker"
    {
        return run_worker(id, address);
    }
    let case = words.first().cloned().unwrap_or_default();
    let folder = PathBuf::from(words.get(1).map_or(".", String::as_str));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    watch(record.clone(), folder.clone());
    let temp = std::env::temp_dir()
        .join(format!("magnolia-{case}-{}", std::process::id()));
    let store = fs::create_dir_all(&temp).and_then(|()| Store::start(2));
    let store = match store {
        Ok(store) => store,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            return ExitCode::from(2);
        }
    };
    let lab =
        Lab { record: record.clone(), folder: temp.clone(), trouble, store };
    record.note(format!("case {case}, trouble {trouble}"));
    let held = match case.as_str() {
        "moved-service" => moved_service(&lab),
        "repeated-order" => repeated_order(&lab),
        "spoiled-answers" => spoiled_answers(&lab),
        "late-entry" => late_entry(&lab),
        "empty-stream" => empty_stream(&lab),
        _ => Err(format!("no case {case}")),
    };
    let code = match &held {
        Ok(true) => {
            record.say("the rule held");
            0
        }
        Ok(false) => {
            record.say("the rule was broken");
            1
        }
        Err(err) => {
            record.say(format!("the case could not run: {err}"));
            2
        }
    };
    record.write(&folder);
    // `KEEP` keeps the gateways' logs.
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temp);
    }
    ExitCode::from(code)
}
