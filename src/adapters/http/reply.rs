//! Requests that have been sent, and their responses.
//!
//! A connection passes through three types: an [`HttpConnection`] carries no
//! request, a [`SentRequest`] waits for the head of a response, and an
//! [`HttpReply`] has a body to be read. Only a connection whose request was
//! written to its end and whose response was read to its end becomes an
//! [`HttpConnection`] again. On any other the remote end may take the bytes
//! of the next request for the rest of this one.

use std::{
    future::Future,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::Arc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Request, StatusCode, response},
    monoio::{io::OwnedWriteHalf, net::TcpStream},
    monoio_http::h1::{codec::decoder::ResponseHeadDecoder, payload::Payload},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

use super::{
    HttpClient, HttpConnection, HttpFault, MessageLimits,
    chunked::ChunkedBody,
    connection::{
        BodyLength, BoundedReader, READ_SIZE, body_length, note_if_malformed,
    },
    encode::{payload_of, write_message},
};
use crate::{domain::MAX_TIME, telemetry::MessageKind};

/// Percentage by which the idle timeout announced by the remote end is
/// shortened. Near the end of that timeout the remote end may close the
/// connection at any moment.
const IDLE_MARGIN_PERCENT: u32 = 25;

/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 8;

/// The largest status code of HTTP.
const MAX_STATUS: u16 = 599;

/// Longest time between the end of a connection and a reset behind it.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Maximum size in bytes of a body for which no memory is reserved.
const SMALL_REPLY_BYTES: usize = 64 * 1024;

/// Bytes of memory that one permit stands for.
pub(super) const MEMORY_UNIT: usize = 1024;

/// A write in progress, which returns the write half at its end.
type PendingWrite = Pin<
    Box<dyn Future<Output = Result<OwnedWriteHalf<TcpStream>, HttpFault>>>,
>;

/// How far a request has been written.
enum RequestWrite {
    Writing(PendingWrite),
    Written(OwnedWriteHalf<TcpStream>),
    Failed,
}

impl RequestWrite {
    fn new(
        mut writer: OwnedWriteHalf<TcpStream>,
        request: Request<Payload>,
    ) -> RequestWrite {
        RequestWrite::Writing(Box::pin(async move {
            write_message(&mut writer, request).await?;
            Ok(writer)
        }))
    }

    /// Waits for `read` and continues the write meanwhile.
    ///
    /// Even if the write fails, the remote end may have sent a response
    /// before it stopped reading.
    async fn run_beside<T>(&mut self, read: impl Future<Output = T>) -> T {
        let mut read = pin!(read);
        loop {
            let RequestWrite::Writing(write) = self else {
                return read.await;
            };
            monoio::select! {
                written = write.as_mut() => *self = match written {
                    Ok(writer) => RequestWrite::Written(writer),
                    Err(_) => RequestWrite::Failed,
                },
                output = &mut read => return output,
            }
        }
    }

    /// Waits until the write ends; returns whether all was written.
    async fn finish(&mut self) -> bool {
        if let RequestWrite::Writing(write) = self {
            *self = match write.await {
                Ok(writer) => RequestWrite::Written(writer),
                Err(_) => RequestWrite::Failed,
            };
        }
        matches!(self, RequestWrite::Written(_))
    }
}

/// A connection on which a request was sent, or is being sent, and which
/// waits for the head of a response.
pub struct SentRequest {
    client: HttpClient,
    address: SocketAddr,
    reader: BoundedReader,
    write: RequestWrite,
    /// Whether the remote end closes the connection after a response.
    closes: bool,
    /// Whether the remote end may respond before it has read the request,
    /// although all of it was written.
    has_long_body: bool,
    /// Whether a response ends with its head.
    is_head_only: bool,
}

impl SentRequest {
    /// Begins to write a request. The write continues while a
    /// response is awaited or read.
    pub(super) fn new(
        client: HttpClient,
        address: SocketAddr,
        connection: HttpConnection,
        request: Request<Bytes>,
    ) -> SentRequest {
        let HttpConnection { reader, writer } = connection;
        let has_long_body = request.body().len() > READ_SIZE;
        let is_head_only = request.method() == Method::HEAD;
        let write = RequestWrite::new(writer, request.map(payload_of));
        SentRequest {
            client,
            address,
            reader,
            write,
            closes: false,
            has_long_body,
            is_head_only,
        }
    }

