//! Where the parts of a message end.
//!
//! Heads, the lines with the sizes of chunks and trailers are cut here, and
//! nowhere else. Their parsers get exactly the bytes of one part, so that no
//! two places can have different ideas of its end. For the same reason each
//! line has to end with a carriage return and a line feed: parsers that
//! accept a bare line feed find ends where others find none, which allows
//! request smuggling.

use {memchr::memchr, snafu::Snafu};

/// The end of a line.
pub(super) const LINE_END: &[u8] = b"\r\n";

/// Maximum number of trailers of a body.
const MAX_TRAILERS: usize = 64;

/// Why bytes are not a part of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(super) enum FrameFault {
    /// A line ends with a line feed alone.
    #[snafu(display("a line feed without a carriage return"))]
    BareLineFeed,
    /// The line with the size of a chunk is too long.
    #[snafu(display("the size of a chunk does not end"))]
    EndlessSize,
    /// The line that should hold the size of a chunk holds none.
    #[snafu(display("a chunk without a size"))]
    MissingSize,
    /// The size of a chunk is not a hexadecimal number in range, or something
    /// other than an extension follows it.
    #[snafu(display("an invalid size of a chunk"))]
    InvalidSize,
    /// The chunk does not end where its size says.
    #[snafu(display("a chunk longer than its size"))]
    OverlongChunk,
    /// The extensions of the chunks are much longer than the body.
    #[snafu(display("too many extensions of chunks"))]
    ExcessiveExtensions,
    /// The trailers are too long, or not valid header lines.
    #[snafu(display("invalid trailers"))]
    InvalidTrailers,
}

/// Searches the start of a buffer for the end of a line, or of a block of
/// lines that an empty one ends.
///
/// The buffer may grow between two calls. No byte is searched twice.
#[derive(Debug, Default)]
pub(super) struct LineScanner {
    /// Where the first line begins that is not complete.
    line_start: usize,
    /// Bytes at the start of the buffer that hold no further end of a line.
    searched: usize,
}

impl LineScanner {
    /// Creates a scanner of a buffer of which nothing was searched.
    pub(super) fn new() -> LineScanner {
        LineScanner::default()
    }

    /// Returns where the next line ends, behind its line feed; `None` if the
    /// buffer does not hold the whole line.
    fn next_line(
        &mut self,
        buffer: &[u8],
    ) -> Result<Option<usize>, FrameFault> {
        let Some(offset) = memchr(b'\n', &buffer[self.searched..]) else {
            self.searched = buffer.len();
            return Ok(None);
        };
        let end = self.searched + offset + 1;
        if !buffer[self.line_start..end].ends_with(LINE_END) {
            return Err(FrameFault::BareLineFeed);
        }
        self.line_start = end;
        self.searched = end;
        Ok(Some(end))
    }

    /// Returns the length of the line at the start of the buffer, with its
    /// end; `None` if the buffer does not hold all of it.
    ///
    /// The scanner is ready for the next part afterwards.
    pub(super) fn find_line(
        &mut self,
        buffer: &[u8],
    ) -> Result<Option<usize>, FrameFault> {
        let end = self.next_line(buffer)?;
        if end.is_some() {
            *self = LineScanner::new();
        }
        Ok(end)
    }

    /// Returns the length of the block of lines at the start of the buffer,
    /// with the empty line that ends it; `None` if the buffer does not hold
    /// all of it.
    ///
    /// The scanner is ready for the next part afterwards.
    pub(super) fn find_block(
        &mut self,
        buffer: &[u8],
    ) -> Result<Option<usize>, FrameFault> {
        loop {
            let start = self.line_start;
            let Some(end) = self.next_line(buffer)? else {
                return Ok(None);
            };
            if end - start == LINE_END.len() {
                *self = LineScanner::new();
                return Ok(Some(end));
            }
        }
    }

    /// Like [`LineScanner::find_block`] for a head. An empty line before it
    /// is a part of it.
    pub(super) fn find_head(
        &mut self,
        buffer: &[u8],
    ) -> Result<Option<usize>, FrameFault> {
        if self.line_start == 0 && buffer.starts_with(LINE_END) {
            self.next_line(buffer)?;
        }
        self.find_block(buffer)
    }
}

/// Parses the line with the size of a chunk, without its end.
///
/// Returns the size and the length of the extensions behind it, which are
/// ignored.
pub(super) fn parse_chunk_size(
    line: &[u8],
) -> Result<(usize, usize), FrameFault> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let (digits, extensions) = line.split_at(digits.count());
    if digits.is_empty() {
        return Err(FrameFault::MissingSize);
    }
    let is_blank = |byte: &u8| matches!(byte, b' ' | b'\t');
    let first = extensions.iter().find(|byte| !is_blank(byte));
    let has_control = extensions
        .iter()
        .any(|byte| byte.is_ascii_control() && *byte != b'\t');
    let is_valid = extensions.is_empty() || first == Some(&b';');
    if has_control || !is_valid {
        return Err(FrameFault::InvalidSize);
    }
    let digits =
        str::from_utf8(digits).map_err(|_| FrameFault::InvalidSize)?;
    let size = usize::from_str_radix(digits, 16);
    let size = size.map_err(|_| FrameFault::InvalidSize)?;
    Ok((size, extensions.len()))
}

/// Checks that a block of lines holds valid header lines, and nothing behind
/// its end.
pub(super) fn check_trailers(block: &[u8]) -> Result<(), FrameFault> {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_TRAILERS];
    match httparse::parse_headers(block, &mut trailers) {
        Ok(httparse::Status::Complete((end, _))) if end == block.len() => {
            Ok(())
        }
        _ => Err(FrameFault::InvalidTrailers),
    }
}
