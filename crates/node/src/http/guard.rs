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
use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;

/// Bytes that may still be read, shared between a connection and its [`Guard`].
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    left: Rc<Cell<usize>>,
}

impl Allowance {
    /// Sets what may still be read, in bytes.
    pub fn set(&self, bytes: usize) {
        self.left.set(bytes);
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

impl<R: AsyncReadRent> AsyncReadRent for Guard<R> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.allowance.is_spent() {
            return (Err(Self::spent()), buf);
        }
        let (result, buf) = self.inner.read(buf).await;
        if let Ok(count) = result {
            self.allowance.take(count);
        }
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.allowance.is_spent() {
            return (Err(Self::spent()), buf);
        }
        let (result, buf) = self.inner.readv(buf).await;
        if let Ok(count) = result {
            self.allowance.take(count);
        }
        (result, buf)
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
