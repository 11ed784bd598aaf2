//! The serving side of a connection.

use std::time::{Duration, Instant};

use {
    bytes::{BufMut, Bytes, BytesMut},
    http::{Response, header::CONNECTION, request},
    monoio::{io::OwnedWriteHalf, net::TcpStream},
    monoio_http::h1::codec::decoder::RequestHeadDecoder,
};

use super::{
    HttpConnection, HttpFault, MessageLimits,
    connection::{BoundedReader, body_length, write_all},
    encode::{LAST_CHUNK, encode_message, encode_stream_head, payload_of},
};

/// Bytes of a following request that are kept while one is served.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// A request that has arrived in full.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method, URI and headers.
    pub head: request::Parts,
    /// The whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// The value of a header, if it is present and printable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// The path of the URI, without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Whether the connection stays open after this request.
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
}

/// Writes the responses of one connection.
pub struct HttpResponder {
    writer: OwnedWriteHalf<TcpStream>,
    begun: bool,
    closing: bool,
}

impl HttpConnection {
    /// Splits the connection into its serving halves.
    pub fn into_server(
        self,
        limits: MessageLimits,
    ) -> (RequestReader, HttpResponder) {
        let reader = RequestReader { reader: self.reader, limits };
        let responder = HttpResponder {
            writer: self.writer,
            begun: false,
            closing: false,
        };
        (reader, responder)
    }
}

impl RequestReader {
    /// Sets the bounds of the requests that follow.
    pub fn set_limits(&mut self, limits: MessageLimits) {
        self.limits = limits;
    }

    /// Waits for the first byte of a request for up to `time`.
    ///
    /// # Errors
    ///
    /// `TimedOut` if none came, `Closed` if the caller has gone.
    pub async fn wait_request(
        &mut self,
        time: Duration,
    ) -> Result<(), HttpFault> {
        self.reader.wait_readable(time).await
    }

    /// Reads the next request, waiting for its first byte for `idle`.
    ///
    /// # Errors
    ///
    /// `Closed` or `TimedOut` between two requests end the connection
    /// without an answer. Every other fault deserves one.
    pub async fn next_request(
        &mut self,
        idle: Duration,
    ) -> Result<HttpRequest, HttpFault> {
        match self.reader.wait_readable(idle).await {
            Err(HttpFault::TimedOut) => return Err(HttpFault::Closed),
            other => other?,
        }
        let deadline = Instant::now() + self.limits.message_timeout;
        let decoder = RequestHeadDecoder;
        let head = self.reader.read_head(decoder, &self.limits, deadline);
        let head = head.await?;
        let length = body_length(&head.headers)?;
        let body = self.reader.read_body(length, &self.limits, deadline);
        let body = body.await?;
        Ok(HttpRequest { head, body })
    }

    /// Completes when the caller closes its connection.
    pub async fn wait_closed(&mut self) {
        self.reader.wait_closed(READ_AHEAD_BYTES).await
    }
}

impl HttpResponder {
    /// Whether a response has begun to leave.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Makes the responder ready for the next request.
    ///
    /// With `closing` the response announces the end of the connection, so
    /// that the caller does not send another request into it.
    pub fn reset(&mut self, closing: bool) {
        self.begun = false;
        self.closing = closing;
    }

    fn announce_close<B>(&self, response: &mut Response<B>) {
        if self.closing {
            let value = http::HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, value);
        }
    }

    /// Sends a whole response.
    pub async fn send(
        &mut self,
        mut response: Response<Bytes>,
    ) -> Result<(), HttpFault> {
        self.begun = true;
        self.announce_close(&mut response);
        let message = response.map(payload_of);
        let encoded = encode_message(message).await?;
        write_all(&mut self.writer, encoded).await
    }

    /// Sends the head of a chunked response.
    pub async fn start_stream(
        &mut self,
        head: Response<()>,
    ) -> Result<StreamWriter<'_>, HttpFault> {
        self.begin_stream(head).await?;
        Ok(StreamWriter { responder: self })
    }

    /// Sends the head of a chunked response, whose chunks follow by
    /// [`HttpResponder::send_chunk`] and [`HttpResponder::end_stream`].
    pub async fn begin_stream(
        &mut self,
        mut head: Response<()>,
    ) -> Result<(), HttpFault> {
        self.begun = true;
        self.announce_close(&mut head);
        let encoded = encode_stream_head(head).await?;
        write_all(&mut self.writer, encoded).await
    }

    /// Sends one chunk at once.
    pub async fn send_chunk(&mut self, data: &[u8]) -> Result<(), HttpFault> {
        // An empty chunk would end the body.
        if data.is_empty() {
            return Ok(());
        }
        let mut frame = BytesMut::with_capacity(data.len() + 16);
        frame.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
        frame.put_slice(data);
        frame.put_slice(b"\r\n");
        write_all(&mut self.writer, frame.freeze()).await
    }

    /// Sends the last chunk.
    pub async fn end_stream(&mut self) -> Result<(), HttpFault> {
        write_all(&mut self.writer, Bytes::from_static(LAST_CHUNK)).await
    }
}

/// Writes the chunks of one response, each flushed at once.
pub struct StreamWriter<'a> {
    responder: &'a mut HttpResponder,
}

impl StreamWriter<'_> {
    /// Sends one chunk.
    pub async fn send(&mut self, data: &[u8]) -> Result<(), HttpFault> {
        self.responder.send_chunk(data).await
    }

    /// Sends the last chunk.
    pub async fn finish(self) -> Result<(), HttpFault> {
        self.responder.end_stream().await
    }
}
