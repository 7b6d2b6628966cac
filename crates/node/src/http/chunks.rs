//! The framing of a chunked response.
//!
//! The decoder reads the size of a chunk, or a trailer, from its first byte again each time more of it arrives, so that
//! its time grows with the square of the length. The [`Scanner`] follows the bytes before the decoder sees them and
//! finds those that are too long.

use super::HEAD_BYTES_MAX;

/// Most bytes of the line with the size of a chunk, with its extensions.
const SIZE_LINE_BYTES_MAX: usize = 256;

/// Position in a chunked body.
#[derive(Clone, Copy, Debug)]
pub enum Scanner {
    /// In the line with the size of a chunk.
    Size {
        /// Bytes of the line so far.
        line_bytes: usize,
        /// The size that the digits so far give.
        size: u64,
        /// Whether the digits have ended.
        is_known: bool,
    },
    /// In the data of a chunk, or the end of line after it.
    Data {
        /// Bytes up to the next chunk.
        remaining: u64,
    },
    /// After the last chunk, up to an empty line.
    Trailers {
        /// Bytes so far.
        bytes: usize,
        /// Whether the line is empty so far.
        line_is_empty: bool,
    },
    /// After the body.
    End,
}

/// The framing of a chunked body is too long.
#[derive(Debug)]
pub struct TooLong;

impl Default for Scanner {
    fn default() -> Self {
        Self::Size {
            line_bytes: 0,
            size: 0,
            is_known: false,
        }
    }
}

impl Scanner {
    /// Follows further bytes; returns those that come after the body.
    pub fn follow<'a>(&mut self, mut bytes: &'a [u8]) -> Result<&'a [u8], TooLong> {
        while let Some((first, rest)) = bytes.split_first() {
            match self {
                Self::End => break,
                Self::Data { remaining } => {
                    let length = usize::try_from(*remaining).unwrap_or(usize::MAX);
                    let count = bytes.len().min(length);
                    bytes = &bytes[count..];
                    *remaining -= count as u64;
                    if *remaining == 0 {
                        *self = Self::default();
                    }
                }
                Self::Trailers {
                    bytes: count,
                    line_is_empty,
                } => {
                    bytes = rest;
                    *count += 1;
                    match first {
                        _ if *count > HEAD_BYTES_MAX => return Err(TooLong),
                        b'\n' if *line_is_empty => *self = Self::End,
                        b'\n' => *line_is_empty = true,
                        b'\r' => {}
                        _ => *line_is_empty = false,
                    }
                }
                Self::Size {
                    line_bytes,
                    size,
                    is_known,
                } => {
                    bytes = rest;
                    *line_bytes += 1;
                    if *line_bytes > SIZE_LINE_BYTES_MAX {
                        return Err(TooLong);
                    }
                    match (char::from(*first).to_digit(16), first) {
                        (_, b'\n') if *size == 0 => {
                            *self = Self::Trailers {
                                bytes: 0,
                                line_is_empty: true,
                            };
                        }
                        (_, b'\n') => {
                            // The data ends with an end of line of its own.
                            let remaining = size.saturating_add(2);
                            *self = Self::Data { remaining };
                        }
                        (Some(digit), _) if !*is_known => {
                            *size = size.saturating_mul(16).saturating_add(digit.into());
                        }
                        _ => *is_known = true,
                    }
                }
            }
        }
        Ok(bytes)
    }
}
