//! What the scripts of this review share: stand-ins for the platform's store
//! and for workers, a client, a relay that can be cut, and the processes of
//! the deploy file. Standard library only.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(
        fd: i32,
        level: i32,
        name: i32,
        value: *const i32,
        length: u32,
    ) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn pause(count: u64) {
    thread::sleep(ms(count));
}

/// Whether the case plays its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of a run: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new() -> Record {
        let folder = std::env::args().nth(1).expect("folder of the case");
        let path = PathBuf::from(folder).join("record.txt");
        let file = fs::File::create(path).expect("record");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let mut file = self.file.lock().expect("record");
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now());
    }

    pub fn sleep_until(&self, second: f64) {
        let left = second - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

// ---------------------------------------------------------------- messages

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, q)| q);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return unescape(value);
            }
        }
        String::new()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3);
        let code = code.and_then(|c| u8::from_str_radix(c, 16).ok());
        if let (b'%', Some(code)) = (bytes[at], code) {
            out.push(code);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn read_head(
    reader: &mut impl BufRead,
) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        let name = name.to_ascii_lowercase();
        headers.insert(name, value.trim().to_owned());
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut request = Request { method, target, headers, body: Vec::new() };
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Serves connections of `listener`, each on a thread; the handler returns
/// `false` to close one.
pub fn serve_on<F>(listener: TcpListener, handler: Arc<F>)
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

pub fn serve_connection<F>(stream: TcpStream, handler: &F)
where
    F: Fn(&Request, &mut TcpStream) -> bool,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if !handler(&request, &mut writer) {
            return;
        }
    }
}

/// Writes a whole answer.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut message = format!("HTTP/1.1 {status} X\r\n").into_bytes();
    for (name, value) in headers {
        message.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    let length = format!("Content-Length: {}\r\n\r\n", body.len());
    message.extend_from_slice(length.as_bytes());
    message.extend_from_slice(body);
    stream.write_all(&message).is_ok()
}

// ------------------------------------------------------------------- store

#[derive(Clone, Default)]
struct Writer {
    epoch: u64,
    next: Option<u64>,
    offsets: BTreeMap<u64, u64>,
}

#[derive(Clone, Default)]
struct Topic {
    writers: BTreeMap<String, Writer>,
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Option<Vec<u8>>)>,
}

impl Topic {
    fn push(&mut self, record: &[u8]) {
        let offset = self.records.len() as u64;
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
        let value = record[length + 1..].to_vec();
        let value = Some(value).filter(|value| !value.is_empty());
        self.newest.insert(key, (offset, value));
        self.records.push(record.to_vec());
    }

    /// Whether a writer's append is in order; the offset of a repeated one.
    fn check(&mut self, request: &Request) -> Result<Option<u64>, &str> {
        let epoch: u64 = request.query("epoch").parse().unwrap_or(0);
        let writer = self.writers.entry(request.query("producer"));
        let writer = writer.or_default();
        if epoch < writer.epoch {
            return Err("fenced");
        }
        if epoch > writer.epoch {
            *writer = Writer { epoch, ..Writer::default() };
        }
        if request.body.is_empty() {
            return Ok(None);
        }
        let number = request.query("sequence").parse().unwrap_or(0);
        if let Some(offset) = writer.offsets.get(&number) {
            return Ok(Some(*offset));
        }
        if writer.next.is_some_and(|next| next != number) {
            return Err("seq");
        }
        writer.next = Some(number + 1);
        let offset = self.records.len() as u64;
        writer.offsets.insert(number, offset);
        writer.offsets.retain(|done, _| done + 5 > number);
        Ok(None)
    }
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    owners: Vec<Option<String>>,
    generation: u64,
}

/// A stand-in for the platform's store, which behaves as the pages say.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    pub address: SocketAddr,
}

/// Time of an answer of the store.
const STORE_TIME: Duration = Duration::from_millis(2);

