//! The HTTP client, with a pool of keep-alive connections.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    monoio::net::TcpStream,
    tokio::sync::{Semaphore, oneshot},
};

use super::{
    HttpConnection, HttpFault, HttpReply, MessageLimits, SentRequest,
    reply::MEMORY_UNIT,
};
use crate::runtime::{InFlightCount, spawn};

/// Default maximum of idle connections for each address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Default time for which an idle connection is kept, unless the remote end
/// announces a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

struct IdleConnection {
    connection: HttpConnection,
    idle_since: Instant,
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

/// An HTTP client that keeps connections open for reuse.
///
/// Clones share one connection pool.
#[derive(Clone)]
pub struct HttpClient {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    pub(super) limits: MessageLimits,
    connect_timeout: Duration,
    max_idle: usize,
    idle_timeout: Duration,
    pub(super) accepts_close_delimited: bool,
    late_connect_timeout: Option<Duration>,
    late_connects: InFlightCount,
    /// Memory for large bodies of responses; `None` if it is not limited.
    pub(super) reply_memory: Option<Arc<Semaphore>>,
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
            late_connects: InFlightCount::new(),
            reply_memory: None,
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

    /// Limits the memory in bytes for large bodies of responses, over all
    /// connections. At least one body can be read in any case.
    pub fn with_reply_memory(mut self, bytes: usize) -> HttpClient {
        let bytes = bytes.max(self.limits.body_bytes);
        let units = bytes.div_ceil(MEMORY_UNIT);
        self.reply_memory = Some(Arc::new(Semaphore::new(units)));
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
        match self.take_open(address).await {
            Some(connection) => Ok(connection),
            None => self.connect_new(address).await,
        }
    }

    /// Returns an idle connection that is still open, if there is one.
    pub async fn take_open(
        &self,
        address: SocketAddr,
    ) -> Option<HttpConnection> {
        while let Some(mut connection) = self.take_idle(address) {
            // An idle connection that is readable was closed by the remote
            // end, or has bytes that belong to no response.
            let probe = connection.reader.wait_readable(Duration::ZERO).await;
            if matches!(probe, Err(HttpFault::TimedOut)) {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection, whether or not there is an idle one.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::connect`].
    pub async fn connect_new(
        &self,
        address: SocketAddr,
    ) -> Result<HttpConnection, HttpFault> {
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
        let late_connect = self.late_connects.start();
        spawn("late_connect", async move {
            let stream = open_stream(address, late_connect_timeout).await;
            drop(late_connect);
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

    /// Adds a connection to the pool, for at most `idle_timeout` and the
    /// client's own one.
    pub(super) fn put_idle(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        idle_timeout: Duration,
    ) {
        let idle_timeout = idle_timeout.min(self.idle_timeout);
        let mut pool = self.idle.borrow_mut();
        let list = pool.entry(address).or_default();
        let now = Instant::now();
        list.retain(|idle| idle.expires_at > now);
        if list.len() < self.max_idle {
            list.push(IdleConnection {
                connection,
                idle_since: now,
                expires_at: now + idle_timeout,
            });
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all connections that have been idle since before `time`;
    /// returns their number.
    pub fn close_idle_since(&self, time: Instant) -> usize {
        let mut pool = self.idle.borrow_mut();
        let mut closed = 0;
        for list in pool.values_mut() {
            let before = list.len();
            list.retain(|idle| idle.idle_since >= time);
            closed += before - list.len();
        }
        closed
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

    /// Begins to send a request on a connection.
    pub fn begin(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        mut request: Request<Bytes>,
    ) -> SentRequest {
        let headers = request.headers_mut();
        if !headers.contains_key(http::header::HOST) {
            let host = http::HeaderValue::from_str(&address.to_string())
                .expect("a socket address is printable");
            headers.insert(http::header::HOST, host);
        }
        SentRequest::new(self.clone(), address, connection, request)
    }

    /// Sends a request on a connection and reads the head of the response.
    ///
    /// The remote end may answer before it has read the whole request. The
    /// rest is written while the response is read.
    ///
    /// # Errors
    ///
    /// After any fault, the remote end may or may not have acted on the
    /// request.
    pub async fn send(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        request: Request<Bytes>,
        head_timeout: Duration,
    ) -> Result<HttpReply, HttpFault> {
        let sent = self.begin(address, connection, request);
        sent.next_reply(Instant::now() + head_timeout).await
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
