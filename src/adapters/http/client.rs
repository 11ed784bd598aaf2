//! The requesting side, with a pool of kept-alive connections.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode, response},
    monoio::net::TcpStream,
    monoio_http::h1::codec::decoder::{
        ChunkedBodyDecoder, ResponseHeadDecoder,
    },
    tokio::sync::oneshot,
};

use super::{
    HttpConnection, HttpFault, MessageLimits,
    connection::{BodyLength, body_length, write_all},
    encode::{encode_message, payload_of},
};

/// Idle connections kept for each address, unless set otherwise.
const POOLED_PER_ADDRESS: usize = 64;

/// Longest time for which an idle connection is reused, unless the remote
/// end names a shorter one.
const POOLED_TIME: Duration = Duration::from_secs(20);

/// A connection is not reused for this part of the idle time that the
/// remote end names, because it may end the connection at any moment then.
const IDLE_MARGIN_PERCENT: u32 = 25;

struct IdleConnection {
    connection: HttpConnection,
    until: Instant,
}

/// How long an answer may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyTimeouts {
    /// Longest time to the head of the answer.
    pub head: Duration,
    /// Longest time to its end.
    pub whole: Duration,
}

impl ReplyTimeouts {
    /// A time for the whole answer, within which the head may come at any
    /// moment.
    pub fn within(whole: Duration) -> ReplyTimeouts {
        ReplyTimeouts { head: whole, whole }
    }

    /// Sets the longest time to the head, so that a remote end that stays
    /// silent is told from one that sends a long answer.
    pub fn with_head(mut self, head: Duration) -> ReplyTimeouts {
        self.head = head;
        self
    }
}

/// What happened to a request on its way to the remote end.
enum WriteProgress {
    Running,
    Written,
    Failed,
}

/// An HTTP client that keeps connections alive for reuse.
///
/// Clones share one pool.
#[derive(Clone)]
pub struct HttpClient {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    limits: MessageLimits,
    connect_time: Duration,
    pooled: usize,
    pooled_time: Duration,
    takes_unframed: bool,
    late_time: Option<Duration>,
    pending: Rc<Cell<usize>>,
}

impl HttpClient {
    /// Creates a client with default limits and 1 s to connect.
    pub fn new() -> HttpClient {
        HttpClient {
            idle: Rc::default(),
            limits: MessageLimits::new().with_body_bytes(64 * 1024 * 1024),
            connect_time: Duration::from_secs(1),
            pooled: POOLED_PER_ADDRESS,
            pooled_time: POOLED_TIME,
            takes_unframed: false,
            late_time: None,
            pending: Rc::default(),
        }
    }

    /// Sets how many idle connections are kept for each address, and the
    /// longest time for which one is reused.
    pub fn with_pool(mut self, count: usize, time: Duration) -> HttpClient {
        self.pooled = count;
        self.pooled_time = time;
        self
    }

    /// Takes answers without a length, which end with their connection.
    pub fn with_close_delimited(mut self) -> HttpClient {
        self.takes_unframed = true;
        self
    }

    /// Sets the largest body of an answer, or part of one that is read part
    /// by part, in bytes.
    pub fn with_body_bytes(mut self, bytes: usize) -> HttpClient {
        self.limits = self.limits.with_body_bytes(bytes);
        self
    }

    /// Sets the longest time to wait for a connection.
    pub fn with_connect_timeout(mut self, time: Duration) -> HttpClient {
        self.connect_time = time;
        self
    }

    /// Keeps connections that open within `time`, although the request that
    /// needed them has been given up, for later requests.
    ///
    /// A VM whose link is full opens connections late. Without this it would
    /// open none at all, and would not reach the remote end until its load
    /// ends.
    pub fn with_late_connect_timeout(mut self, time: Duration) -> HttpClient {
        self.late_time = Some(time);
        self
    }

    /// Sets the longest time without a byte inside a body.
    pub fn with_stall_timeout(mut self, time: Duration) -> HttpClient {
        self.limits.stall_timeout = Some(time);
        self
    }

    /// Opens a connection, or takes an idle one that is still open.
    ///
    /// No byte of a request has left when this returns, so that the caller
    /// may safely choose another address after a failure.
    ///
    /// # Errors
    ///
    /// `Socket` if the address refuses, `TimedOut` if it stays silent.
    pub async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<HttpConnection, HttpFault> {
        while let Some(mut connection) = self.take_idle(address) {
            // A connection that the remote end has closed while it was idle
            // is readable at once. Anything else on it is out of step.
            let probe = connection.reader.wait_readable(Duration::ZERO).await;
            if matches!(probe, Err(HttpFault::TimedOut)) {
                return Ok(connection);
            }
        }
        let keeps_late = self.pending.get() < self.pooled;
        let stream = match self.late_time.filter(|_| keeps_late) {
            Some(time) => self.open_late(address, time).await?,
            None => open_stream(address, self.connect_time).await?,
        };
        Ok(HttpConnection::new(stream))
    }