/// Partitions of each topic.
const PARTS: usize = 12;

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let address = listener.local_addr().expect("address");
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let shared = state.clone();
        let handler = move |request: &Request, stream: &mut TcpStream| {
            handle_store(&shared, request, stream)
        };
        serve_on(listener, Arc::new(handler));
        Store { state, address }
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("store")
    }

    /// Writes a record as an operator or a worker does. No text removes it.
    pub fn put(&self, topic: &str, key: &str, text: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(text.as_bytes());
        let mut state = self.state();
        state.topics.entry(topic.to_owned()).or_default().push(&record);
    }

    /// The newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state();
        let (_, value) = state.topics.get(topic)?.newest.get(key)?;
        let value = value.as_ref()?;
        Some(String::from_utf8_lossy(value).into_owned())
    }
}

fn handle_store(
    shared: &Mutex<StoreState>,
    request: &Request,
    stream: &mut TcpStream,
) -> bool {
    thread::sleep(STORE_TIME);
    let (status, body) = match request.path() {
        "/magnoliahaven/log-append" => append(shared, request),
        "/magnoliahaven/log-read" => read(shared, request),
        "/magnoliahaven/log-newest" => newest(shared, request),
        "/magnoliahaven/log-join" => join(shared, request),
        "/magnoliahaven/log-owners" => owners(shared),
        _ => (404, b"{}".to_vec()),
    };
    answer(stream, status, &[("Store-Era", "0")], &body)
}

fn append(shared: &Mutex<StoreState>, request: &Request) -> (u16, Vec<u8>) {
    let mut state = shared.lock().expect("store");
    let topic = state.topics.entry(request.query("topic")).or_default();
    let offset = topic.records.len() as u64;
    let at = request.query("at");
    if !at.is_empty() && at.parse() != Ok(offset) {
        return (412, format!("{{\"end\":{offset}}}").into_bytes());
    }
    if !request.query("producer").is_empty() {
        match topic.check(request) {
            Ok(None) => {}
            Ok(Some(first)) => {
                let body = format!("{{\"offset\":{first},\"end\":{offset}}}");
                return (200, body.into_bytes());
            }
            Err(reason) => {
                let body = format!("{{\"reason\":\"{reason}\"}}");
                return (409, body.into_bytes());
            }
        }
    }
    let mut bytes = request.body.as_slice();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        topic.push(&rest[..length]);
        bytes = &rest[length..];
    }
    let end = topic.records.len();
    (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
}

fn read(shared: &Mutex<StoreState>, request: &Request) -> (u16, Vec<u8>) {
    let from: usize = request.query("from").parse().unwrap_or(0);
    let wait = request.query("waitMs").parse().unwrap_or(0);
    let most_kb = request.query("maxKb").parse().unwrap_or(1_024);
    let deadline = Instant::now() + ms(wait);
    loop {
        {
            let mut state = shared.lock().expect("store");
            let topic = state.topics.entry(request.query("topic"));
            let topic = topic.or_default();
            let end = topic.records.len();
            if from > end {
                return (410, b"{\"first\":0}".to_vec());
            }
            if end > from || Instant::now() >= deadline {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in &topic.records[from..] {
                    let is_first = body.len() == 16;
                    if !is_first && body.len() + record.len() > most_kb * 1024
                    {
                        break;
                    }
                    let length = record.len() as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
        }
        pause(3);
    }
}

fn newest(shared: &Mutex<StoreState>, request: &Request) -> (u16, Vec<u8>) {
    let mut state = shared.lock().expect("store");
    let topic = state.topics.entry(request.query("topic")).or_default();
    let after = request.query("after");
    let mut items = Vec::new();
    for (key, (offset, value)) in &topic.newest {
        let Some(value) = value else { continue };
        if !after.is_empty() && *key <= after {
            continue;
        }
        let value = base64(value);
        items.push(format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
        ));
    }
    let end = topic.records.len();
    let body = format!(
        "{{\"items\":[{}],\"truncated\":false,\"end\":{end}}}",
        items.join(",")
    );
    (200, body.into_bytes())
}

/// The text or number behind a name in a flat JSON text.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[start..].trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return Some(rest[..rest.find('"')?].to_owned());
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}

