//! Decoding of chunked bodies in bounded work and memory.

use bytes::{Buf, Bytes, BytesMut};

use super::frame::{
    FrameFault, LINE_END, LineScanner, check_trailers, parse_chunk_size,
};

/// Maximum number of bytes of the line with the size of a chunk.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Maximum number of bytes by which the extensions of the chunks may exceed
/// the chunks.
const MAX_EXTENSION_BYTES: usize = 16 * 1024;

/// Maximum number of bytes of the trailers behind the last chunk.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

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

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug)]
enum ChunkState {
    /// The line with the size of a chunk.
    Size,
    /// The bytes of a chunk, and the end of a line.
    Data {
        /// Size of the chunk in bytes.
        size: usize,
    },
    /// The trailers and the empty line behind them.
    Trailers,
    /// Nothing: the body has ended.
    Ended,
    /// Nothing: the bytes are not a chunked body.
    Failed(FrameFault),
}

/// Decodes a chunked body.
///
/// Small chunks are joined, so that the cost of a body depends on its bytes
/// rather than on the number of its chunks. Extensions of chunks and trailers
/// are checked and dropped.
pub(super) struct ChunkedBody {
    state: ChunkState,
    scanner: LineScanner,
    /// Bytes by which the extensions exceed the chunks so far.
    extension_bytes: usize,
}

impl ChunkedBody {
    /// Creates the decoder of a body of which nothing was read.
    pub(super) fn new() -> ChunkedBody {
        ChunkedBody {
            state: ChunkState::Size,
            scanner: LineScanner::new(),
            extension_bytes: 0,
        }
    }

    /// Returns whether the next bytes are those of a chunk. They are buffered
    /// until the chunk is whole, whatever size it declares.
    pub(super) fn awaits_data(&self) -> bool {
        matches!(self.state, ChunkState::Data { .. })
    }

    /// Decodes the chunks at the start of the buffer.
    ///
    /// # Errors
    ///
    /// A [`FrameFault`] if the bytes are no chunk. Chunks before them are
    /// returned first.
    pub(super) fn decode(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<BodyPiece, FrameFault> {
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
    ) -> Result<BodyPiece, FrameFault> {
        let piece = self.decode_next(buffer);
        if let Err(fault) = piece {
            self.state = ChunkState::Failed(fault);
        }
        piece
    }

    fn decode_next(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<BodyPiece, FrameFault> {
        loop {
            let is_complete = match self.state {
                ChunkState::Size => self.read_size(buffer)?,
                ChunkState::Data { size } => {
                    let chunk = self.read_data(buffer, size)?;
                    return Ok(
                        chunk.map_or(BodyPiece::Incomplete, BodyPiece::Data)
                    );
                }
                ChunkState::Trailers => self.read_trailers(buffer)?,
                ChunkState::Ended => return Ok(BodyPiece::End),
                ChunkState::Failed(fault) => return Err(fault),
            };
            if !is_complete {
                return Ok(BodyPiece::Incomplete);
            }
        }
    }

    /// Removes the line with the size of the next chunk; returns `false` if
    /// it is not complete.
    fn read_size(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<bool, FrameFault> {
        let end = self.scanner.find_line(buffer)?;
        if end.unwrap_or(buffer.len()) > MAX_SIZE_LINE_BYTES {
            return Err(FrameFault::EndlessSize);
        }
        let Some(end) = end else {
            return Ok(false);
        };
        let line = buffer.split_to(end);
        let line = &line[..end - LINE_END.len()];
        let (size, extension_bytes) = parse_chunk_size(line)?;
        self.extension_bytes += extension_bytes;
        self.extension_bytes = self.extension_bytes.saturating_sub(size);
        if self.extension_bytes > MAX_EXTENSION_BYTES {
            return Err(FrameFault::ExcessiveExtensions);
        }
        self.state = match size {
            0 => ChunkState::Trailers,
            _ => ChunkState::Data { size },
        };
        Ok(true)
    }

    /// Removes a chunk with the end of its line; returns `None` if it is not
    /// complete.
    fn read_data(
        &mut self,
        buffer: &mut BytesMut,
        size: usize,
    ) -> Result<Option<Bytes>, FrameFault> {
        let Some(behind) = buffer.get(size..) else {
            return Ok(None);
        };
        let line_end = &behind[..behind.len().min(LINE_END.len())];
        if !LINE_END.starts_with(line_end) {
            return Err(FrameFault::OverlongChunk);
        }
        if line_end.len() < LINE_END.len() {
            return Ok(None);
        }
        let chunk = buffer.split_to(size).freeze();
        buffer.advance(LINE_END.len());
        self.state = ChunkState::Size;
        Ok(Some(chunk))
    }

    /// Removes the trailers; returns `false` if they are not complete.
    fn read_trailers(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<bool, FrameFault> {
        let end = self.scanner.find_block(buffer)?;
        if end.unwrap_or(buffer.len()) > MAX_TRAILER_BYTES {
            return Err(FrameFault::InvalidTrailers);
        }
        let Some(end) = end else {
            return Ok(false);
        };
        check_trailers(&buffer.split_to(end))?;
        self.state = ChunkState::Ended;
        Ok(true)
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
