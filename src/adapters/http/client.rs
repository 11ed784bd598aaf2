//! The requesting side, with a pool of kept-alive connections.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    monoio::net::TcpStream,
    monoio_http::h1::codec::decoder::{
        ChunkedBodyDecoder, ResponseHeadDecoder,
    },
};

use super::{
    HttpConnection, HttpFault, MessageLimits,
    connection::{BodyLength, body_length, write_all},
    encode::{encode_message, payload_of},
};

/// Idle connections kept for each address.
const POOLED_PER_ADDRESS: usize = 64;

/// Longest time for which an idle connection is reused.
const POOLED_TIME: Duration = Duration::from_secs(20);

struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
}

/// An HTTP client that keeps connections alive for reuse.
///
/// Clones share one pool.
#[derive(Clone)]
pub struct HttpClient {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    limits: MessageLimits,
    connect_time: Duration,
}

impl HttpClient {
    /// Creates a client with default limits and 1 s to connect.
    pub fn new() -> HttpClient {
        HttpClient {
            idle: Rc::default(),
            limits: MessageLimits::new().with_body_bytes(64 * 1024 * 1024),
            connect_time: Duration::from_secs(1),
        }
    }

    /// Sets the longest time to wait for a connection.
    pub fn with_connect_time(mut self, time: Duration) -> HttpClient {
        self.connect_time = time;
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
        let connect = TcpStream::connect_addr(address);
        match monoio::time::timeout(self.connect_time, connect).await {
            Err(_) => Err(HttpFault::TimedOut),
            Ok(stream) => Ok(HttpConnection::new(stream?)),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut pool = self.idle.borrow_mut();
        let list = pool.get_mut(&address)?;
        let idle = list.pop()?;
        if idle.since.elapsed() > POOLED_TIME {
            list.clear();
            return None;
        }
        Some(idle.connection)
    }

    fn put_idle(&self, address: SocketAddr, connection: HttpConnection) {
        let mut pool = self.idle.borrow_mut();
        let list = pool.entry(address).or_default();
        if list.len() < POOLED_PER_ADDRESS {
            list.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Sends a request on a connection and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Any fault leaves open whether the remote end acted on the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut connection: HttpConnection,
        mut request: Request<Bytes>,
        head_time: Duration,
    ) -> Result<HttpReply, HttpFault> {
        let host = http::HeaderValue::from_str(&address.to_string())
            .expect("an address is printable");
        request.headers_mut().insert(http::header::HOST, host);
        let message = request.map(payload_of);
        let encoded = encode_message(message).await?;
        write_all(&mut connection.writer, encoded).await?;
        let deadline = Instant::now() + head_time;
        let decoder = ResponseHeadDecoder;
        let reader = &mut connection.reader;
        let head = reader.read_head(decoder, &self.limits, deadline).await?;
        let length = body_length(&head.headers)?;
        if length == BodyLength::Absent && head.status != 204 {
            let reason = "a response without a body length".to_owned();
            return Err(HttpFault::Malformed { reason });
        }
        let closes = head.headers.get(http::header::CONNECTION);
        let closes = closes.is_some_and(|value| value == "close");
        let body = ReplyBody {
            connection: Some(connection),
            keeps_alive: !closes,
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
        time: Duration,
    ) -> Result<(StatusCode, Bytes), HttpFault> {
        let deadline = Instant::now() + time;
        let connection = self.connect(address).await?;
        let reply = self.send(address, connection, request, time).await?;
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
        self.fetch(address, request, time).await
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
        self.fetch(address, request, time).await
    }
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
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
    pub async fn next_part(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let limits = &self.client.limits;
        let reader = &mut connection.reader;
        let part = match self.length {
            BodyLength::Absent | BodyLength::Fixed(0) => None,
            BodyLength::Fixed(length) => {
                Some(reader.read_fixed(length, limits, deadline).await?)
            }
            BodyLength::Chunked => {
                let decoder = &mut self.decoder;
                reader.read_chunk(decoder, limits, deadline).await?
            }
        };
        if part.is_none() || self.length != BodyLength::Chunked {
            // The borrow above proves that the connection is still here.
            let connection = self.connection.take().expect("connection");
            if self.keeps_alive {
                self.client.put_idle(self.address, connection);
            }
        }
        Ok(part)
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As [`ReplyBody::next_part`], and `BodyTooLarge`.
    pub async fn collect(
        mut self,
        deadline: Instant,
    ) -> Result<Bytes, HttpFault> {
        let limit = self.client.limits.body_bytes;
        let mut whole = Vec::new();
        while let Some(part) = self.next_part(deadline).await? {
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
