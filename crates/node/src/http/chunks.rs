//! The framing of a chunked body.
//!
//! The decoder reads the size of a chunk, or a trailer, from its first byte again each time more of it arrives, so that
//! its time grows with the square of the length. The [`Scanner`] follows the bytes before the decoder sees them and
//! finds those that are too long. A [`Tracker`] does so for all requests of a connection.

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

/// How a body is delimited.
#[derive(Clone, Copy, Debug)]
pub enum Delimiter {
    /// By its length in bytes.
    Length(u64),
    /// In chunks.
    Chunked,
}

/// Position in the requests of a connection, whose decoder doesn't show where a body begins.
#[derive(Debug)]
pub enum Tracker {
    /// In a head.
    Head {
        /// Whether it has begun; empty lines may precede it.
        has_begun: bool,
        /// Whether the line is empty so far.
        line_is_empty: bool,
    },
    /// After a head that the decoder has not handed out yet.
    AfterHead {
        /// Bytes that have been read beyond it.
        ahead: Vec<u8>,
    },
    /// In a body with a length.
    Body {
        /// Bytes up to its end.
        remaining: u64,
    },
    /// In a chunked body.
    Chunks(Scanner),
    /// The decoder sees a body where the tracker sees a head.
    Lost,
}

impl Default for Tracker {
    fn default() -> Self {
        Self::Head {
            has_begun: false,
            line_is_empty: true,
        }
    }
}

impl Tracker {
    /// Follows further bytes of the connection.
    pub fn follow(&mut self, mut bytes: &[u8]) -> Result<(), TooLong> {
        while let Some((first, rest)) = bytes.split_first() {
            match self {
                Self::Lost => return Ok(()),
                Self::AfterHead { ahead } => {
                    ahead.extend_from_slice(bytes);
                    return Ok(());
                }
                Self::Head {
                    has_begun,
                    line_is_empty,
                } => {
                    bytes = rest;
                    match first {
                        b'\n' if *line_is_empty && *has_begun => {
                            *self = Self::AfterHead { ahead: Vec::new() };
                        }
                        b'\n' => *line_is_empty = true,
                        b'\r' => {}
                        _ => (*has_begun, *line_is_empty) = (true, false),
                    }
                }
                Self::Body { remaining } => {
                    let length = usize::try_from(*remaining).unwrap_or(usize::MAX);
                    let count = bytes.len().min(length);
                    bytes = &bytes[count..];
                    *remaining -= count as u64;
                    if *remaining == 0 {
                        *self = Self::default();
                    }
                }
                Self::Chunks(scanner) => {
                    bytes = scanner.follow(bytes)?;
                    if matches!(scanner, Scanner::End) {
                        *self = Self::default();
                    }
                }
            }
        }
        Ok(())
    }

    /// Begins the body of the head that the decoder has handed out.
    pub fn begin_body(&mut self, delimiter: Delimiter) -> Result<(), TooLong> {
        let Self::AfterHead { ahead } = self else {
            *self = Self::Lost;
            return Ok(());
        };
        let ahead = std::mem::take(ahead);
        *self = match delimiter {
            Delimiter::Length(0) => Self::default(),
            Delimiter::Length(remaining) => Self::Body { remaining },
            Delimiter::Chunked => Self::Chunks(Scanner::default()),
        };
        self.follow(&ahead)
    }
}
