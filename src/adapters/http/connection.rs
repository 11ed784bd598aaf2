//! A connection whose reads have size limits and deadlines.

use std::{
    io,
    time::{Duration, Instant},
};

use {
    bytes::{Bytes, BytesMut},
    http::{
        HeaderMap, Version,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
    monoio::{
        io::{
            AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf,
            OwnedWriteHalf, Splitable,
        },
        net::TcpStream,
    },
    monoio_codec::{Decoded, Decoder},
    monoio_http::h1::codec::decoder::DecodeError,
    snafu::Snafu,
};

use super::{
    chunked::{BodyPiece, ChunkedBody},
    frame::{FrameFault, LINE_END, LineScanner},
    socket::StreamSocket,
};
use crate::{
    memory::{MemoryLease, MemoryShortage, SMALL_REQUEST_BYTES},
    telemetry::{MessageKind, note_malformed},
};

/// Maximum size in bytes of any head. The decoder panics on a header name
/// of 64 KiB.
const MAX_HEAD_BYTES: usize = 64 * 1024 - 1;

/// Bytes that a connection reads in one turn, if they arrive without a pause.
/// Other connections and timers have their turns then.
const TURN_BYTES: usize = 128 * 1024;

/// Pause between two turns. A task that only yields would be run again before
/// any timer.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// Size in bytes of the buffer of one read.
pub(super) const READ_SIZE: usize = 16 * 1024;

/// Size in bytes of the buffer of the first read of a message, which an idle
/// connection holds.
const IDLE_READ_SIZE: usize = 4 * 1024;

/// Bytes of a body from which memory is allocated for the whole of it.
pub(super) const RESERVE_BYTES: usize = SMALL_REQUEST_BYTES;

/// Longest time to write a message to a remote end that reads slowly.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// An error of reading or writing a message.
#[derive(Debug, Snafu)]
pub enum HttpFault {
    /// The remote end closed the connection before the first byte of a
    /// message.
    #[snafu(display("connection closed"))]
    Closed,
    /// The remote end closed the connection within a message.
    #[snafu(display("connection closed inside a message"))]
    Truncated,
    /// The deadline of the message passed.
    #[snafu(display("timed out"))]
    TimedOut,
    /// The head is larger than the limit.
    #[snafu(display("head larger than {limit} bytes"))]
    HeadTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body is larger than the limit.
    #[snafu(display("body larger than {limit} bytes"))]
    BodyTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The requests of all callers hold too much memory.
    #[snafu(display("{source}"))]
    OutOfMemory {
        /// What the requests hold.
        source: MemoryShortage,
    },
    /// The bytes are not a valid message.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// What is wrong with the message.
        reason: String,
    },
    /// The socket failed.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// The error of the socket.
        source: io::Error,
    },
}

impl From<io::Error> for HttpFault {
    fn from(source: io::Error) -> HttpFault {
        HttpFault::Socket { source }
    }
}

impl From<MemoryShortage> for HttpFault {
    fn from(source: MemoryShortage) -> HttpFault {
        HttpFault::OutOfMemory { source }
    }
}

impl From<FrameFault> for HttpFault {
    fn from(fault: FrameFault) -> HttpFault {
        HttpFault::Malformed { reason: fault.to_string() }
    }
}

impl From<DecodeError> for HttpFault {
    fn from(err: DecodeError) -> HttpFault {
        HttpFault::Malformed { reason: err.to_string() }
    }
}

/// Limits on the size and the duration of one message.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// Maximum size of the head in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of the message to the last one.
    pub message_timeout: Duration,
    /// Longest time without a new byte of a body; if not set, only
    /// `message_timeout` applies.
    pub stall_timeout: Option<Duration>,
}

impl MessageLimits {
    /// Creates limits with a 16 KiB head, a 1 MiB body and 10 s.
    pub fn new() -> MessageLimits {
        MessageLimits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            message_timeout: Duration::from_secs(10),
            stall_timeout: None,
        }
    }

    /// Sets the maximum size of the body in bytes.
    pub fn with_body_bytes(mut self, bytes: usize) -> MessageLimits {
        self.body_bytes = bytes;
        self
    }

    /// Sets the longest time for a whole message.
    pub fn with_message_timeout(mut self, timeout: Duration) -> MessageLimits {
        self.message_timeout = timeout;
        self
    }
}