fn join(shared: &Mutex<StoreState>, request: &Request) -> (u16, Vec<u8>) {
    let text = String::from_utf8_lossy(&request.body).into_owned();
    let field = |name| json_field(&text, name).unwrap_or_default();
    let member = field("member");
    let known: u64 = field("generation").parse().unwrap_or(0);
    let ttl = ms(field("ttlMs").parse().unwrap_or(4_000));
    let topics = text.matches("seats-").count();
    let mut state = shared.lock().expect("store");
    let state = &mut *state;
    let now = Instant::now();
    state.owners.resize(topics * PARTS, None);
    let before = state.members.len();
    state.members.retain(|_, seen| now - *seen < ttl);
    state.generation += u64::from(state.members.len() != before);
    for owner in &mut state.owners {
        if owner.as_ref().is_some_and(|o| !state.members.contains_key(o)) {
            *owner = None;
        }
    }
    let is_new = state.members.insert(member.clone(), now).is_none();
    state.generation += u64::from(is_new);
    let may_give_up = known == state.generation;
    let members: Vec<&String> = state.members.keys().collect();
    let mut changed = false;
    for (part, owner) in state.owners.iter_mut().enumerate() {
        let target = members[part % members.len()];
        let is_free = match owner {
            None => true,
            Some(owner) => may_give_up && *owner == member,
        };
        if is_free && owner.as_ref() != Some(target) {
            *owner = Some(target.clone());
            changed = true;
        }
    }
    state.generation += u64::from(changed);
    let generation = state.generation;
    (200, format!("{{\"generation\":{generation},\"parts\":[]}}").into_bytes())
}

fn owners(shared: &Mutex<StoreState>) -> (u16, Vec<u8>) {
    let state = shared.lock().expect("store");
    let mut rows = Vec::new();
    for (number, owner) in state.owners.iter().enumerate() {
        let owner = match owner {
            Some(owner) => format!("\"{owner}\""),
            None => "null".to_owned(),
        };
        let (topic, part) = (number / PARTS, number % PARTS);
        rows.push(format!("[\"seats-{topic}\",{part},{owner},0]"));
    }
    (200, format!("{{\"parts\":[{}]}}", rows.join(",")).into_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            let byte = chunk.get(index).copied().unwrap_or(0);
            word = word << 8 | u32::from(byte);
        }
        for index in 0..4 {
            let digit = (word >> (18 - 6 * index) & 63) as usize;
            let is_pad = index > chunk.len();
            out.push(if is_pad { '=' } else { DIGITS[digit] as char });
        }
    }
    out
}

// ------------------------------------------------------------------ workers

