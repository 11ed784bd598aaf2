//! What the scripts share: a stand-in of the platform's store, registrations
//! of workers, gateways as processes, and a plain HTTP client.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Topics of the group: as many partitions as the gateways ask for.
const PARTS_PER_TOPIC: usize = 12;

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(folder: &str) -> Record {
        let path = PathBuf::from(folder).join("record.txt");
        let file = fs::File::create(path).expect("record.txt");
        let file = Arc::new(Mutex::new(file));
        Record { started: Instant::now(), file }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the script as one that could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.note(format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

// ---------------------------------------------------------------- messages

/// A message of HTTP/1.1 with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head said.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=') {
                if key == name {
                    return unescape(value);
                }
            }
        }
        String::new()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("");
            if let Ok(byte) = u8::from_str_radix(hex, 16) {
                out.push(byte);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection that is read with a buffer.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; `false` at the end or after an error.
    pub fn fill(&mut self) -> bool {
        let mut part = vec![0; 65_536];
        match self.stream.read(&mut part) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&part[..count]);
                true
            }
            _ => false,
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> Option<Message> {
        loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let mut message = Message {
                    start: lines.next().unwrap_or("").to_owned(),
                    ..Message::default()
                };
                for line in lines {
                    if let Some((name, value)) = line.split_once(':') {
                        let pair = (name.to_owned(), value.trim().to_owned());
                        message.headers.push(pair);
                    }
                }
                return Some(message);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads a number of bytes; fewer if the connection ends.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        while self.buffer.len() < count {
            if !self.fill() {
                break;
            }
        }
        let count = count.min(self.buffer.len());
        self.buffer.drain(..count).collect()
    }

    /// Reads a line without its end.
    fn line(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(2).position(|w| w == b"\r\n");
            if let Some(end) = end {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                let text = String::from_utf8_lossy(&line[..end]);
                return Some(text.into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the body that a head announces.
    pub fn body(&mut self, message: &mut Message) {
        if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().unwrap_or(0);
            message.body = self.take(length);
            message.is_whole = message.body.len() == length;
            return;
        }
        let coding = message.header("transfer-encoding").unwrap_or("");
        if !coding.eq_ignore_ascii_case("chunked") {
            message.is_whole = true;
            return;
        }
        while let Some(line) = self.line() {
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let chunk = self.take(length);
            let is_whole = chunk.len() == length;
            message.body.extend_from_slice(&chunk);
            let end = self.line();
            if !is_whole || end.is_none() {
                return;
            }
            if length == 0 {
                message.is_whole = true;
                return;
            }
        }
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        self.body(&mut message);
        Some(message)
    }
}

/// Accepts connections and serves each in a thread of its own.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Wire) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || handle(Wire::new(stream)));
        }
    });
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

// ------------------------------------------------------------------- store

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    writers: BTreeMap<String, (u64, Option<u64>, BTreeMap<u64, u64>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn push(&mut self, record: &[u8]) {
        let offset = self.end();
        self.records.push(record.to_vec());
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
        let value = record[1 + length..].to_vec();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, value));
        }
    }
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    parts: usize,
    generation: u64,
}

