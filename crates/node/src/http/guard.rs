//! Bounds what a peer may send.
//!
//! The decoder gathers a head, a fixed body or a chunk whole in memory and sets no bound on any. A
//! [`Guard`] sits below it and fails the read once an [`Allowance`] is used up; the connection
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

/// Bytes that may still be read, shared between a connection and its [`Guard`].
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    left: Rc<Cell<usize>>,
    discards: Rc<Cell<bool>>,
}

impl Allowance {
    /// Sets what may still be read, in bytes.
    pub fn set(&self, bytes: usize) {
        self.left.set(bytes);
    }

    /// Has the reader drop up to `bytes` of what still comes, and then report the end.
    pub fn discard(&self, bytes: usize) {
        self.left.set(bytes);
        self.discards.set(true);
    }

    /// What may still be read, in bytes.
    pub fn left(&self) -> usize {
        self.left.get()
    }

    /// Whether nothing more may be read.
    pub fn is_spent(&self) -> bool {
        self.left.get() == 0
    }

    fn take(&self, bytes: usize) {
        self.left.set(self.left.get().saturating_sub(bytes));
    }
}

/// A reader that stops at its allowance.
#[derive(Debug)]
pub struct Guard<R> {
    inner: R,
    allowance: Allowance,
}

impl<R> Guard<R> {
    /// Wraps `inner`; nothing may be read until the allowance is set.
    pub fn new(inner: R) -> (Self, Allowance) {
        let allowance = Allowance::default();
        (
            Self {
                inner,
                allowance: allowance.clone(),
            },
            allowance,
        )
    }

    fn spent() -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, "more bytes than allowed")
    }
}

impl<R: AsyncReadRent> Guard<R> {
    /// Reads at most `room` bytes, within the allowance.
    async fn read_part(&mut self, room: usize) -> io::Result<Vec<u8>> {
        loop {
            let discards = self.allowance.discards.get();
            if self.allowance.is_spent() {
                return match discards {
                    true => Ok(Vec::new()),
                    false => Err(Self::spent()),
                };
            }
            let part = self.read_once(room).await?;
            if part.is_empty() || !discards {
                return Ok(part);
            }
        }
    }

    async fn read_once(&mut self, room: usize) -> io::Result<Vec<u8>> {
        let most = self.allowance.left().min(READ_BYTES_MAX);
        let (result, part) = self.inner.read(Vec::with_capacity(most.min(room))).await;
        result?;
        self.allowance.take(part.len());
        Ok(part)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for Guard<R> {
    async fn read<T: IoBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        match self.read_part(buf.bytes_total()).await {
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
pub fn check_length(headers: &HeaderMap) -> std::result::Result<Option<usize>, &'static str> {
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