/// The registration of a worker, which it renews each 1.2 s.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub version: String,
    pub born: u64,
    store: Store,
    sequence: AtomicU64,
    state: Mutex<&'static str>,
    pub is_beating: AtomicBool,
    /// Whether the process of the worker has ended.
    is_gone: AtomicBool,
    is_listening: AtomicBool,
    /// Whether it has ended for good.
    is_over: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// Interval between two registrations of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Worker {
    /// Starts a worker that answers with `handler`, and registers it.
    pub fn start<F>(
        store: &Store,
        id: &str,
        service: &str,
        version: &str,
        handler: F,
    ) -> Arc<Worker>
    where
        F: Fn(&Worker, &Request, &mut TcpStream) -> bool
            + Send
            + Sync
            + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let worker = Worker::new(
            store,
            id,
            service,
            version,
            listener.local_addr().expect("address"),
        );
        let own = worker.clone();
        let handler = Arc::new(handler);
        thread::spawn(move || own.accept(listener, &handler));
        worker
    }

    /// Registers a worker whose listener the case serves itself.
    pub fn new(
        store: &Store,
        id: &str,
        service: &str,
        version: &str,
        address: SocketAddr,
    ) -> Arc<Worker> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            version: version.to_owned(),
            born: born.expect("clock").as_millis() as u64,
            store: store.clone(),
            sequence: AtomicU64::new(0),
            state: Mutex::new("ready"),
            is_beating: AtomicBool::new(true),
            is_gone: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
            is_over: AtomicBool::new(false),
            open: Mutex::default(),
        });
        worker.register();
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.is_over.load(Ordering::SeqCst) {
                    return;
                }
                if beating.is_beating.load(Ordering::SeqCst) {
                    beating.register();
                }
            }
        });
        worker
    }

    /// Serves connections until the worker ends or is down.
    fn accept<F>(self: &Arc<Worker>, listener: TcpListener, handler: &Arc<F>)
    where
        F: Fn(&Worker, &Request, &mut TcpStream) -> bool
            + Send
            + Sync
            + 'static,
    {
        let mut listener = Some(listener);
        loop {
            if self.is_gone.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            self.is_listening.store(listener.is_some(), Ordering::SeqCst);
            if self.is_over.load(Ordering::SeqCst) {
                return;
            }
            if let Some(listener) = &listener {
                listener.set_nonblocking(true).expect("nonblocking");
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).expect("blocking");
                    let clone = stream.try_clone().expect("stream");
                    self.open.lock().expect("open").push(clone);
                    let (own, handler) = (self.clone(), handler.clone());
                    thread::spawn(move || {
                        serve_connection(stream, &|request, out| {
                            handler(&own, request, out)
                        });
                    });
                    continue;
                }
            }
            pause(1);
        }
    }

    /// Ends the process of the worker: its connections are reset, and new
    /// ones are refused.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        while self.is_listening.load(Ordering::SeqCst) {
            pause(1);
        }
        for stream in self.open.lock().expect("open").drain(..) {
            reset(&stream);
        }
    }

    /// Ends the process of the worker for good.
    pub fn exit_for_good(&self) {
        self.exit();
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Starts the process of the worker again, under the same id.
    pub fn come_back(&self) {
        self.is_gone.store(false, Ordering::SeqCst);
    }

    /// The registration with a number of the caller's.
    pub fn entry(&self, sequence: &str) -> String {
        let Worker { service, address, version, born, .. } = self;
        let state = self.state.lock().expect("state");
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\
             \"zone\":\"z-1\",\"version\":\"{version}\",\"slots\":16,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }

    pub fn register(&self) -> u64 {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = self.entry(&sequence.to_string());
        self.store.put("keyed.servers", &self.id, &entry);
        sequence
    }

    /// Reports that the worker leaves.
    pub fn drain(&self) -> u64 {
        *self.state.lock().expect("state") = "draining";
        self.register()
    }

    /// Removes the registration.
    pub fn leave(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.id, "");
    }

    /// Rejects a request that is meant for another worker.
    pub fn is_meant(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let expected = request.header("expect-instance");
        if expected.is_empty() || expected == self.id {
            return true;
        }
        let id = request.header("attempt-id");
        let headers = [("Instance-Id", self.id.as_str()), ("Attempt-Id", id)];
        answer(stream, 421, &headers, b"");
        false
    }

    /// Answers with a signature.
    pub fn answer(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        status: u16,
        body: &[u8],
    ) -> bool {
        let id = request.header("attempt-id");
        let stamp = format!("stamp-{}", self.id);
        let headers = [("Attempt-Id", id), ("Server-Stamp", stamp.as_str())];
        answer(stream, status, &headers, body)
    }
}

// ------------------------------------------------------------------ clients

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

