//! Limits the size of what a peer may send.
//!
//! The decoder buffers a complete head, fixed-length body or chunk in memory without a limit. A
//! [`LimitedReader`] below it fails the read once a [`ReadAllowance`] is used up. The connection
//! sets the allowance before each head and, once the head is checked, again to the limit of the
//! body. The reader also waits for the memory of a large body, see [`super::budget`].

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use monoio::BufResult;
use monoio::buf::{IoBufMut, IoVecBufMut, IoVecWrapperMut};
use monoio::io::AsyncReadRent;

use super::budget::{Budget, Permit, SMALL_BODY_BYTES};
use super::chunks::{Scanner, TooLong};

/// Maximum size of a read, in bytes.
///
/// Bytes read beyond the end of a request belong to the next head but are not counted against its
/// allowance. This limit and the limit of a head must add up to less than 64 KiB, because the
/// decoder panics on a header name of that length.
const READ_BYTES_MAX: usize = 16 << 10;

/// Number of bytes that may still be read, shared by a connection and its [`LimitedReader`].
#[derive(Clone, Debug, Default)]
pub struct ReadAllowance {
    remaining: Rc<Cell<usize>>,
    discarding: Rc<Cell<bool>>,
    body: Rc<RefCell<BodyState>>,
}

/// The body that is being read, if any.
#[derive(Debug, Default)]
struct BodyState {
    /// Budget for the body, and the peer that sends it.
    budget: Option<(Rc<Budget>, SocketAddr)>,
    /// Bytes that may be read without a permit.
    free_bytes: usize,
    /// Bytes of the permit that is needed beyond that; 0 if none is.
    permit_bytes: usize,
    permit: Option<Permit>,
    /// Whether the body waits for a permit.
    waits: bool,
    /// Follows a chunked response.
    scanner: Option<Scanner>,
}

impl BodyState {
    fn begin(&mut self, bytes_max: usize) {
        self.free_bytes = SMALL_BODY_BYTES;
        self.permit_bytes = bytes_max;
        self.permit = None;
        self.waits = false;
    }
}

impl ReadAllowance {
    /// Sets the number of bytes that may still be read.
    pub fn set(&self, bytes: usize) {
        self.remaining.set(bytes);
    }

    /// Charges the bodies of the connection to `peer` to a budget.
    pub fn charge_to(&self, budget: Rc<Budget>, peer: SocketAddr) {
        self.body.borrow_mut().budget = Some((budget, peer));
    }

    /// Begins to read the body of a response, of at most `bytes_max` bytes. `scanned` are bytes of a chunked body that
    /// have been read with the head; an error if its framing is too long already.
    pub fn begin_response(&self, bytes_max: usize, scanned: Option<&[u8]>) -> Result<(), TooLong> {
        let mut body = self.body.borrow_mut();
        body.begin(bytes_max);
        body.scanner = scanned.map(|_| Scanner::default());
        if let (Some(scanner), Some(scanned)) = (&mut body.scanner, scanned) {
            scanner.follow(scanned)?;
        }
        Ok(())
    }

    /// Records that what was read of the body has been passed on.
    pub fn release_read(&self) {
        let mut body = self.body.borrow_mut();
        body.free_bytes = SMALL_BODY_BYTES;
        body.permit = None;
    }

    /// Ends the body; returns the permit for its memory, if it needed one.
    pub fn end_body(&self) -> Option<Permit> {
        let mut body = self.body.borrow_mut();
        body.permit_bytes = 0;
        body.scanner = None;
        body.permit.take()
    }

    /// Waits until all of the body may be kept in memory: the decoder takes the memory for a body with a length
    /// before it reads it.
    pub async fn wait_for_whole(&self) {
        {
            let mut body = self.body.borrow_mut();
            if body.permit_bytes > SMALL_BODY_BYTES {
                body.free_bytes = 0;
            }
        }
        self.wait_for_memory().await;
    }

    /// Whether the body waits for memory of this process.
    pub fn waits_for_memory(&self) -> bool {
        self.body.borrow().waits
    }

    /// Waits until more of the body may be kept in memory.
    async fn wait_for_memory(&self) {
        let (budget, peer, bytes) = {
            let body = self.body.borrow();
            let Some((budget, peer)) = &body.budget else {
                return;
            };
            if body.permit_bytes == 0 || body.free_bytes > 0 || body.permit.is_some() {
                return;
            }
            (budget.clone(), *peer, body.permit_bytes)
        };
        self.body.borrow_mut().waits = true;
        let permit = budget.acquire(peer, bytes).await;
        let mut body = self.body.borrow_mut();
        (body.permit, body.waits) = (Some(permit), false);
    }

    /// Follows the framing of chunked bodies.
    fn follow_framing(&self, bytes: &[u8]) -> Result<(), TooLong> {
        let mut body = self.body.borrow_mut();
        body.free_bytes = body.free_bytes.saturating_sub(bytes.len());
        if let Some(scanner) = &mut body.scanner {
            scanner.follow(bytes)?;
        }
        Ok(())
    }

    /// Makes the reader discard up to `bytes` bytes and then report the end of the stream.
    pub fn discard_up_to(&self, bytes: usize) {
        self.remaining.set(bytes);
        self.discarding.set(true);
    }

    /// Number of bytes that may still be read.
    pub fn remaining(&self) -> usize {
        self.remaining.get()
    }

    /// Whether no more bytes may be read.
    pub fn is_exhausted(&self) -> bool {
        self.remaining.get() == 0
    }

    fn consume(&self, bytes: usize) {
        self.remaining
            .set(self.remaining.get().saturating_sub(bytes));
    }
}

/// A reader that fails once its allowance is used up.
#[derive(Debug)]
pub struct LimitedReader<R> {
    inner: R,
    allowance: ReadAllowance,
}

impl<R> LimitedReader<R> {
    /// Wraps `inner`, with an allowance of zero.
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
        io::Error::new(
            io::ErrorKind::InvalidData,
            "the peer sent more bytes than allowed",
        )
    }
}

impl<R: AsyncReadRent> LimitedReader<R> {
    /// Reads at most `capacity` bytes, within the allowance; none at the end of the stream.
    pub async fn read_within_allowance(&mut self, capacity: usize) -> io::Result<Vec<u8>> {
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
        if !self.allowance.discarding.get() {
            self.allowance.wait_for_memory().await;
        }
        let limit = self.allowance.remaining().min(READ_BYTES_MAX);
        let (result, part) = self
            .inner
            .read(Vec::with_capacity(limit.min(capacity)))
            .await;
        result?;
        self.allowance.consume(part.len());
        match self.allowance.follow_framing(&part) {
            Ok(()) => Ok(part),
            Err(TooLong) => Err(Self::limit_exceeded()),
        }
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

/// Checks that a head states the length of its body at most once, and returns the `content-length`.
///
/// Two HTTP implementations may disagree on the end of a request with two lengths, which allows
/// request smuggling.
pub fn check_body_length(headers: &HeaderMap) -> std::result::Result<Option<usize>, &'static str> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    if lengths + encodings > 1 {
        return Err("more than one of content-length and transfer-encoding");
    }
    let encoding = headers.get(TRANSFER_ENCODING).map(|value| value.as_bytes());
    if encoding.is_some_and(|value| !value.eq_ignore_ascii_case(b"chunked")) {
        return Err("the only supported transfer-encoding is chunked");
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
        None => Err("content-length is not a valid number"),
    }
}