    /// Reads the head of the next response. Interim responses before it are
    /// skipped.
    ///
    /// # Errors
    ///
    /// After any fault, the remote end may or may not have acted on the
    /// request.
    pub async fn next_reply(
        self,
        deadline: Instant,
    ) -> Result<HttpReply, HttpFault> {
        let reply = self.read_reply(deadline).await;
        reply.inspect_err(|fault| {
            note_if_malformed(MessageKind::Answer, fault);
        })
    }

    async fn read_reply(
        mut self,
        deadline: Instant,
    ) -> Result<HttpReply, HttpFault> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let limits = &self.client.limits;
            let head =
                self.reader.read_head(ResponseHeadDecoder, limits, deadline);
            let head = self.write.run_beside(head).await?;
            check_status(head.status)?;
            if !head.status.is_informational() {
                return self.into_reply(head);
            }
        }
        let reason = "too many interim responses".to_owned();
        Err(HttpFault::Malformed { reason })
    }

    fn into_reply(
        mut self,
        head: response::Parts,
    ) -> Result<HttpReply, HttpFault> {
        let mut length = body_length(head.version, &head.headers)?;
        let has_body = !self.is_head_only && has_body(head.status);
        if !has_body {
            // The headers give the length that a body would have.
            length = BodyLength::Absent;
        }
        if length == BodyLength::Absent && has_body {
            if !self.client.accepts_close_delimited {
                let reason = "a response without a body length".to_owned();
                return Err(HttpFault::Malformed { reason });
            }
            length = BodyLength::UntilClose;
        }
        let closes = head.headers.get(http::header::CONNECTION);
        let closes = closes.is_some_and(|v| has_close_option(v.as_bytes()));
        self.closes |= closes || length == BodyLength::UntilClose;
        let body = ReplyBody {
            idle_timeout: announced_idle_timeout(&head.headers),
            decoder: ChunkedBody::new(),
            length,
            limits: self.client.limits,
            reply_memory: self.client.reply_memory.clone(),
            memory: None,
            may_be_unread: self.has_long_body
                || !matches!(self.write, RequestWrite::Written(_)),
            state: BodyState::Open(Box::new(self)),
        };
        Ok(HttpReply { status: head.status, headers: head.headers, body })
    }

    /// Checks that a body which ended with its connection is whole.
    ///
    /// A socket reports a reset once. If the write of the request has met it,
    /// the read finds an ordinary end of the connection. If the request may
    /// not have been read, a reset may also follow just behind the end.
    ///
    /// # Errors
    ///
    /// `Truncated` if the connection was reset, `TimedOut` if the request was
    /// not written by `deadline`.
    async fn check_close(
        &mut self,
        may_be_unread: bool,
        deadline: Instant,
    ) -> Result<(), HttpFault> {
        let wait = deadline.saturating_duration_since(Instant::now());
        let is_written =
            monoio::time::timeout(wait, self.write.finish()).await;
        let is_written = is_written.map_err(|_| HttpFault::TimedOut)?;
        if may_be_unread {
            monoio::time::sleep(RESET_DELAY).await;
        }
        if is_written && !self.reader.socket.has_error() {
            return Ok(());
        }
        Err(HttpFault::Truncated)
    }

    /// Returns the connection to the pool if it can carry another request.
    ///
    /// Surplus bytes after a response belong to no request.
    fn into_pool(mut self, idle_timeout: Duration) {
        let RequestWrite::Written(writer) = self.write else {
            return;
        };
        if self.closes || self.reader.has_surplus() {
            return;
        }
        self.reader.release_buffer();
        let connection = HttpConnection { reader: self.reader, writer };
        self.client.put_idle(self.address, connection, idle_timeout);
    }
}

