//! The HTTP client, with a pool of keep-alive connections.

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
use crate::{domain::MAX_TIME, runtime::spawn};

/// Default maximum of idle connections for each address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Default time for which an idle connection is kept, unless the remote end
/// announces a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Percentage by which the idle timeout announced by the remote end is
/// shortened. Near the end of that timeout the remote end may close the
/// connection at any moment.
const IDLE_MARGIN_PERCENT: u32 = 25;

struct IdleConnection {
    connection: HttpConnection,
    expires_at: Instant,
}

/// Timeouts of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyTimeouts {
    /// Longest time until the head of the response is received.
    pub head: Duration,
    /// Longest time until the whole response is received.
    pub total: Duration,
}

impl ReplyTimeouts {
    /// Creates timeouts for the whole response, with no shorter one for its
    /// head.
    pub fn within(total: Duration) -> ReplyTimeouts {
        ReplyTimeouts { head: total, total }
    }

    /// Sets a shorter timeout for the head. It detects a silent remote end
    /// early without cutting off a long response.
    pub fn with_head(mut self, head: Duration) -> ReplyTimeouts {
        self.head = head;
        self
    }
}

/// How far a request has been written.
enum WriteProgress {
    Writing,
    Written,
    Failed,
}

/// An HTTP client that keeps connections open for reuse.
///
/// Clones share one connection pool.
#[derive(Clone)]
pub struct HttpClient {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    limits: MessageLimits,
    connect_timeout: Duration,
    max_idle: usize,
    idle_timeout: Duration,
    accepts_close_delimited: bool,
    late_connect_timeout: Option<Duration>,
    late_connects: Rc<Cell<usize>>,
}

impl HttpClient {
    /// Creates a client with default limits and a connect timeout of 1 s.
    pub fn new() -> HttpClient {
        HttpClient {
            idle: Rc::default(),
            limits: MessageLimits::new().with_body_bytes(64 * 1024 * 1024),
            connect_timeout: Duration::from_secs(1),
            max_idle: MAX_IDLE_PER_ADDRESS,
            idle_timeout: IDLE_TIMEOUT,
            accepts_close_delimited: false,
            late_connect_timeout: None,
            late_connects: Rc::default(),
        }
    }

    /// Sets the maximum number of idle connections for each address, and
    /// the longest time for which one is kept.
    pub fn with_pool(
        mut self,
        max_idle: usize,
        idle_timeout: Duration,
    ) -> HttpClient {
        self.max_idle = max_idle;
        self.idle_timeout = idle_timeout;
        self
    }

    /// Accepts responses without a body length, which end when the remote
    /// end closes the connection.
    pub fn with_close_delimited(mut self) -> HttpClient {
        self.accepts_close_delimited = true;
        self
    }

    /// Sets the maximum size in bytes of a response body, or of one chunk if
    /// the body is read chunk by chunk.
    pub fn with_body_bytes(mut self, bytes: usize) -> HttpClient {
        self.limits = self.limits.with_body_bytes(bytes);
        self
    }

    /// Sets the longest time to wait for a connection.
    pub fn with_connect_timeout(mut self, timeout: Duration) -> HttpClient {
        self.connect_timeout = timeout;
        self
    }

    /// Continues to open a connection after the request that needed it has
    /// timed out, and adds it to the pool if it opens within `timeout`.
    ///
    /// On a saturated link connections open late. Without this setting the
    /// client would give up each of them, and would not reach the remote
    /// end until the load on the link ends.
    pub fn with_late_connect_timeout(
        mut self,
        timeout: Duration,
    ) -> HttpClient {
        self.late_connect_timeout = Some(timeout);
        self
    }

    /// Sets the longest time without a new byte of a body.
    pub fn with_stall_timeout(mut self, timeout: Duration) -> HttpClient {
        self.limits.stall_timeout = Some(timeout);
        self
    }

    /// Returns an idle connection that is still open, or opens a new one.
    ///
    /// No byte of a request has been sent when this returns, so that it is
    /// safe to try another address after a failure.
    ///
    /// # Errors
    ///
    /// `Socket` if the connection is refused, `TimedOut` if it does not open
    /// in time.
    pub async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<HttpConnection, HttpFault> {
        while let Some(mut connection) = self.take_idle(address) {
            // An idle connection that is readable was closed by the remote
            // end, or has bytes that belong to no response.
            let probe = connection.reader.wait_readable(Duration::ZERO).await;
            if matches!(probe, Err(HttpFault::TimedOut)) {
                return Ok(connection);
            }
        }
        let may_keep_late = self.late_connects.get() < self.max_idle;
        let stream = match self.late_connect_timeout.filter(|_| may_keep_late)
        {
            Some(timeout) => self.open_or_pool(address, timeout).await?,
            None => open_stream(address, self.connect_timeout).await?,
        };
        Ok(HttpConnection::new(stream))
    }

