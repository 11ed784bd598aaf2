//! The server side of a connection.

use std::time::{Duration, Instant};

use {
    bytes::{BufMut, Bytes, BytesMut},
    http::{Method, Response, header::CONNECTION, request},
    monoio::{
        io::{AsyncWriteRent, OwnedWriteHalf},
        net::TcpStream,
    },
    monoio_http::h1::codec::decoder::RequestHeadDecoder,
};

use super::{
    HttpConnection, HttpFault, MessageLimits, RECEIVE_BUFFER_BYTES,
    connection::{BoundedReader, body_length, note_if_malformed, write_all},
    encode::{LAST_CHUNK, encode_stream_head, payload_of, write_message},
};
use crate::{memory::MemoryPool, telemetry::MessageKind};

/// Longest time for which the rest of a refused request is read.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of refused requests whose rest is read at the same time.
const MAX_DRAINS: usize = 64;

/// Maximum number of bytes of a refused request that are read and dropped.
const MAX_DRAIN_BYTES: usize = 32 * 1024 * 1024;

/// Maximum number of bytes of the next request that are buffered while one is
/// served.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// A request that has been received completely.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method, URI and headers.
    pub head: request::Parts,
    /// The whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the value of a header if it is present and is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the path of the URI without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns whether the connection stays open after this request.
    pub fn keeps_alive(&self) -> bool {
        let closes = self.header("connection");
        let closes = closes.is_some_and(|v| v.eq_ignore_ascii_case("close"));
        self.head.version == http::Version::HTTP_11 && !closes
    }
}

/// Reads the requests of one connection.
pub struct RequestReader {
    reader: BoundedReader,
    limits: MessageLimits,
    memory: MemoryPool,
}

/// Writes the responses of one connection.
pub struct HttpResponder {
    writer: OwnedWriteHalf<TcpStream>,
    has_begun: bool,
    closing: bool,
    /// Whether the response ends with its head.
    is_head_only: bool,
}

impl HttpConnection {
    /// Splits the connection into a reader of requests, which take their
    /// memory from `memory`, and a writer of responses.
    pub fn into_server(
        self,
        limits: MessageLimits,
        memory: MemoryPool,
    ) -> (RequestReader, HttpResponder) {
        self.reader.socket.limit_unread(RECEIVE_BUFFER_BYTES);
        let reader = RequestReader { reader: self.reader, limits, memory };
        let responder = HttpResponder {
            writer: self.writer,
            has_begun: false,
            closing: false,
            is_head_only: false,
        };
        (reader, responder)
    }
}

impl RequestReader {
    /// Sets the limits of the following requests.
    pub fn set_limits(&mut self, limits: MessageLimits) {
        self.limits = limits;
    }

    /// Waits up to `timeout` for the first byte of a request.
    ///
    /// # Errors
    ///
    /// `TimedOut` if no byte arrived, `Closed` if the caller closed the
    /// connection.
    pub async fn wait_request(
        &mut self,
        timeout: Duration,
    ) -> Result<(), HttpFault> {
        self.reader.wait_readable(timeout).await
    }

    /// Reads the next request, and waits up to `idle` for its first byte.
    ///
    /// The request holds its memory until [`RequestReader::end_request`].
    ///
    /// # Errors
    ///
    /// `Closed` if the connection was closed or stayed idle between two
    /// requests, in which case no answer is due. All other faults concern a
    /// request that has begun to arrive; what was read of it is dropped.
    pub async fn next_request(
        &mut self,
        idle: Duration,
    ) -> Result<HttpRequest, HttpFault> {
        match self.reader.wait_readable(idle).await {
            Err(HttpFault::TimedOut) => return Err(HttpFault::Closed),
            other => other?,
        }
        let request = self.read_request().await;
        if let Err(fault) = &request {
            note_if_malformed(MessageKind::Request, fault);
            self.reader.discard();
        }
        request
    }

    async fn read_request(&mut self) -> Result<HttpRequest, HttpFault> {
        self.reader.begin_lease(self.memory.open())?;
        let deadline = Instant::now() + self.limits.message_timeout;
        let decoder = RequestHeadDecoder;
        let head = self.reader.read_head(decoder, &self.limits, deadline);
        let head = head.await?;
        let length = body_length(head.version, &head.headers)?;
        let body = self.reader.read_body(length, &self.limits, deadline);
        let body = body.await?;
        self.reader.body_bytes = body.len();
        self.reader.finish_lease()?;
        Ok(HttpRequest { head, body })
    }