    /// Opens a connection that goes into the pool if it is late.
    async fn open_late(
        &self,
        address: SocketAddr,
        late_time: Duration,
    ) -> Result<TcpStream, HttpFault> {
        let (opened, awaited) = oneshot::channel();
        let client = self.clone();
        self.pending.set(self.pending.get() + 1);
        monoio::spawn(async move {
            let stream = open_stream(address, late_time).await;
            client.pending.set(client.pending.get() - 1);
            // Nobody waits any more if the value comes back.
            if let Err(Ok(stream)) = opened.send(stream) {
                let connection = HttpConnection::new(stream);
                client.put_idle(address, connection, client.pooled_time);
            }
        });
        match monoio::time::timeout(self.connect_time, awaited).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => Err(HttpFault::TimedOut),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut pool = self.idle.borrow_mut();
        let list = pool.get_mut(&address)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            if idle.until > now {
                return Some(idle.connection);
            }
        }
        None
    }

    fn put_idle(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        time: Duration,
    ) {
        let mut pool = self.idle.borrow_mut();
        let list = pool.entry(address).or_default();
        let now = Instant::now();
        list.retain(|idle| idle.until > now);
        if list.len() < self.pooled {
            list.push(IdleConnection { connection, until: now + time });
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes idle connections that are past their time.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut pool = self.idle.borrow_mut();
        for list in pool.values_mut() {
            list.retain(|idle| idle.until > now);
        }
        pool.retain(|_, list| !list.is_empty());
    }

    /// Sends a request on a connection and reads the head of the answer.
    ///
    /// The remote end may answer before it has read the whole request. The
    /// connection is then not used again.
    ///
    /// # Errors
    ///
    /// Any fault leaves open whether the remote end acted on the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut connection: HttpConnection,
        mut request: Request<Bytes>,
        head_timeout: Duration,
    ) -> Result<HttpReply, HttpFault> {
        let headers = request.headers_mut();
        if !headers.contains_key(http::header::HOST) {
            let host = http::HeaderValue::from_str(&address.to_string())
                .expect("an address is printable");
            headers.insert(http::header::HOST, host);
        }
        let message = request.map(payload_of);
        let encoded = encode_message(message).await?;
        let deadline = Instant::now() + head_timeout;
        let mut progress = WriteProgress::Running;
        let head = {
            let decoder = ResponseHeadDecoder;
            let HttpConnection { reader, writer } = &mut connection;
            let mut write = pin!(write_all(writer, encoded));
            let read = reader.read_head(decoder, &self.limits, deadline);
            let mut read = pin!(read);
            loop {
                let running = matches!(progress, WriteProgress::Running);
                monoio::select! {
                    written = &mut write, if running => {
                        // An answer may be there although the rest of the
                        // request found no reader any more.
                        progress = match written {
                            Ok(()) => WriteProgress::Written,
                            Err(_) => WriteProgress::Failed,
                        };
                    }
                    head = &mut read => break head?,
                }
            }
        };
        let is_whole = matches!(progress, WriteProgress::Written);
        self.open_reply(address, connection, head, is_whole)
    }

    /// Reads the head of a further answer on a connection.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn read_reply(
        &self,
        address: SocketAddr,
        mut connection: HttpConnection,
        deadline: Instant,
    ) -> Result<HttpReply, HttpFault> {
        let reader = &mut connection.reader;
        let decoder = ResponseHeadDecoder;
        let head = reader.read_head(decoder, &self.limits, deadline).await?;
        self.open_reply(address, connection, head, true)
    }

    fn open_reply(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        head: response::Parts,
        is_reusable: bool,
    ) -> Result<HttpReply, HttpFault> {
        let mut length = body_length(&head.headers)?;
        if length == BodyLength::Absent && has_body(head.status) {
            if !self.takes_unframed {
                let reason = "a response without a body length".to_owned();
                return Err(HttpFault::Malformed { reason });
            }
            length = BodyLength::UntilClose;
        }
        let closes = head.headers.get(http::header::CONNECTION);
        let closes = closes.is_some_and(|v| names_close(v.as_bytes()));
        let body = ReplyBody {
            connection: Some(connection),
            keeps_alive: is_reusable && !closes,
            idle_time: idle_time(&head.headers).unwrap_or(self.pooled_time),
            decoder: ChunkedBodyDecoder::default(),
            length,
            address,
            client: self.clone(),
        };
        Ok(HttpReply { status: head.status, headers: head.headers, body })
    }

    /// Sends a request and reads the whole answer within `time`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::connect`] and [`HttpClient::send`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        time: ReplyTimeouts,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let connection = self.connect(address).await?;
        self.exchange(address, connection, request, time).await
    }

    /// Sends a request on a connection and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn exchange(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        request: Request<Bytes>,
        time: ReplyTimeouts,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let deadline = Instant::now() + time.whole;
        let reply = self.send(address, connection, request, time.head);
        let reply = reply.await?;
        let body = reply.body.collect(deadline).await?;
        Ok((reply.status, body))
    }

    /// Posts a JSON value and reads the whole answer within `time`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::fetch`].
    pub async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        value: &impl serde::Serialize,
        time: Duration,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let body = serde_json::to_vec(value).map_err(std::io::Error::from)?;
        let request = Request::post(path)
            .header("content-type", "application/json")
            .body(Bytes::from(body))
            .map_err(std::io::Error::other)?;
        self.fetch(address, request, ReplyTimeouts::within(time)).await
    }

    /// Gets a path and reads the whole answer within `time`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::fetch`].
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        time: Duration,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let request = Request::get(path).body(Bytes::new());
        let request = request.map_err(std::io::Error::other)?;
        self.fetch(address, request, ReplyTimeouts::within(time)).await
    }
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

