//! The compressed text of declarations.

use std::io::{Read, Write};

use {
    bytes::Bytes,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
};

/// Maximum size of a text in bytes. The store accepts no larger one.
const MAX_TEXT_BYTES: u64 = 8 * 1024 * 1024;

/// The text of declarations, compressed. Routers pass it on in this form.
///
/// # Example
///
/// ```
/// use magnoliahaven::catalog::PackedText;
///
/// let packed = PackedText::pack("{}");
/// assert_eq!(packed.unpack().as_deref(), Some("{}"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedText(Bytes);

impl PackedText {
    /// Compresses a text.
    pub fn pack(text: &str) -> PackedText {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let packed = written.and_then(|()| encoder.finish());
        PackedText(packed.expect("a vector accepts all bytes").into())
    }

    /// Wraps bytes that another router has compressed.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> PackedText {
        PackedText(bytes.into())
    }

    /// Returns the compressed bytes.
    pub fn as_bytes(&self) -> &Bytes {
        &self.0
    }

    /// Decompresses the text; returns `None` if the bytes are not a
    /// compressed text of an allowed size.
    pub fn unpack(&self) -> Option<String> {
        let mut text = String::new();
        let decoder = DeflateDecoder::new(self.0.as_ref());
        let mut bounded = decoder.take(MAX_TEXT_BYTES + 1);
        bounded.read_to_string(&mut text).ok()?;
        (text.len() as u64 <= MAX_TEXT_BYTES).then_some(text)
    }
}