/// Checks that a status is one of HTTP, and that the connection goes on with
/// HTTP behind it.
fn check_status(status: StatusCode) -> Result<(), HttpFault> {
    let switches = status == StatusCode::SWITCHING_PROTOCOLS;
    if status.as_u16() <= MAX_STATUS && !switches {
        return Ok(());
    }
    let reason = format!("a response with status {}", status.as_u16());
    Err(HttpFault::Malformed { reason })
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
/// margin; the longest one if there is no such header.
fn announced_idle_timeout(headers: &HeaderMap) -> Duration {
    let announced = announced_seconds(headers);
    let timeout = announced.map_or(MAX_TIME, Duration::from_secs);
    timeout.min(MAX_TIME) * (100 - IDLE_MARGIN_PERCENT) / 100
}

/// Returns the seconds that a `Keep-Alive` header announces.
fn announced_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut options = value.split(',');
    options.find_map(|option| {
        let seconds = option.trim().strip_prefix("timeout=")?;
        seconds.parse().ok()
    })
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

impl HttpReply {
    /// Discards the response, which belongs to another request, and returns
    /// to the wait for that of this one.
    ///
    /// # Errors
    ///
    /// As [`ReplyBody::next_chunk`]; `Closed` if the connection ends with the
    /// body, `BodyTooLarge` if the body exceeds the limit.
    pub async fn skip(
        self,
        deadline: Instant,
    ) -> Result<SentRequest, HttpFault> {
        self.body.skip(deadline).await
    }
}

/// How far a body has been read.
enum BodyState {
    /// Its end was not read yet.
    Open(Box<SentRequest>),
    /// It was read to its end.
    Ended,
    /// Its connection has failed. A further read of the connection could
    /// find an ordinary end.
    Broken,
}

impl BodyState {
    /// Removes the connection of an open body; the body is `next` then.
    fn take(&mut self, next: BodyState) -> Option<SentRequest> {
        match std::mem::replace(self, next) {
            BodyState::Open(sent) => Some(*sent),
            BodyState::Ended | BodyState::Broken => None,
        }
    }
}

/// A response body that is read on demand, so that a slow consumer causes
/// backpressure on the remote end instead of filling memory.
pub struct ReplyBody {
    state: BodyState,
    idle_timeout: Duration,
    decoder: ChunkedBody,
    length: BodyLength,
    limits: MessageLimits,
    reply_memory: Option<Arc<Semaphore>>,
    /// The memory that is reserved for the body, if it is large.
    memory: Option<OwnedSemaphorePermit>,
    /// Whether the response may have begun before the request was read.
    may_be_unread: bool,
}

impl ReplyBody {
    /// Reads the next chunk of the body; returns `None` at its end.
    ///
    /// A body of known length is returned as one chunk. After the end of the
    /// body the connection returns to the pool if it can carry another
    /// request; if the body is dropped before, the connection is closed.
    ///
    /// # Errors
    ///
    /// `TimedOut` after `deadline`, `Truncated` if the body is incomplete.
    /// After any fault but `TimedOut` each further read fails too.
    pub async fn next_chunk(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        let chunk = match self.read_reserved(deadline).await {
            Err(HttpFault::TimedOut) => return Err(HttpFault::TimedOut),
            Err(fault) => {
                note_if_malformed(MessageKind::Answer, &fault);
                self.state = BodyState::Broken;
                return Err(fault);
            }
            Ok(chunk) => chunk,
        };
        let ended = self.is_single_chunk() || chunk.is_none();
        if ended && let Some(sent) = self.state.take(BodyState::Ended) {
            sent.into_pool(self.idle_timeout);
        }
        Ok(chunk)
    }

    /// Returns whether the body has an end other than that of its connection.
    pub fn is_delimited(&self) -> bool {
        self.length != BodyLength::UntilClose
    }

    /// Returns whether the body is read as one chunk.
    fn is_single_chunk(&self) -> bool {
        matches!(self.length, BodyLength::Absent | BodyLength::Fixed(_))
    }

    async fn read_chunk(
        &mut self,
        limits: &MessageLimits,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        let sent = match &mut self.state {
            BodyState::Open(sent) => sent,
            BodyState::Ended => return Ok(None),
            BodyState::Broken => return Err(HttpFault::Truncated),
        };
        let SentRequest { reader, write, .. } = sent.as_mut();
        match self.length {
            BodyLength::Absent | BodyLength::Fixed(0) => Ok(None),
            BodyLength::Fixed(length) => {
                let body = reader.read_fixed(length, limits, deadline);
                write.run_beside(body).await.map(Some)
            }
            BodyLength::Chunked => {
                let decoder = &mut self.decoder;
                let chunk = reader.read_chunk(decoder, limits, deadline);
                write.run_beside(chunk).await
            }
            BodyLength::UntilClose => {
                let chunk = reader.read_available(deadline);
                let chunk = write.run_beside(chunk).await?;
                if chunk.is_none() {
                    sent.check_close(self.may_be_unread, deadline).await?;
                }
                Ok(chunk)
            }
        }
    }

    /// Reads the next chunk, and reserves memory for a large one first.
    async fn read_reserved(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        let limits = self.limits;
        let limit = limits.body_bytes;
        if let BodyLength::Fixed(length) = self.length {
            self.hold(length.min(limit), deadline).await?;
            return self.read_chunk(&limits, deadline).await;
        }
        let mut small_limits = limits;
        if self.memory.is_none() && self.reply_memory.is_some() {
            small_limits.body_bytes = limit.min(SMALL_REPLY_BYTES);
        }
        match self.read_chunk(&small_limits, deadline).await {
            Err(HttpFault::BodyTooLarge { limit: small }) if small < limit => {
                self.hold(limit, deadline).await?;
                self.read_chunk(&limits, deadline).await
            }
            chunk => chunk,
        }
    }

    /// Reserves memory for a reader that holds `bytes` bytes of the body; it
    /// is reserved until this value is dropped.
    ///
    /// Small bodies need none. The whole of a large one is reserved at once,
    /// so that every body with memory can be read to its end. Other large
    /// bodies wait in order meanwhile.
    ///
    /// # Errors
    ///
    /// `TimedOut` if none becomes free before `deadline`.
    pub async fn hold(
        &mut self,
        bytes: usize,
        deadline: Instant,
    ) -> Result<(), HttpFault> {
        let Some(reply_memory) = &self.reply_memory else {
            return Ok(());
        };
        if bytes <= SMALL_REPLY_BYTES || self.memory.is_some() {
            return Ok(());
        }
        let whole = match self.length {
            BodyLength::Fixed(length) => length,
            _ => self.limits.body_bytes,
        };
        let units = whole.min(self.limits.body_bytes).div_ceil(MEMORY_UNIT);
        let permit = reply_memory.clone().acquire_many_owned(units as u32);
        let wait = deadline.saturating_duration_since(Instant::now());
        let permit = monoio::time::timeout(wait, permit).await;
        let permit = permit.map_err(|_| HttpFault::TimedOut)?;
        // The semaphore is never closed.
        self.memory = permit.ok();
        Ok(())
    }

    /// Reads the body to its end and returns the connection.
    async fn skip(
        mut self,
        deadline: Instant,
    ) -> Result<SentRequest, HttpFault> {
        let is_delimited = self.is_delimited();
        let mut skipped = 0;
        while let Some(chunk) = self.read_reserved(deadline).await? {
            if self.is_single_chunk() {
                break;
            }
            skipped += chunk.len();
            let limit = self.limits.body_bytes;
            if skipped > limit {
                return Err(HttpFault::BodyTooLarge { limit });
            }
        }
        let sent = self.state.take(BodyState::Ended);
        let sent = sent.filter(|_| is_delimited);
        sent.ok_or(HttpFault::Closed)
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
        let limit = self.limits.body_bytes;
        let mut body = Vec::new();
        while let Some(chunk) = self.next_chunk(deadline).await? {
            let has_ended = matches!(self.state, BodyState::Ended);
            if body.is_empty() && has_ended {
                return Ok(chunk);
            }
            if body.len() + chunk.len() > limit {
                return Err(HttpFault::BodyTooLarge { limit });
            }
            self.hold(body.len() + chunk.len(), deadline).await?;
            body.extend_from_slice(&chunk);
        }
        Ok(Bytes::from(body))
    }
}