impl MessageLimits {
    /// Returns the time by which further bytes of a body have to arrive.
    fn read_deadline(&self, deadline: Instant) -> Instant {
        let stall_end =
            self.stall_timeout.map(|timeout| Instant::now() + timeout);
        stall_end.map_or(deadline, |stall_end| stall_end.min(deadline))
    }
}

impl Default for MessageLimits {
    fn default() -> MessageLimits {
        MessageLimits::new()
    }
}

/// How the head of a message determines the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyLength {
    /// The head gives no length.
    Absent,
    /// The body ends when the connection is closed.
    UntilClose,
    /// The length of a `Content-Length` header.
    Fixed(usize),
    /// The body has the chunked transfer encoding.
    Chunked,
}

/// The read half of a connection, with the bytes that were read ahead.
pub(super) struct BoundedReader {
    read: OwnedReadHalf<TcpStream>,
    /// The socket of `read`, which is open for as long as that lives.
    pub(super) socket: StreamSocket,
    pub(super) buffer: BytesMut,
    /// Searches the buffer for the end of a head.
    pub(super) scanner: LineScanner,
    /// Bytes read in this turn.
    turn_bytes: usize,
    /// The memory of the current request, if there is one.
    pub(super) lease: Option<MemoryLease>,
    /// Bytes of the body of the current request that have left the buffer.
    pub(super) body_bytes: usize,
    /// The most bytes that the current request may have in the end.
    pub(super) most_bytes: usize,
    /// Time for which the current request has waited for memory.
    pub(super) paused: Duration,
    /// Whether the kernel may hold more of the current request.
    pub(super) is_wide: bool,
}

/// A TCP connection that carries HTTP/1.1 messages.
pub struct HttpConnection {
    pub(super) reader: BoundedReader,
    pub(super) writer: OwnedWriteHalf<TcpStream>,
}

impl HttpConnection {
    /// Creates a connection over an open socket.
    pub fn new(stream: TcpStream) -> HttpConnection {
        // Small events must be sent without delay. A socket that refuses
        // the option still works, only slower.
        let _ = stream.set_nodelay(true);
        // Bounds the memory that the kernel uses on this VM for a slow
        // reader.
        let socket = StreamSocket::new(&stream);
        socket.limit_unsent();
        let (read, writer) = stream.into_split();
        let reader = BoundedReader {
            read,
            socket,
            buffer: BytesMut::new(),
            scanner: LineScanner::new(),
            turn_bytes: 0,
            lease: None,
            body_bytes: 0,
            most_bytes: 0,
            paused: Duration::ZERO,
            is_wide: false,
        };
        HttpConnection { reader, writer }
    }
}