    /// Frees the memory of a request that is over.
    pub fn end_request(&mut self) {
        self.reader.end_lease();
        self.reader.narrow_unread();
    }

    /// Ends a connection whose last request was refused before it had arrived
    /// in full.
    ///
    /// The rest of the request is read and dropped, for a limited time. A
    /// connection that is closed with unread bytes is reset, and a reset may
    /// reach the caller before it has read the refusal.
    pub async fn end_connection(&mut self, responder: &mut HttpResponder) {
        // The caller may be gone already.
        let _ = responder.writer.shutdown().await;
        let drains = &self.memory.drains;
        if drains.get() >= MAX_DRAINS {
            return;
        }
        let _drain = drains.start();
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        self.reader.drain(MAX_DRAIN_BYTES, deadline).await;
    }

    /// Waits until the caller closes its connection.
    pub async fn wait_closed(&mut self) {
        self.reader.wait_closed(MAX_READ_AHEAD_BYTES).await
    }
}

impl HttpResponder {
    /// Returns whether the sending of a response has begun.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Prepares the responder for the response to a request.
    ///
    /// The response to a `HEAD` request is sent without a body, which the
    /// caller would take for its next response.
    pub fn begin(&mut self, request: &HttpRequest, closing: bool) {
        self.is_head_only = request.head.method == Method::HEAD;
        self.reset(closing);
    }

    /// Prepares the responder for another response to the same request.
    ///
    /// With `closing` the response has the header `Connection: close`, so
    /// that the caller does not send another request on the connection.
    pub fn reset(&mut self, closing: bool) {
        self.has_begun = false;
        self.closing = closing;
    }

    fn announce_close<B>(&self, response: &mut Response<B>) {
        if self.closing {
            let value = http::HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, value);
        }
    }

    /// Sends a complete response.
    pub async fn send(
        &mut self,
        mut response: Response<Bytes>,
    ) -> Result<(), HttpFault> {
        self.has_begun = true;
        self.announce_close(&mut response);
        if self.is_head_only {
            response.body_mut().clear();
        }
        let message = response.map(payload_of);
        write_message(&mut self.writer, message).await
    }

    /// Sends the head of a chunked response, and returns a writer for its
    /// chunks.
    pub async fn start_stream(
        &mut self,
        head: Response<()>,
    ) -> Result<StreamWriter<'_>, HttpFault> {
        self.begin_stream(head).await?;
        Ok(StreamWriter { responder: self })
    }

    /// Sends the head of a chunked response. The chunks are then sent with
    /// [`HttpResponder::send_chunk`] and [`HttpResponder::end_stream`].
    pub async fn begin_stream(
        &mut self,
        mut head: Response<()>,
    ) -> Result<(), HttpFault> {
        self.has_begun = true;
        self.announce_close(&mut head);
        let encoded = encode_stream_head(head).await?;
        write_all(&mut self.writer, encoded).await
    }

    /// Sends one chunk without delay.
    pub async fn send_chunk(&mut self, data: &[u8]) -> Result<(), HttpFault> {
        // A chunk of length 0 would end the body.
        if data.is_empty() || self.is_head_only {
            return Ok(());
        }
        let mut frame = BytesMut::with_capacity(data.len() + 16);
        frame.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
        frame.put_slice(data);
        frame.put_slice(b"\r\n");
        write_all(&mut self.writer, frame.freeze()).await
    }

    /// Sends the last chunk, which ends the body.
    pub async fn end_stream(&mut self) -> Result<(), HttpFault> {
        if self.is_head_only {
            return Ok(());
        }
        write_all(&mut self.writer, Bytes::from_static(LAST_CHUNK)).await
    }
}

/// Writes the chunks of one response and flushes each of them.
pub struct StreamWriter<'a> {
    responder: &'a mut HttpResponder,
}

impl StreamWriter<'_> {
    /// Sends one chunk.
    pub async fn send(&mut self, data: &[u8]) -> Result<(), HttpFault> {
        self.responder.send_chunk(data).await
    }

    /// Sends the last chunk, which ends the body.
    pub async fn finish(self) -> Result<(), HttpFault> {
        self.responder.end_stream().await
    }
}