    /// Opens a connection. If it does not open within the connect timeout,
    /// but within the late one, it is added to the pool.
    async fn open_or_pool(
        &self,
        address: SocketAddr,
        late_connect_timeout: Duration,
    ) -> Result<TcpStream, HttpFault> {
        let (opened, awaited) = oneshot::channel();
        let client = self.clone();
        self.late_connects.set(self.late_connects.get() + 1);
        spawn("late_connect", async move {
            let stream = open_stream(address, late_connect_timeout).await;
            client.late_connects.set(client.late_connects.get() - 1);
            // The request has timed out if the channel returns the value.
            if let Err(Ok(stream)) = opened.send(stream) {
                let connection = HttpConnection::new(stream);
                client.put_idle(address, connection, client.idle_timeout);
            }
        });
        match monoio::time::timeout(self.connect_timeout, awaited).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => Err(HttpFault::TimedOut),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut pool = self.idle.borrow_mut();
        let list = pool.get_mut(&address)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            if idle.expires_at > now {
                return Some(idle.connection);
            }
        }
        None
    }

    fn put_idle(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        idle_timeout: Duration,
    ) {
        let mut pool = self.idle.borrow_mut();
        let list = pool.entry(address).or_default();
        let now = Instant::now();
        list.retain(|idle| idle.expires_at > now);
        if list.len() < self.max_idle {
            list.push(IdleConnection {
                connection,
                expires_at: now + idle_timeout,
            });
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the idle connections whose idle timeout has passed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut pool = self.idle.borrow_mut();
        for list in pool.values_mut() {
            list.retain(|idle| idle.expires_at > now);
        }
        pool.retain(|_, list| !list.is_empty());
    }

    /// Sends a request on a connection and reads the head of the response.
    ///
    /// The remote end may answer before it has read the whole request. The
    /// connection is not reused in that case.
    ///
    /// # Errors
    ///
    /// After any fault, the remote end may or may not have acted on the
    /// request.
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
                .expect("a socket address is printable");
            headers.insert(http::header::HOST, host);
        }
        let message = request.map(payload_of);
        let encoded = encode_message(message).await?;
        let deadline = Instant::now() + head_timeout;
        let mut progress = WriteProgress::Writing;
        let head = {
            let decoder = ResponseHeadDecoder;
            let HttpConnection { reader, writer } = &mut connection;
            let mut write = pin!(write_all(writer, encoded));
            let read = reader.read_head(decoder, &self.limits, deadline);
            let mut read = pin!(read);
            loop {
                let writing = matches!(progress, WriteProgress::Writing);
                monoio::select! {
                    written = &mut write, if writing => {
                        // Even if the write fails, the remote end may have
                        // sent a response before it stopped reading.
                        progress = match written {
                            Ok(()) => WriteProgress::Written,
                            Err(_) => WriteProgress::Failed,
                        };
                    }
                    head = &mut read => break head?,
                }
            }
        };
        let is_written = matches!(progress, WriteProgress::Written);
        self.open_reply(address, connection, head, is_written)
    }

    /// Reads the head of a further response on a connection.
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
            if !self.accepts_close_delimited {
                let reason = "a response without a body length".to_owned();
                return Err(HttpFault::Malformed { reason });
            }
            length = BodyLength::UntilClose;
        }
        let closes = head.headers.get(http::header::CONNECTION);
        let closes = closes.is_some_and(|v| has_close_option(v.as_bytes()));
        let body = ReplyBody {
            connection: Some(connection),
            keeps_alive: is_reusable && !closes,
            idle_timeout: announced_idle_timeout(&head.headers)
                .unwrap_or(self.idle_timeout),
            decoder: ChunkedBodyDecoder::default(),
            length,
            address,
            client: self.clone(),
        };
        Ok(HttpReply { status: head.status, headers: head.headers, body })
    }

    /// Sends a request and reads the whole response within `timeouts`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::connect`] and [`HttpClient::send`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeouts: ReplyTimeouts,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let connection = self.connect(address).await?;
        self.exchange(address, connection, request, timeouts).await
    }

    /// Sends a request on a connection and reads the whole response.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn exchange(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        request: Request<Bytes>,
        timeouts: ReplyTimeouts,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let deadline = Instant::now() + timeouts.total;
        let reply = self.send(address, connection, request, timeouts.head);
        let reply = reply.await?;
        let body = reply.body.collect(deadline).await?;
        Ok((reply.status, body))
    }

    /// Posts a JSON value and reads the whole response within `timeout`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::fetch`].
    pub async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        value: &impl serde::Serialize,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let body = serde_json::to_vec(value).map_err(std::io::Error::from)?;
        let request = Request::post(path)
            .header("content-type", "application/json")
            .body(Bytes::from(body))
            .map_err(std::io::Error::other)?;
        self.fetch(address, request, ReplyTimeouts::within(timeout)).await
    }

    /// Gets a path and reads the whole response within `timeout`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::fetch`].
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let request = Request::get(path).body(Bytes::new());
        let request = request.map_err(std::io::Error::other)?;
        self.fetch(address, request, ReplyTimeouts::within(timeout)).await
    }
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