impl BoundedReader {
    /// Waits for the first byte of the next message.
    ///
    /// # Errors
    ///
    /// `Closed` if the remote end closed the connection, `TimedOut` after
    /// `idle`.
    pub(super) async fn wait_readable(
        &mut self,
        idle: Duration,
    ) -> Result<(), HttpFault> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        match self.fill_with(IDLE_READ_SIZE, Instant::now() + idle).await {
            Err(HttpFault::Truncated) => Err(HttpFault::Closed),
            other => other,
        }
    }

    /// Waits until the remote end closes the connection.
    ///
    /// Bytes that arrive meanwhile are buffered. After `limit` bytes it stops
    /// reading, which bounds the memory, and the future stays pending, since
    /// a close can no longer be detected.
    pub(super) async fn wait_closed(&mut self, limit: usize) {
        loop {
            if self.buffer.len() >= limit {
                std::future::pending::<()>().await;
            }
            let chunk = BytesMut::with_capacity(READ_SIZE);
            let (read, chunk) = self.read.read(chunk).await;
            match read {
                Ok(0) | Err(_) => return,
                Ok(_) => self.buffer.extend_from_slice(&chunk),
            }
            if self.update_lease().is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    pub(super) async fn fill(
        &mut self,
        deadline: Instant,
    ) -> Result<(), HttpFault> {
        self.fill_with(READ_SIZE, deadline).await
    }

    /// Reads up to `size` bytes into the buffer.
    async fn fill_with(
        &mut self,
        size: usize,
        deadline: Instant,
    ) -> Result<(), HttpFault> {
        // The time of a pause is not that of the remote end.
        let deadline = deadline + self.paused;
        let wait = deadline.saturating_duration_since(Instant::now());
        let chunk = BytesMut::with_capacity(size);
        let read = monoio::time::timeout(wait, self.read.read(chunk));
        let read = match &self.lease {
            None => read.await,
            Some(lease) => monoio::select! {
                biased;
                shortage = lease.wait_evicted() => return Err(shortage.into()),
                read = read => read,
            },
        };
        let Ok((read, chunk)) = read else {
            return Err(HttpFault::TimedOut);
        };
        if read? == 0 {
            return Err(HttpFault::Truncated);
        }
        self.turn_bytes += chunk.len();
        if self.buffer.is_empty() {
            self.buffer = chunk;
        } else {
            self.buffer.extend_from_slice(&chunk);
        }
        if !self.update_lease()? {
            self.wait_memory().await?;
        }
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            monoio::time::sleep(TURN_PAUSE).await;
        }
        Ok(())
    }

    /// Reads the head of a message.
    pub(super) async fn read_head<D>(
        &mut self,
        mut decoder: D,
        limits: &MessageLimits,
        deadline: Instant,
    ) -> Result<D::Item, HttpFault>
    where
        D: Decoder<Error = DecodeError>,
    {
        let limit = limits.head_bytes.min(MAX_HEAD_BYTES);
        let end = loop {
            let end = self.scanner.find_head(&self.buffer)?;
            // The empty line at the end, and the end of the line before it,
            // do not count.
            let head_bytes = end.map_or(self.buffer.len(), |end| {
                end.saturating_sub(2 * LINE_END.len())
            });
            if head_bytes > limit {
                return Err(HttpFault::HeadTooLarge { limit });
            }
            if let Some(end) = end {
                break end;
            }
            self.fill(deadline).await?;
        };
        // The decoder looks for the end of the head itself. It gets no byte
        // behind the one that was found, and has to take all before it.
        let mut head = self.buffer.split_to(end);
        match decoder.decode(&mut head)? {
            Decoded::Some(decoded) if head.is_empty() => Ok(decoded),
            _ => {
                let reason = "incomplete head".to_owned();
                Err(HttpFault::Malformed { reason })
            }
        }
    }

    /// Reads a body of known length.
    pub(super) async fn read_fixed(
        &mut self,
        length: usize,
        limits: &MessageLimits,
        deadline: Instant,
    ) -> Result<Bytes, HttpFault> {
        if length > limits.body_bytes {
            let limit = limits.body_bytes;
            return Err(HttpFault::BodyTooLarge { limit });
        }
        self.most_bytes = length.saturating_add(READ_SIZE);
        while self.buffer.len() < length {
            // Growing by doubling would hold up to twice the body. A body of
            // which little has arrived, or that waits for memory, takes
            // little.
            if self.buffer.len() > RESERVE_BYTES || length <= RESERVE_BYTES {
                self.buffer.reserve(length - self.buffer.len());
                self.widen_unread();
            }
            self.fill(limits.read_deadline(deadline)).await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Reads the next chunk of a chunked body, or several small ones joined;
    /// returns `None` after the last one.
    ///
    /// After `BodyTooLarge` it can be called again with a higher limit.
    pub(super) async fn read_chunk(
        &mut self,
        body: &mut ChunkedBody,
        limits: &MessageLimits,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        loop {
            match body.decode(&mut self.buffer)? {
                BodyPiece::Data(chunk) => return Ok(Some(chunk)),
                BodyPiece::End => return Ok(None),
                BodyPiece::Incomplete => {}
            }
            let most_bytes = limits.body_bytes.saturating_add(LINE_END.len());
            if body.awaits_data() && self.buffer.len() > most_bytes {
                let limit = limits.body_bytes;
                return Err(HttpFault::BodyTooLarge { limit });
            }
            self.fill(limits.read_deadline(deadline)).await?;
        }
    }

    /// Reads the available bytes of a body that ends with the connection;
    /// returns `None` at its end.
    pub(super) async fn read_available(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, HttpFault> {
        if self.buffer.is_empty() {
            match self.fill(deadline).await {
                Err(HttpFault::Truncated) => return Ok(None),
                other => other?,
            }
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    /// Returns whether bytes after the last message have been read.
    pub(super) fn has_surplus(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads a whole body.
    pub(super) async fn read_body(
        &mut self,
        length: BodyLength,
        limits: &MessageLimits,
        deadline: Instant,
    ) -> Result<Bytes, HttpFault> {
        match length {
            BodyLength::Absent | BodyLength::UntilClose => {
                return Ok(Bytes::new());
            }
            BodyLength::Fixed(length) => {
                return self.read_fixed(length, limits, deadline).await;
            }
            BodyLength::Chunked => {}
        }
        self.most_bytes = limits.body_bytes.saturating_add(READ_SIZE);
        let mut decoder = ChunkedBody::new();
        let mut body = BytesMut::new();
        loop {
            let chunk = self.read_chunk(&mut decoder, limits, deadline);
            let Some(chunk) = chunk.await? else {
                return Ok(body.freeze());
            };
            if body.len() + chunk.len() > limits.body_bytes {
                let limit = limits.body_bytes;
                return Err(HttpFault::BodyTooLarge { limit });
            }
            body.extend_from_slice(&chunk);
            self.body_bytes = body.len();
            self.widen_unread();
            if chunk.len() >= RESERVE_BYTES {
                // The buffer shares the memory of the chunk.
                self.buffer = BytesMut::from(&self.buffer[..]);
            }
        }
    }
}

/// Logs and counts a fault if the bytes were not a valid message.
pub(super) fn note_if_malformed(kind: MessageKind, fault: &HttpFault) {
    if let HttpFault::Malformed { reason } = fault {
        note_malformed(kind, reason);
    }
}

/// Determines from the headers how the length of a body is given.
///
/// # Errors
///
/// `Malformed` if the length is given twice or in two ways, or by chunks in a
/// version that has none. Two implementations could then disagree on the end
/// of the message, which allows request smuggling.
pub(super) fn body_length(
    version: Version,
    headers: &HeaderMap,
) -> Result<BodyLength, HttpFault> {
    let malformed =
        |reason: &str| Err(HttpFault::Malformed { reason: reason.to_owned() });
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() {
        return malformed("two Content-Length headers");
    }
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let encoding = encodings.next();
    if encodings.next().is_some() {
        return malformed("two Transfer-Encoding headers");
    }
    match (length, encoding) {
        (Some(_), Some(_)) => {
            malformed("Content-Length beside Transfer-Encoding")
        }
        (None, None) => Ok(BodyLength::Absent),
        (None, Some(value)) => {
            if !value.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return malformed("unsupported Transfer-Encoding");
            }
            if version < Version::HTTP_11 {
                return malformed("Transfer-Encoding in HTTP/1.0");
            }
            Ok(BodyLength::Chunked)
        }
        (Some(value), None) => {
            let digits = value.as_bytes();
            let decimal = digits.iter().all(u8::is_ascii_digit);
            let parsed = value.to_str().ok().and_then(|s| s.parse().ok());
            match parsed {
                Some(length) if decimal => Ok(BodyLength::Fixed(length)),
                _ => malformed("invalid Content-Length"),
            }
        }
    }
}

/// Writes all bytes to a connection within [`WRITE_TIMEOUT`].
pub(super) async fn write_all(
    writer: &mut OwnedWriteHalf<TcpStream>,
    bytes: Bytes,
) -> Result<(), HttpFault> {
    let write = writer.write_all(bytes);
    match monoio::time::timeout(WRITE_TIMEOUT, write).await {
        Err(_) => Err(HttpFault::TimedOut),
        Ok((written, _)) => {
            written?;
            writer.flush().await?;
            Ok(())
        }
    }
}