/// A connection of a client.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        Some(Client { reader: BufReader::new(stream) })
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut message = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            message.push_str(&format!("{name}: {value}\r\n"));
        }
        message.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut message = message.into_bytes();
        message.extend_from_slice(body);
        self.reader.get_mut().write_all(&message)
    }

    /// Reads an answer; `None` if the connection ended before its head did.
    pub fn receive(&mut self) -> Option<Answer> {
        let (first, headers) = read_head(&mut self.reader)?;
        let status = first.split_whitespace().nth(1)?.parse().ok()?;
        let mut answer =
            Answer { status, headers, body: Vec::new(), is_whole: false };
        let length = answer.headers.get("content-length");
        if let Some(length) = length.and_then(|l| l.parse().ok()) {
            answer.body = vec![0; length];
            let read = self.reader.read_exact(&mut answer.body);
            answer.is_whole = read.is_ok();
            return Some(answer);
        }
        loop {
            let mut line = String::new();
            let read = self.reader.read_line(&mut line).unwrap_or(0);
            let size = usize::from_str_radix(line.trim(), 16);
            let (true, Ok(size)) = (read > 0, size) else {
                return Some(answer);
            };
            let mut chunk = vec![0; size + 2];
            if self.reader.read_exact(&mut chunk).is_err() {
                return Some(answer);
            }
            if size == 0 {
                answer.is_whole = true;
                return Some(answer);
            }
            answer.body.extend_from_slice(&chunk[..size]);
        }
    }
}

/// Sends one request of the tenant `leche` on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    id: &str,
    headers: &[(&str, &str)],
) -> Option<Answer> {
    let mut client = Client::connect(address)?;
    client.send(method, target, &client_headers(id, headers), b"").ok()?;
    client.receive()
}

/// The headers of a request of the tenant `leche`.
pub fn client_headers<'a>(
    id: &'a str,
    more: &[(&'a str, &'a str)],
) -> Vec<(&'a str, &'a str)> {
    let mut all = vec![
        ("Host", "leche.example"),
        ("Attempt-Id", id),
        ("Authorization", "Bearer key-1"),
    ];
    all.extend_from_slice(more);
    all
}

// -------------------------------------------------------------------- relay

/// Forwards connections to one address. It can reset all of them and those
/// that come, or let open ones go silent for good while new ones work.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    resets: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<(TcpStream, TcpStream, Arc<AtomicBool>)>>>,
}

impl Relay {
    pub fn start(at: &str, target: SocketAddr) -> Relay {
        let listener = TcpListener::bind(at).expect("relay");
        let relay = Relay {
            address: listener.local_addr().expect("address"),
            resets: Arc::default(),
            open: Arc::default(),
        };
        let own = relay.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if own.resets.load(Ordering::SeqCst) {
                    reset(&near);
                    continue;
                }
                let Ok(far) = TcpStream::connect(target) else { continue };
                own.forward(near, far);
            }
        });
        relay
    }

    fn forward(&self, near: TcpStream, far: TcpStream) {
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let is_silent: Arc<AtomicBool> = Arc::default();
        let clone = |stream: &TcpStream| stream.try_clone().expect("stream");
        let pair = (clone(&near), clone(&far), is_silent.clone());
        self.open.lock().expect("relay").push(pair);
        for (from, to) in [(clone(&near), clone(&far)), (far, near)] {
            let is_silent = is_silent.clone();
            thread::spawn(move || copy(from, to, &is_silent));
        }
    }

    /// Resets all connections, and those that come from now on.
    pub fn reset_all(&self) {
        self.resets.store(true, Ordering::SeqCst);
        for (near, far, _) in self.open.lock().expect("relay").drain(..) {
            reset(&near);
            let _ = far.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.resets.store(false, Ordering::SeqCst);
    }

    /// Nothing passes any more on the connections that are open.
    pub fn silence_open(&self) -> usize {
        let open = self.open.lock().expect("relay");
        for (_, _, is_silent) in open.iter() {
            is_silent.store(true, Ordering::SeqCst);
        }
        open.len()
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        // What a silent connection carries is lost, its end too.
        if is_silent.load(Ordering::SeqCst) {
            if read == 0 {
                return;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger = [1_i32, 0];
    // SAFETY: the pair lives for the call; level and name are those of Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
    let _ = stream.shutdown(Shutdown::Both);
}

// ---------------------------------------------------------------- processes

/// The addresses of the machines of a run: one loopback address each, the
/// same ports on all.
pub struct Machines {
    subnet: String,
    ports: [u16; 4],
    folder: PathBuf,
}

/// A gateway process, started as the deploy file says, which ends with this
/// value.
pub struct Gateway {
    pub child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    most_files: u64,
}

/// Ports that were given out, so that none is given out twice.
static GIVEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());

pub fn free_port() -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        let port = listener.local_addr().expect("address").port();
        let mut given = GIVEN.lock().expect("ports");
        if !given.contains(&port) {
            given.push(port);
            return port;
        }
    }
}

