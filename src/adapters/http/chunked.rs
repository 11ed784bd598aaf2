//! Decoding of chunked bodies in bounded work and memory.

use {
    bytes::{Bytes, BytesMut},
    monoio_codec::{Decoded, Decoder},
    monoio_http::h1::codec::decoder::ChunkedBodyDecoder,
};

use super::HttpFault;

/// Maximum number of bytes of the line with the size of a chunk.
const MAX_SIZE_LINE_BYTES: usize = 32;

/// Size in bytes from which chunks are returned without being joined with
/// those that follow.
const JOIN_BYTES: usize = 16 * 1024;

/// What was decoded of a chunked body.
#[derive(Debug)]
pub(super) enum BodyPiece {
    /// One chunk, or several small ones joined.
    Data(Bytes),
    /// The end of the body.
    End,
    /// Nothing; more bytes are needed.
    Incomplete,
}

/// Decodes a chunked body.
///
/// Small chunks are joined, so that the cost of a body depends on its bytes
/// rather than on the number of its chunks.
pub(super) struct ChunkedBody {
    decoder: ChunkedBodyDecoder,
    /// Whether the size of the next chunk has not been decoded.
    awaits_size: bool,
    has_ended: bool,
}

impl ChunkedBody {
    /// Creates the decoder of a body of which nothing was read.
    pub(super) fn new() -> ChunkedBody {
        ChunkedBody {
            decoder: ChunkedBodyDecoder::default(),
            awaits_size: true,
            has_ended: false,
        }
    }

    /// Decodes the chunks at the start of the buffer.
    ///
    /// # Errors
    ///
    /// `Malformed` if the bytes are no chunk. Chunks before them are returned
    /// first.
    pub(super) fn decode(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<BodyPiece, HttpFault> {
        let mut joined = JoinedChunks::default();
        while joined.len() < JOIN_BYTES {
            match self.decode_chunk(buffer) {
                Ok(BodyPiece::Data(chunk)) => joined.push(chunk),
                Ok(BodyPiece::End) if joined.is_empty() => {
                    return Ok(BodyPiece::End);
                }
                Err(fault) if joined.is_empty() => return Err(fault),
                Ok(BodyPiece::End | BodyPiece::Incomplete) | Err(_) => break,
            }
        }
        let joined = joined.into_bytes();
        Ok(joined.map_or(BodyPiece::Incomplete, BodyPiece::Data))
    }

    /// Decodes one chunk. The end and a fault are returned again by each
    /// further call.
    fn decode_chunk(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<BodyPiece, HttpFault> {
        if self.has_ended {
            return Ok(BodyPiece::End);
        }
        let before = buffer.len();
        match self.decoder.decode(buffer)? {
            Decoded::Some(Some(chunk)) => {
                self.awaits_size = true;
                return Ok(BodyPiece::Data(chunk));
            }
            Decoded::Some(None) => {
                self.has_ended = true;
                return Ok(BodyPiece::End);
            }
            _ => {}
        }
        // The decoder removes the size as soon as its line is complete.
        self.awaits_size &= buffer.len() == before;
        if self.awaits_size && buffer.len() > MAX_SIZE_LINE_BYTES {
            let reason = "the size of a chunk does not end".to_owned();
            return Err(HttpFault::Malformed { reason });
        }
        Ok(BodyPiece::Incomplete)
    }
}

/// Chunks that are returned as one. The first one is copied only if others
/// follow.
#[derive(Default)]
struct JoinedChunks {
    first: Option<Bytes>,
    rest: BytesMut,
}

impl JoinedChunks {
    fn len(&self) -> usize {
        self.first.as_ref().map_or(0, Bytes::len) + self.rest.len()
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn push(&mut self, chunk: Bytes) {
        if self.is_empty() {
            self.first = Some(chunk);
            return;
        }
        if let Some(first) = self.first.take() {
            self.rest.extend_from_slice(&first);
        }
        self.rest.extend_from_slice(&chunk);
    }

    fn into_bytes(self) -> Option<Bytes> {
        let rest = Some(self.rest.freeze()).filter(|rest| !rest.is_empty());
        self.first.or(rest)
    }
}