async fn open_stream(
    address: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, HttpFault> {
    let connect = TcpStream::connect_addr(address);
    match monoio::time::timeout(timeout, connect).await {
        Err(_) => Err(HttpFault::TimedOut),
        Ok(stream) => Ok(stream?),
    }
}

/// Returns whether a response of this status has a body.
fn has_body(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// Returns whether a `Connection` header has the option `close`.
fn has_close_option(value: &[u8]) -> bool {
    let mut options = value.split(|byte| *byte == b',');
    options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Returns the idle timeout that a `Keep-Alive` header announces, less a
/// margin.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut options = value.split(',');
    let seconds = options.find_map(|option| {
        let seconds = option.trim().strip_prefix("timeout=")?;
        seconds.parse::<u64>().ok()
    })?;
    let timeout = Duration::from_secs(seconds).min(MAX_TIME);
    Some(timeout * (100 - IDLE_MARGIN_PERCENT) / 100)
}

/// The head of a response, with the body still to be read.
pub struct HttpReply {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: ReplyBody,
}

/// A response body that is read on demand, so that a slow consumer causes
/// backpressure on the remote end instead of filling memory.
pub struct ReplyBody {
    connection: Option<HttpConnection>,
    keeps_alive: bool,
    idle_timeout: Duration,
    decoder: ChunkedBodyDecoder,
    length: BodyLength,
    address: SocketAddr,
    client: HttpClient,
}

impl ReplyBody {
    /// Reads the next chunk of the body; returns `None` at its end.
    ///
    /// A body of known length is returned as one chunk. After the end of the
    /// body the connection returns to the pool; if the body is dropped
    /// before, the connection is closed.
    ///
    /// # Errors
    ///
    /// `TimedOut` after `deadline`, `Truncated` if the body is incomplete.
    pub async fn next_chunk(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        let chunk = self.read_chunk(deadline).await?;
        let ended = match self.length {
            BodyLength::Chunked | BodyLength::UntilClose => chunk.is_none(),
            BodyLength::Absent | BodyLength::Fixed(_) => true,
        };
        if ended && let Some(connection) = self.connection.take() {
            self.return_to_pool(connection);
        }
        Ok(chunk)
    }

    async fn read_chunk(
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
            BodyLength::UntilClose => reader.read_available(deadline).await,
        }
    }

    /// Returns the connection to the pool after the body has been read.
    ///
    /// A connection with surplus bytes after the body is closed, because
    /// they belong to no response.
    fn return_to_pool(&self, connection: HttpConnection) {
        let has_surplus = connection.reader.has_surplus();
        let close_delimited = self.length == BodyLength::UntilClose;
        if self.keeps_alive && !has_surplus && !close_delimited {
            let timeout = self.idle_timeout.min(self.client.idle_timeout);
            self.client.put_idle(self.address, connection, timeout);
        }
    }

    /// Reads and discards the rest of the body and returns the connection.
    ///
    /// # Errors
    ///
    /// As [`ReplyBody::next_chunk`]; `Closed` if the connection ends with the
    /// body, `BodyTooLarge` if the rest of the body exceeds the limit.
    pub async fn into_connection(
        mut self,
        deadline: Instant,
    ) -> Result<HttpConnection, HttpFault> {
        let is_fixed = matches!(self.length, BodyLength::Fixed(_));
        let limit = self.client.limits.body_bytes;
        let mut skipped = 0;
        while let Some(chunk) = self.read_chunk(deadline).await? {
            if is_fixed {
                break;
            }
            skipped += chunk.len();
            if skipped > limit {
                return Err(HttpFault::BodyTooLarge { limit });
            }
        }
        let is_closed = self.length == BodyLength::UntilClose;
        let connection = self.connection.take().filter(|_| !is_closed);
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
        let mut body = Vec::new();
        while let Some(chunk) = self.next_chunk(deadline).await? {
            if body.is_empty() && self.connection.is_none() {
                return Ok(chunk);
            }
            if body.len() + chunk.len() > limit {
                return Err(HttpFault::BodyTooLarge { limit });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(Bytes::from(body))
    }
}