impl Machines {
    pub fn new() -> Machines {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).expect("folder");
        let subnet = format!("127.{}.{}", 60 + pid / 200 % 100, pid % 200);
        Machines { subnet, ports: [(); 4].map(|()| free_port()), folder }
    }

    pub fn ip(&self, number: usize) -> String {
        format!("{}.{}", self.subnet, 10 + number)
    }

    pub fn control_port(&self) -> u16 {
        self.ports[2]
    }

    /// Starts a gateway on machine `number`. Its control port may differ
    /// from that of the others, and its descriptors may be bounded.
    pub fn start(
        &self,
        number: usize,
        store: SocketAddr,
        control_port: u16,
        most_files: u64,
    ) -> Gateway {
        let ip = self.ip(number);
        let name = format!("edge-{number}");
        let [front, ready, _, directory] = self.ports;
        let at = |port: u16| format!("{ip}:{port}").parse().expect("address");
        let gateway = |child| Gateway {
            child,
            name: name.clone(),
            front: at(front),
            ready: at(ready),
            control: at(control_port),
            directory: at(directory),
            settings: self.folder.join(format!("{name}.yaml")),
            log: self.folder.join(format!("{name}.log")),
            most_files,
        };
        let settings = self.folder.join(format!("{name}.yaml"));
        let log = self.folder.join(format!("{name}.log"));
        let template = fs::read_to_string("deploy/settings.yaml.template");
        let values = [
            ("nodeName", name.clone()),
            ("region", "altiplano".to_owned()),
            ("zone", format!("z-{number}")),
            ("ip", ip.clone()),
            ("listen.frontend", format!("{ip}:{front}")),
            ("listen.ready", format!("{ip}:{ready}")),
            ("listen.control", format!("{ip}:{control_port}")),
            ("listen.directory", format!("{ip}:{directory}")),
            ("platform.address", store.to_string()),
            ("platform.keep_s", "300".to_owned()),
            ("platform.parts", PARTS.to_string()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "58".to_owned()),
            ("bounds.exposeShare", "0.1".to_owned()),
            ("bounds.exposeSlack", "50".to_owned()),
            ("bounds.configApplyMs", "2000".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("seeds|json", "[]".to_owned()),
        ];
        let text = fill(&template.expect("template"), &values);
        fs::write(&settings, text).expect("settings");
        gateway(spawn(&settings, &log, most_files))
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Fills in the template of the settings, as the platform does.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let mut text = String::new();
    let mut section = String::new();
    for line in template.lines() {
        if let Some(name) = line.strip_prefix("{{#") {
            section = name.trim_end_matches("}}").to_owned();
            continue;
        }
        if line.starts_with("{{/") {
            section.clear();
            continue;
        }
        let mut line = line.to_owned();
        for (name, value) in values {
            line = line.replace(&format!("{{{{{name}}}}}"), value);
            if *name == section {
                line = line.replace("{{.}}", value);
            }
        }
        text.push_str(&line);
        text.push('\n');
    }
    text
}

fn spawn(settings: &PathBuf, log: &PathBuf, most_files: u64) -> Child {
    let log = fs::File::options().create(true).append(true).open(log);
    let program = "target/release/magnolia-gateway";
    let mut command = if most_files == 0 {
        Command::new(program)
    } else {
        // The limit of the machine on descriptors.
        let mut command = Command::new("/bin/sh");
        let line = format!("ulimit -n {most_files}; exec {program}");
        command.arg("-c").arg(line);
        command
    };
    // The process ends with this one, however that ends.
    let die = || {
        // SAFETY: PR_SET_PDEATHSIG takes the number of a signal.
        unsafe { prctl(1, SIGKILL as u64) };
        Ok(())
    };
    use std::os::unix::process::CommandExt;
    // SAFETY: the closure makes one system call.
    unsafe { command.pre_exec(die) };
    command
        .env("MAGNOLIAHAVEN_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.expect("log"))
        .stderr(Stdio::null())
        .spawn()
        .expect("gateway")
}

impl Gateway {
    pub fn signal(&mut self, signal: i32) {
        if self.is_running() {
            // SAFETY: the process was started here and has not been waited
            // for.
            unsafe { kill(self.child.id() as i32, signal) };
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Starts the process again, with the same settings.
    pub fn start_again(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log, self.most_files);
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/magnoliahaven/ready", "", &[]);
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// How many machines an entry answer names.
    pub fn entries(&self) -> usize {
        let target = "/magnoliahaven/resolve?name=leche.example\
                      &region=altiplano&zone=z-1";
        let answer = call(self.directory, "GET", target, "", &[]);
        let answer = answer.unwrap_or_default();
        String::from_utf8_lossy(&answer.body).matches("127.").count()
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Lines of the log with this event.
    pub fn events(&self, event: &str) -> Vec<String> {
        let mark = format!("\"event\":\"{event}\"");
        let log = self.log();
        let lines = log.lines().filter(|line| line.contains(&mark));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

/// Waits until all gateways are ready and name each other; ends the run with
/// 2 if that never happens.
pub fn wait_ready(record: &Record, gateways: &[Gateway]) {
    let deadline = Instant::now() + Duration::from_secs(20);
    let all_ready = || {
        let count = gateways.len();
        gateways.iter().all(|g| g.is_ready() && g.entries() == count)
    };
    while !all_ready() {
        if Instant::now() > deadline {
            record.say("the gateways were never ready");
            finish(2);
        }
        pause(100);
    }
    record.say("all gateways are ready");
}

/// Ends the run with a code for `main`, so that all processes end.
pub fn finish(code: i32) -> ! {
    // A panic unwinds, which ends the processes; `run` turns it into a code.
    std::panic::panic_any(code)
}

/// Runs a case and exits with its code: 1 broken, 0 held, 2 not run.
pub fn run(case: impl FnOnce() -> i32 + std::panic::UnwindSafe) -> ! {
    std::panic::set_hook(Box::new(|info| {
        if info.payload().downcast_ref::<i32>().is_none() {
            eprintln!("{info}");
        }
    }));
    let code = std::panic::catch_unwind(case);
    let code = code.unwrap_or_else(|payload| {
        payload.downcast_ref::<i32>().copied().unwrap_or(2)
    });
    std::process::exit(code)
}

/// A configuration of one service of plain workers and one of engines.
pub fn config(version: u64, prepaid: u64, timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"leche.example\",\
             \"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":400,\
             \"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts},\"sticky\":{},\
             \"resumable\":{},\"gapAimMs\":400}}",
            kind == "streaming",
            name == "ronda"
        )
    };
    let routes = [
        route("ver", "idempotent", "pedidos", 2),
        route("cobro", "non_idempotent", "pedidos", 1),
        route("ronda", "streaming", "asistente", 2),
        route("consulta", "streaming", "asistente", 1),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"pedidos\",\"healthPath\":\"/health\",\
         \"maxConnections\":370}},{{\"name\":\"asistente\",\
         \"healthPath\":\"/health\",\"maxConnections\":370,\
         \"engine\":{{\"slots\":64,\"stride\":6}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"leche\",\"apiKeys\":[\"key-1\"],\
         \"prepaid\":{prepaid}}}]}}",
        routes.join(",")
    )
}
