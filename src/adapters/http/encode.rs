//! Encoding of complete messages and of the heads of chunked responses.

use std::{cell::RefCell, fmt::Display, io, rc::Rc};

use {
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Response, header::CONTENT_TYPE},
    monoio::{
        BufResult,
        buf::{IoBuf, IoVecBuf},
        io::{
            AsyncWriteRent,
            sink::{Sink, SinkExt},
        },
    },
    monoio_http::{
        common::IntoParts,
        h1::{
            codec::encoder::GenericEncoder,
            payload::{FixedPayload, Payload, stream_payload_pair},
        },
    },
};

use super::{HttpFault, connection::WRITE_TIMEOUT};
use crate::error::CallError;

/// The last chunk of a chunked body.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A writer that collects the written bytes in memory.
#[derive(Clone, Default)]
pub(super) struct MemorySink {
    written: Rc<RefCell<BytesMut>>,
}

impl AsyncWriteRent for MemorySink {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        // SAFETY: `read_ptr` points to `bytes_init` initialized bytes that
        // `buf` keeps alive for the whole call.
        let bytes = unsafe {
            std::slice::from_raw_parts(buf.read_ptr(), buf.bytes_init())
        };
        self.written.borrow_mut().extend_from_slice(bytes);
        (Ok(buf.bytes_init()), buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        (Err(io::ErrorKind::Unsupported.into()), buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a complete request or response.
///
/// A large body is written from where it is, without a copy.
pub(super) async fn write_message<W, M>(
    writer: W,
    message: M,
) -> Result<(), HttpFault>
where
    M: IntoParts,
    GenericEncoder<W>: Sink<M>,
    <GenericEncoder<W> as Sink<M>>::Error: Display,
{
    let mut encoder = GenericEncoder::new(writer);
    let write = encoder.send_and_flush(message);
    match monoio::time::timeout(WRITE_TIMEOUT, write).await {
        Err(_) => Err(HttpFault::TimedOut),
        Ok(Ok(())) => Ok(()),
        Ok(Err(err)) => Err(io::Error::other(err.to_string()).into()),
    }
}

/// Encodes the head of a chunked response without any chunk.
pub(super) async fn encode_stream_head(
    head: Response<()>,
) -> io::Result<Bytes> {
    let (payload, mut sender) = stream_payload_pair();
    sender.feed_data(None);
    let message = head.map(|()| Payload::<Bytes>::Stream(payload));
    let sink = MemorySink::default();
    let mut encoder = GenericEncoder::new(sink.clone());
    let encoded = encoder.send_and_flush(message).await;
    encoded.map_err(|err| io::Error::other(err.to_string()))?;
    let mut encoded = sink.written.take().freeze();
    // The encoder ends the empty body with the last chunk. It is removed,
    // because the connection writes the chunks itself.
    encoded.truncate(encoded.len() - LAST_CHUNK.len());
    Ok(encoded)
}

/// Converts a body to the payload type of the encoder.
pub(super) fn payload_of(body: Bytes) -> Payload {
    if body.is_empty() {
        return Payload::None;
    }
    Payload::Fixed(FixedPayload::new(body))
}

/// Builds a JSON response.
pub fn json_response(
    status: u16,
    body: &serde_json::Value,
) -> Response<Bytes> {
    response(status, "application/json", body.to_string())
}

/// Builds the response for an error, with `Retry-After` in whole seconds.
pub fn error_response(error: &CallError) -> Response<Bytes> {
    let status = error.kind.response().status;
    let mut response = json_response(status, &error.to_json());
    if let Some(seconds) = error.retry_after() {
        let headers = response.headers_mut();
        headers.insert(http::header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Builds a plain text response.
pub fn text_response(status: u16, body: String) -> Response<Bytes> {
    response(status, "text/plain; charset=utf-8", body)
}

fn response(
    status: u16,
    content_type: &'static str,
    body: String,
) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body));
    // The status is a constant of this crate or was accepted by the
    // HTTP decoder, so it is within 100..=999.
    *response.status_mut() =
        http::StatusCode::from_u16(status).expect("valid status");
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