async fn open_stream(
    address: SocketAddr,
    time: Duration,
) -> Result<TcpStream, HttpFault> {
    let connect = TcpStream::connect_addr(address);
    match monoio::time::timeout(time, connect).await {
        Err(_) => Err(HttpFault::TimedOut),
        Ok(stream) => Ok(stream?),
    }
}

/// Whether an answer of a status has a body.
fn has_body(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// Whether a `Connection` header announces the end of the connection.
fn names_close(value: &[u8]) -> bool {
    let mut options = value.split(|byte| *byte == b',');
    options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// How long the remote end keeps an idle connection, less a margin.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut options = value.split(',');
    let seconds = options.find_map(|option| {
        let seconds = option.trim().strip_prefix("timeout=")?;
        seconds.parse::<u64>().ok()
    })?;
    let time = Duration::from_secs(seconds);
    Some(time * (100 - IDLE_MARGIN_PERCENT) / 100)
}

/// The head of an answer with its body still to be read.
pub struct HttpReply {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: ReplyBody,
}

/// A body that is pulled from its connection, so that a slow reader holds
/// back the remote end instead of filling memory.
pub struct ReplyBody {
    connection: Option<HttpConnection>,
    keeps_alive: bool,
    idle_time: Duration,
    decoder: ChunkedBodyDecoder,
    length: BodyLength,
    address: SocketAddr,
    client: HttpClient,
}

impl ReplyBody {
    /// Reads the next part of the body; `None` at its end.
    ///
    /// A body of known length is one part. A connection whose body has been
    /// read to the end goes back to the pool; any other is closed on drop.
    ///
    /// # Errors
    ///
    /// `TimedOut` after `deadline`, `Truncated` if the body ends early.
    pub async fn next_chunk(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        let part = self.read_part(deadline).await?;
        let ended = match self.length {
            BodyLength::Chunked | BodyLength::UntilClose => part.is_none(),
            BodyLength::Absent | BodyLength::Fixed(_) => true,
        };
        if ended && let Some(connection) = self.connection.take() {
            self.retire(connection);
        }
        Ok(part)
    }

    async fn read_part(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let limits = &self.client.limits;
        let reader = &mut connection.reader;
        match self.length {
            BodyLength::Absent | BodyLength::Fixed(0) => Ok(None),
            BodyLength::Fixed(length) => {
                reader.read_fixed(length, limits, deadline).await.map(Some)
            }
            BodyLength::Chunked => {
                let decoder = &mut self.decoder;
                reader.read_chunk(decoder, limits, deadline).await
            }
            BodyLength::UntilClose => reader.read_some(deadline).await,
        }
    }

    /// Puts the connection of a body that has been read into the pool.
    ///
    /// Bytes beyond the body belong to no request, so that a connection with
    /// such bytes is closed.
    fn retire(&self, connection: HttpConnection) {
        let has_surplus = connection.reader.has_surplus();
        let unframed = self.length == BodyLength::UntilClose;
        if self.keeps_alive && !has_surplus && !unframed {
            let time = self.idle_time.min(self.client.pooled_time);
            self.client.put_idle(self.address, connection, time);
        }
    }

    /// Reads the rest of the body and gives the connection back.
    ///
    /// # Errors
    ///
    /// As [`ReplyBody::next_chunk`]; `Closed` if the connection ends with the
    /// body, `BodyTooLarge` for one that is not worth the wait.
    pub async fn into_connection(
        mut self,
        deadline: Instant,
    ) -> Result<HttpConnection, HttpFault> {
        let is_fixed = matches!(self.length, BodyLength::Fixed(_));
        let limit = self.client.limits.body_bytes;
        let mut skipped = 0;
        while let Some(part) = self.read_part(deadline).await? {
            if is_fixed {
                break;
            }
            skipped += part.len();
            if skipped > limit {
                return Err(HttpFault::BodyTooLarge { limit });
            }
        }
        let is_over = self.length == BodyLength::UntilClose;
        let connection = self.connection.take().filter(|_| !is_over);
        connection.ok_or(HttpFault::Closed)
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As [`ReplyBody::next_chunk`], and `BodyTooLarge`.
    pub async fn collect(
        mut self,
        deadline: Instant,
    ) -> Result<Bytes, HttpFault> {
        let limit = self.client.limits.body_bytes;
        let mut whole = Vec::new();
        while let Some(part) = self.next_chunk(deadline).await? {
            if whole.is_empty() && self.connection.is_none() {
                return Ok(part);
            }
            if whole.len() + part.len() > limit {
                return Err(HttpFault::BodyTooLarge { limit });
            }
            whole.extend_from_slice(&part);
        }
        Ok(Bytes::from(whole))
    }
}
