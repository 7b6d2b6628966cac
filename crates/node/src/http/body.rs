//! The body of a request.
//!
//! The library's decoder keeps each chunk of a body as an item of its own until the body is complete, so that a byte in a
//! small chunk takes some fifty times its size. A [`Body`] joins the chunks as they arrive: what it holds is the capacity
//! of one buffer.

use super::HEAD_BYTES_MAX;

/// Most bytes of the line with the size of a chunk, with its extensions.
const SIZE_LINE_BYTES_MAX: usize = 256;

/// Capacity that a chunked body begins with.
const FIRST_CAPACITY: usize = 4 << 10;

/// Result of decoding a body.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Its framing is invalid.
    Malformed,
    /// It is longer than its limit.
    TooLarge,
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug)]
pub enum Delimiter {
    /// By its length in bytes.
    Length(usize),
    /// In chunks.
    Chunked,
}

/// A body that is being received.
#[derive(Debug)]
pub struct Body {
    bytes: Vec<u8>,
    bytes_max: usize,
    position: Position,
}

/// Position in the framing of a body.
#[derive(Clone, Copy, Debug)]
enum Position {
    /// Before the end of a body with a length, or of the data of a chunk.
    Data { remaining: usize, is_chunk: bool },
    /// In the line with the size of a chunk.
    Size(SizeLine),
    /// Before the end of the line after the data of a chunk.
    DataEnd { after_return: bool },
    /// After the last chunk, up to an empty line.
    Trailers { bytes: usize, line: TrailerLine },
    /// After the body.
    End,
}

/// Position in the line with the size of a chunk.
#[derive(Clone, Copy, Debug, Default)]
struct SizeLine {
    bytes: usize,
    digits: usize,
    size: usize,
    /// Whether the digits have ended.
    in_extension: bool,
    after_return: bool,
}

/// Position in a line of the trailers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrailerLine {
    Empty,
    EmptyAfterReturn,
    Begun,
}

impl Body {
    /// A body of at most `bytes_max` bytes.
    pub fn new(delimiter: Delimiter, bytes_max: usize) -> Self {
        let position = match delimiter {
            Delimiter::Length(0) => Position::End,
            Delimiter::Length(remaining) => Position::Data {
                remaining,
                is_chunk: false,
            },
            Delimiter::Chunked => Position::Size(SizeLine::default()),
        };
        Self {
            bytes: Vec::new(),
            bytes_max,
            position,
        }
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.position, Position::End)
    }

    /// Bytes that may be decoded before the body needs more [capacity](Self::next_capacity); 0 if it needs more now.
    pub fn spare(&self) -> usize {
        let spare = self.bytes.capacity() - self.bytes.len();
        match self.position {
            Position::Data {
                remaining,
                is_chunk: false,
            } => spare.min(remaining),
            // Of the framing alone there may be more.
            _ if self.bytes.capacity() >= self.bytes_max => usize::MAX,
            _ => spare,
        }
    }

    /// Bytes of memory that it takes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// The capacity that the body needs next: all of a body with a length, twice as much of a chunked one.
    pub fn next_capacity(&self) -> usize {
        match self.position {
            Position::Data {
                remaining,
                is_chunk: false,
            } => self.bytes.len() + remaining,
            _ => (self.bytes.capacity() * 2)
                .max(FIRST_CAPACITY)
                .min(self.bytes_max),
        }
    }

    /// Takes the memory for `capacity` bytes.
    pub fn grow(&mut self, capacity: usize) {
        let additional = capacity.saturating_sub(self.bytes.len());
        self.bytes.reserve_exact(additional);
    }

    /// Decodes further bytes; returns those that come after the body.
    pub fn decode<'a>(&mut self, mut bytes: &'a [u8]) -> Result<&'a [u8]> {
        while let Some((&first, rest)) = bytes.split_first() {
            if let Position::Data {
                remaining,
                is_chunk,
            } = self.position
            {
                let (data, after) = bytes.split_at(bytes.len().min(remaining));
                if self.bytes.len() + data.len() > self.bytes_max {
                    return Err(Error::TooLarge);
                }
                self.bytes.extend_from_slice(data);
                bytes = after;
                self.position = match (remaining - data.len(), is_chunk) {
                    (0, false) => Position::End,
                    (0, true) => Position::DataEnd {
                        after_return: false,
                    },
                    (remaining, _) => Position::Data {
                        remaining,
                        is_chunk,
                    },
                };
                continue;
            }
            self.position = match self.position {
                Position::End => break,
                Position::Size(line) => self.decode_size(line, first)?,
                Position::DataEnd { after_return } => match (after_return, first) {
                    (false, b'\r') => Position::DataEnd { after_return: true },
                    (true, b'\n') => Position::Size(SizeLine::default()),
                    _ => return Err(Error::Malformed),
                },
                Position::Trailers { bytes, line } => {
                    if bytes == HEAD_BYTES_MAX {
                        return Err(Error::Malformed);
                    }
                    let line = match (line, first) {
                        (TrailerLine::EmptyAfterReturn, b'\n') => None,
                        (TrailerLine::Empty, b'\r') => Some(TrailerLine::EmptyAfterReturn),
                        (TrailerLine::Begun, b'\n') => Some(TrailerLine::Empty),
                        (TrailerLine::EmptyAfterReturn, _) => return Err(Error::Malformed),
                        _ => Some(TrailerLine::Begun),
                    };
                    let bytes = bytes + 1;
                    line.map_or(Position::End, |line| Position::Trailers { bytes, line })
                }
                Position::Data { .. } => self.position,
            };
            bytes = rest;
        }
        Ok(bytes)
    }

    /// Decodes a byte of the line with the size of a chunk.
    fn decode_size(&self, mut line: SizeLine, byte: u8) -> Result<Position> {
        line.bytes += 1;
        if line.bytes > SIZE_LINE_BYTES_MAX {
            return Err(Error::Malformed);
        }
        match (char::from(byte).to_digit(16), byte) {
            (_, b'\n') if line.after_return => {
                return match line.size {
                    0 => Ok(Position::Trailers {
                        bytes: 0,
                        line: TrailerLine::Empty,
                    }),
                    size if size > self.bytes_max - self.bytes.len() => Err(Error::TooLarge),
                    remaining => Ok(Position::Data {
                        remaining,
                        is_chunk: true,
                    }),
                };
            }
            _ if line.after_return => return Err(Error::Malformed),
            (_, b'\r') if line.digits > 0 => line.after_return = true,
            (Some(digit), _) if !line.in_extension => {
                line.digits += 1;
                line.size = (line.size.checked_mul(16))
                    .and_then(|size| size.checked_add(digit as usize))
                    .filter(|size| isize::try_from(*size).is_ok())
                    .ok_or(Error::Malformed)?;
            }
            (_, b';') if line.digits > 0 => line.in_extension = true,
            // Bytes that a recipient could take for the end of the line.
            (_, b'\n' | b'\0') => return Err(Error::Malformed),
            _ if line.in_extension => {}
            _ => return Err(Error::Malformed),
        }
        Ok(Position::Size(line))
    }

    /// The bytes of a complete body.
    pub fn into_bytes(self) -> bytes::Bytes {
        self.bytes.into()
    }
}