/// A stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = listen();
        let address = listener.local_addr().expect("address");
        let store = Store { state: Arc::default(), address };
        let own = store.clone();
        serve(listener, move |mut wire| {
            while let Some(request) = wire.message() {
                let (status, body) = own.answer(&request);
                let head = format!(
                    "HTTP/1.1 {status} X\r\nStore-Era: 0\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                if wire.stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.0.lock().expect("store")
    }

    /// Writes a record as the operator or a worker would.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.state().topics.entry(topic.to_owned()).or_default().push(&record);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        match request.path() {
            "/magnoliahaven/log-append" => self.append(request),
            "/magnoliahaven/log-read" => self.read(request),
            "/magnoliahaven/log-newest" => self.newest(request),
            "/magnoliahaven/log-join" => self.join(request),
            "/magnoliahaven/log-owners" => self.owners(),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn append(&self, request: &Message) -> (u16, Vec<u8>) {
        let mut state = self.state();
        let topic = state.topics.entry(request.query("topic")).or_default();
        let offset = topic.end();
        let at = request.query("at");
        if !at.is_empty() && at.parse() != Ok(offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let producer = request.query("producer");
        if !producer.is_empty() {
            let epoch: u64 = request.query("epoch").parse().unwrap_or(0);
            let number: Option<u64> = request.query("sequence").parse().ok();
            let writer = topic.writers.entry(producer).or_default();
            if epoch < writer.0 {
                return (409, br#"{"reason":"fenced"}"#.to_vec());
            }
            if epoch > writer.0 {
                *writer = (epoch, None, BTreeMap::new());
            }
            if request.body.is_empty() {
                let text = format!("{{\"offset\":{offset},\"end\":{offset}}}");
                return (200, text.into_bytes());
            }
            let number = number.unwrap_or(0);
            if let Some(done) = writer.2.get(&number) {
                let text = format!("{{\"offset\":{done},\"end\":{offset}}}");
                return (200, text.into_bytes());
            }
            if let Some(next) = writer.1.filter(|next| *next != number) {
                let text =
                    format!("{{\"reason\":\"seq\",\"sequence\":{next}}}");
                return (409, text.into_bytes());
            }
            writer.1 = Some(number + 1);
            writer.2.insert(number, offset);
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length =
                u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]);
            let length = length as usize;
            topic.push(&rest[4..4 + length]);
            rest = &rest[4 + length..];
        }
        let end = topic.end();
        drop(state);
        self.state.1.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let from: u64 = request.query("from").parse().unwrap_or(0);
        let wait = request.query("waitMs").parse().unwrap_or(0);
        let most = request.query("maxKb").parse().unwrap_or(1_024) * 1_024;
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        loop {
            let topic =
                state.topics.entry(request.query("topic")).or_default();
            let now = Instant::now();
            if from > topic.end() {
                return (410, br#"{"first":0}"#.to_vec());
            }
            if topic.end() > from || now >= until {
                let mut body = topic.end().to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in &topic.records[from as usize..] {
                    let is_first = body.len() == 16;
                    if !is_first && body.len() + record.len() > most {
                        break;
                    }
                    let length = record.len() as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            let waited = self.state.1.wait_timeout(state, until - now);
            state = waited.expect("store").0;
        }
    }

    fn newest(&self, request: &Message) -> (u16, Vec<u8>) {
        let mut state = self.state();
        let topic = state.topics.entry(request.query("topic")).or_default();
        let after = request.query("after");
        let mut items = Vec::new();
        for (key, (offset, value)) in &topic.newest {
            if *key > after {
                items.push(format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\
                     \"offset\":{offset}}}",
                    base64(value)
                ));
            }
        }
        let text = format!(
            "{{\"items\":[{}],\"truncated\":false,\"end\":{}}}",
            items.join(","),
            topic.end()
        );
        (200, text.into_bytes())
    }

    fn join(&self, request: &Message) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let member = between(&text, "\"member\":\"", "\"");
        let topics = between(&text, "\"topics\":[", "]");
        let parts = topics.split(',').count() * PARTS_PER_TOPIC;
        let ttl = between(&text, "\"ttlMs\":", ",").parse().unwrap_or(4_000);
        let ttl = Duration::from_millis(ttl);
        let mut state = self.state();
        let now = Instant::now();
        let before = state.members.len();
        state.members.retain(|_, seen| now - *seen < ttl);
        let is_new = state.members.insert(member, now).is_none();
        let has_left = state.members.len() != before + usize::from(is_new);
        state.parts = parts;
        state.generation += u64::from(is_new || has_left);
        let text =
            format!("{{\"generation\":{},\"parts\":[]}}", state.generation);
        (200, text.into_bytes())
    }

    fn owners(&self) -> (u16, Vec<u8>) {
        let state = self.state();
        let members: Vec<&String> = state.members.keys().collect();
        let mut rows = Vec::new();
        for part in 0..state.parts.max(members.len()) {
            let topic = part / PARTS_PER_TOPIC;
            let number = part % PARTS_PER_TOPIC;
            let member = members.get(part % members.len().max(1));
            let member = member.map_or("null".to_owned(), |m| {
                format!("\"{m}\"")
            });
            rows.push(format!("[\"seats-{topic}\",{number},{member},0]"));
        }
        (200, format!("{{\"parts\":[{}]}}", rows.join(",")).into_bytes())
    }
}

fn between(text: &str, start: &str, end: &str) -> String {
    let rest = text.split_once(start).map_or("", |(_, rest)| rest);
    rest.split(end).next().unwrap_or("").to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for i in 0..3 {
            word = word << 8 | u32::from(*part.get(i).unwrap_or(&0));
        }
        for i in 0..4 {
            if i <= part.len() {
                let index = (word >> (18 - 6 * i)) & 63;
                out.push(char::from(LETTERS[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ------------------------------------------------------------ declarations

/// Routes of a small deployment: one service of engines, one plain one.
pub fn declare(store: &Store, version: u64, prepaid: u64) {
    let route = |prefix: &str, kind: &str, service: &str, timeout, attempts| {
        format!(
            "{{\"name\":\"{prefix}\",\"host\":\"milk.example\",\
             \"pathPrefix\":\"/{prefix}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":400,\
             \"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts},\"sticky\":{},\
             \"resumable\":{},\"gapAimMs\":400}}",
            service == "engines",
            prefix == "round"
        )
    };
    let routes = [
        route("lookup", "idempotent", "ledger", 3_000, 1),
        route("pay", "non_idempotent", "ledger", 3_000, 1),
        route("summary", "streaming", "engines", 12_000, 1),
        route("round", "streaming", "engines", 12_000, 2),
    ];
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"ledger\",\"maxConnections\":110}},\
         {{\"name\":\"engines\",\"maxConnections\":370,\
         \"engine\":{{\"slots\":64,\"stride\":6}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"dairy\",\"apiKeys\":[\"key-1\"],\
         \"prepaid\":{prepaid}}}]}}",
        routes.join(",")
    );
    store.put("keyed.op", "config", &config);
}

/// Registers a worker and renews its entry as long as the process lives.
pub fn register(store: &Store, id: &str, service: &str, address: SocketAddr) {
    let (store, id) = (store.clone(), id.to_owned());
    let service = service.to_owned();
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.expect("clock").as_millis();
    let slots = if service == "engines" { 64 } else { 12 };
    let write = move |sequence: u64| {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\
             \"zone\":\"z-1\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put("keyed.servers", &id, &entry);
    };
    write(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            write(sequence);
        }
    });
}

// ---------------------------------------------------------------- gateways

/// A gateway as a process; it is killed when the value is dropped.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    pub readiness: SocketAddr,
    pub folder: PathBuf,
    pub name: String,
}

/// The command of the deploy file's role.
fn deployed_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy file");
    let run = between(&text, "run = \"", "\"");
    run.split(' ').map(str::to_owned).collect()
}

/// Five ports that are free on the addresses of all gateways.
fn free_ports(count: u8) -> Vec<u16> {
    let mut ports = Vec::new();
    let mut held = Vec::new();
    while ports.len() < 5 {
        let Ok(first) = TcpListener::bind("127.0.0.11:0") else { continue };
        let port = first.local_addr().expect("address").port();
        let others: Vec<_> = (1..count)
            .map(|n| TcpListener::bind(format!("127.0.0.{}:{port}", 11 + n)))
            .collect();
        let is_free = others.iter().all(|other| other.is_ok());
        held.push(first);
        if is_free {
            ports.push(port);
        }
    }
    ports
}

/// Starts gateways with the settings that the deploy file's template gives.
pub fn start_gateways(record: &Record, store: &Store, count: u8) -> Vec<Gateway> {
    let ports = free_ports(count);
    let template = fs::read_to_string("deploy/settings.yaml.template");
    let template = template.expect("template");
    let folder = std::env::temp_dir()
        .join(format!("magnolia-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("folder");
    let command = deployed_command();
    let mut gateways = Vec::new();
    for number in 0..count {
        let ip = format!("127.0.0.{}", 11 + number);
        let address = |port: u16| format!("{ip}:{port}");
        let mut text = String::new();
        for line in template.lines() {
            let name = if line.contains("exposed_share") { "0.1" } else { "50" };
            if line.starts_with("{{#") || line.starts_with("{{/") {
                continue;
            }
            text.push_str(&line.replace("{{.}}", name));
            text.push('\n');
        }
        let name = format!("edge-{}", number + 1);
        let zone = format!("z-{}", number % 3 + 1);
        let seeds = format!("[\"{}\"]", address(ports[1]));
        let store = store.address.to_string();
        let metrics = address(ports[4]);
        for (from, to) in [
            ("{{nodeName}}", name.as_str()),
            ("{{region}}", "r-1"),
            ("{{zone}}", &zone),
            ("{{listen.frontend}}", &address(ports[0])),
            ("{{listen.control}}", &address(ports[1])),
            ("{{ip}}:9464", &metrics),
            ("{{listen.directory}}", &address(ports[2])),
            ("{{listen.ready}}", &address(ports[3])),
            ("{{platform.address}}", &store),
            ("{{platform.keep_s}}", "300"),
            ("{{platform.parts}}", "12"),
            ("{{bounds.retryBudgetRatio}}", "0.2"),
            ("{{bounds.budgetSlack}}", "58"),
            ("{{bounds.configApplyMs}}", "2000"),
            ("{{limits.cpuShare}}", "0.25"),
            ("{{bounds.graceS}}", "8"),
            ("{{seeds|json}}", &seeds),
        ] {
            text = text.replace(from, to);
        }
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings");
        let log = fs::File::create(folder.join(format!("{name}.log")));
        let errors = fs::File::create(folder.join(format!("{name}.err")));
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("MAGNOLIAHAVEN_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.expect("log"))
            .stderr(errors.expect("log"))
            .spawn();
        let Ok(child) = child else {
            drop(gateways);
            cannot_run(record, "the gateway's program does not start");
        };
        gateways.push(Gateway {
            child,
            address: address(ports[0]).parse().expect("address"),
            readiness: address(ports[3]).parse().expect("address"),
            folder: folder.clone(),
            name,
        });
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > until {
            drop(gateways);
            cannot_run(record, "the gateways are not ready");
        }
        thread::sleep(Duration::from_millis(50));
    }
    // The members of the group have renewed twice, and no machine has had
    // trouble for longer than the stability window.
    thread::sleep(Duration::from_millis(4_000));
    record.note(format!("{count} gateways are ready"));
    gateways
}

impl Gateway {
    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let mut wire = Wire::new(stream);
        let request = "GET /magnoliahaven/ready HTTP/1.1\r\nHost: x\r\n\
                       Connection: close\r\n\r\n";
        let sent = wire.stream.write_all(request.as_bytes());
        sent.is_ok() && wire.message().is_some_and(|m| m.status() == 200)
    }

    /// Whether the process runs; its exit status otherwise.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// What the process has written to its standard error.
    pub fn errors(&self) -> String {
        let path = self.folder.join(format!("{}.err", self.name));
        fs::read_to_string(path).unwrap_or_default()
    }

    pub fn log(&self) -> String {
        let path = self.folder.join(format!("{}.log", self.name));
        fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var("KEEP").is_err() {
            for ending in ["yaml", "log", "err"] {
                let name = format!("{}.{ending}", self.name);
                let _ = fs::remove_file(self.folder.join(name));
            }
            let _ = fs::remove_dir(&self.folder);
        }
    }
}

// ----------------------------------------------------------------- clients

/// The head of a client's request.
pub fn request_head(
    method: &str,
    target: &str,
    id: &str,
    length: usize,
    extra: &str,
) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: milk.example\r\nAttempt-Id: \
         {id}\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer key-1\r\n\
         Content-Length: {length}\r\n{extra}\r\n"
    )
}

/// Requests that workers have begun to run, and others that reached them.
#[derive(Clone, Default)]
pub struct Sights {
    seen: Arc<Mutex<Vec<(String, String)>>>,
}

impl Sights {
    pub fn add(&self, worker: &str, id: &str) {
        let pair = (worker.to_owned(), id.to_owned());
        self.seen.lock().expect("sights").push(pair);
    }

    pub fn at(&self, worker: &str) -> BTreeSet<String> {
        let seen = self.seen.lock().expect("sights");
        let at = seen.iter().filter(|(w, _)| w == worker);
        at.map(|(_, id)| id.clone()).collect()
    }

    pub fn count(&self, id: &str) -> usize {
        let seen = self.seen.lock().expect("sights");
        seen.iter().filter(|(_, other)| other == id).count()
    }
}
