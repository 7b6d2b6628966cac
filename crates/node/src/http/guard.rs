//! Bounds what a peer may send.
//!
//! The decoder gathers a head, a fixed body or a chunk whole in memory and sets no bound on any. A
//! [`LimitedReader`] sits below it and fails the read once an [`ReadAllowance`] is used up; the connection
//! refills the allowance before each head and again, to the body's limit, once the head is checked.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use monoio::BufResult;
use monoio::buf::{IoBufMut, IoVecBufMut, IoVecWrapperMut};
use monoio::io::AsyncReadRent;

/// Most bytes taken in one read.
///
/// What is read beyond the end of one request waits for the next head and is not counted against
/// that head's allowance. Together they must stay below 64 KiB, where the decoder panics on the
/// length of a header name.
const READ_BYTES_MAX: usize = 16 << 10;

/// Bytes that may still be read, shared between a connection and its [`LimitedReader`].
#[derive(Clone, Debug, Default)]
pub struct ReadAllowance {
    remaining: Rc<Cell<usize>>,
    discarding: Rc<Cell<bool>>,
}

impl ReadAllowance {
    /// Sets what may still be read, in bytes.
    pub fn set(&self, bytes: usize) {
        self.remaining.set(bytes);
    }

    /// Has the reader drop up to `bytes` of what still comes, and then report the end.
    pub fn discard_up_to(&self, bytes: usize) {
        self.remaining.set(bytes);
        self.discarding.set(true);
    }

    /// What may still be read, in bytes.
    pub fn remaining(&self) -> usize {
        self.remaining.get()
    }

    /// Whether nothing more may be read.
    pub fn is_exhausted(&self) -> bool {
        self.remaining.get() == 0
    }

    fn consume(&self, bytes: usize) {
        self.remaining
            .set(self.remaining.get().saturating_sub(bytes));
    }
}

/// A reader that stops at its allowance.
#[derive(Debug)]
pub struct LimitedReader<R> {
    inner: R,
    allowance: ReadAllowance,
}

impl<R> LimitedReader<R> {
    /// Wraps `inner`; nothing may be read until the allowance is set.
    pub fn new(inner: R) -> (Self, ReadAllowance) {
        let allowance = ReadAllowance::default();
        (
            Self {
                inner,
                allowance: allowance.clone(),
            },
            allowance,
        )
    }

    fn limit_exceeded() -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, "more bytes than allowed")
    }
}

impl<R: AsyncReadRent> LimitedReader<R> {
    /// Reads at most `capacity` bytes, within the allowance.
    async fn read_within_allowance(&mut self, capacity: usize) -> io::Result<Vec<u8>> {
        loop {
            let discarding = self.allowance.discarding.get();
            if self.allowance.is_exhausted() {
                return match discarding {
                    true => Ok(Vec::new()),
                    false => Err(Self::limit_exceeded()),
                };
            }
            let part = self.read_once(capacity).await?;
            if part.is_empty() || !discarding {
                return Ok(part);
            }
        }
    }

    async fn read_once(&mut self, capacity: usize) -> io::Result<Vec<u8>> {
        let limit = self.allowance.remaining().min(READ_BYTES_MAX);
        let (result, part) = self
            .inner
            .read(Vec::with_capacity(limit.min(capacity)))
            .await;
        result?;
        self.allowance.consume(part.len());
        Ok(part)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for LimitedReader<R> {
    async fn read<T: IoBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        match self.read_within_allowance(buf.bytes_total()).await {
            Ok(part) => part.as_slice().read(buf).await,
            Err(error) => (Err(error), buf),
        }
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        match IoVecWrapperMut::new(buf) {
            Ok(slice) => {
                let (result, slice) = self.read(slice).await;
                (result, slice.into_inner())
            }
            Err(buf) => (Ok(0), buf),
        }
    }
}

/// Checks that a head gives its body one length at most, and names it.
///
/// A request with two lengths can be read differently by the next reader, which lets a caller
/// smuggle a second request in its body.
pub fn check_body_length(headers: &HeaderMap) -> std::result::Result<Option<usize>, &'static str> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    if lengths + encodings > 1 {
        return Err("more than one of content-length and transfer-encoding");
    }
    let encoding = headers.get(TRANSFER_ENCODING).map(|value| value.as_bytes());
    if encoding.is_some_and(|value| !value.eq_ignore_ascii_case(b"chunked")) {
        return Err("the transfer-encoding is not chunked");
    }
    let Some(length) = headers.get(CONTENT_LENGTH) else {
        return Ok(None);
    };
    let digits = length
        .to_str()
        .ok()
        .filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    match digits.and_then(|text| text.parse().ok()) {
        Some(length) => Ok(Some(length)),
        None => Err("content-length is not a number"),
    }
}
