//! HTTP/1.1 client.
//!
//! A [`Connection`] sends one request at a time and returns the parts of the response body as they
//! arrive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdyke_core::wire::BATCH_BYTES_MAX;
use futures_util::FutureExt as _;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::{AsyncReadRent, OwnedReadHalf, OwnedWriteHalf, Splitable as _};
use monoio::net::TcpStream;
use monoio_http::common::body::Body;
use monoio_http::h1::BorrowFramedRead;
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, ClientResponseDecoder, FixedBodyDecoder, PayloadDecoder,
};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, FramedPayload, Payload};

use super::budget::{Budget, Permit};
use super::chunks::TooLong;
use super::guard::{LimitedReader, ReadAllowance, check_body_length};
use super::{Error, HEAD_BYTES_MAX, Result, has_no_body};

/// Buffer size for reading a body that is delimited by the end of the connection, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Highest status of HTTP.
const STATUS_MAX: u16 = 599;

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Header fields; `content-length` and, if absent, `host` are added.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// A `POST` of `body` to `path`.
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        let headers = HeaderMap::new();
        Self {
            method: Method::POST,
            path: path.to_owned(),
            headers,
            body: body.into(),
        }
    }

    /// A `GET` of `path`.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            ..Self::post(path, Bytes::new())
        }
    }
}

type Decoder = ClientResponseDecoder<LimitedReader<OwnedReadHalf<TcpStream>>>;

/// An open connection to one peer.
pub struct Connection {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    decoder: Decoder,
    host: HeaderValue,
    /// Number of requests sent.
    requests: u64,
    /// Whether the last request was a `HEAD` request, whose response has no body.
    is_head: bool,
    allowance: ReadAllowance,
    part_bytes_max: usize,
    /// Idle timeout that the peer stated in its last `Keep-Alive` field, if any.
    keep_alive_timeout: Option<Duration>,
}

/// The head of a response and a reader for its body.
pub struct Response<'a> {
    /// The status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    body: ResponseBody<'a>,
    allowance: ReadAllowance,
    part_bytes_max: usize,
    has_length: bool,
    keeps_alive: bool,
}

/// The framing of a response body.
enum ResponseBody<'a> {
    /// There is no body.
    Absent,
    /// Delimited by its length or chunked.
    Framed(FramedPayload<&'a mut Decoder>),
    /// Delimited by the end of the connection.
    UntilClose(&'a mut Decoder),
}

impl Connection {
    /// Opens a connection to `address` within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> Result<Self> {
        Self::open_within(address, CONNECT_TIMEOUT).await
    }

    /// Opens a connection to `address` within `timeout`.
    pub async fn open_within(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = match monoio::time::timeout(timeout, connecting).await {
            Ok(stream) => stream?,
            Err(_) => return Err(Error::Timeout(timeout)),
        };
        stream.set_nodelay(true)?;
        let host = HeaderValue::from_str(&address.to_string()).map_err(Error::protocol)?;
        let (read_half, write_half) = stream.into_split();
        let (reader, allowance) = LimitedReader::new(read_half);
        Ok(Self {
            encoder: GenericEncoder::new(write_half),
            decoder: ClientResponseDecoder::new(reader),
            host,
            requests: 0,
            is_head: false,
            allowance,
            part_bytes_max: BATCH_BYTES_MAX,
            keep_alive_timeout: None,
        })
    }

    /// Charges the memory of larger response bodies to a budget, on behalf of the server at `address`.
    pub fn charge_to(&self, budget: Rc<Budget>, address: SocketAddr) {
        self.allowance.charge_to(budget, address);
    }

    /// Limits the parts of response bodies to this many bytes; a body with a length is one part.
    pub fn limit_parts(&mut self, bytes: usize) {
        self.part_bytes_max = bytes;
    }

    /// Idle timeout that the peer stated in its last response, if any.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout
    }

    /// Whether a request preceded the last one, so that a response may belong to an earlier request.
    pub fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Whether the peer has neither closed the connection nor sent unsolicited bytes.
    ///
    /// Bytes that follow a complete response would be taken for the response to the next request. Part of
    /// a head is no response yet, and a read that is dropped loses it.
    pub fn is_idle(&mut self) -> bool {
        if !self.decoder.framed_mut().read_buffer().is_empty() {
            return false;
        }
        self.allowance.set(HEAD_BYTES_MAX);
        self.decoder.next().now_or_never().is_none()
    }

    /// Sends `request`.
    pub async fn send(&mut self, request: Request) -> Result<()> {
        let payload: Payload = match request.body.is_empty() {
            true => Payload::None,
            false => Payload::Fixed(FixedPayload::new(request.body)),
        };
        let mut http_request = http::Request::new(payload);
        *http_request.method_mut() = request.method;
        *http_request.uri_mut() = request.path.parse().map_err(Error::protocol)?;
        *http_request.headers_mut() = request.headers;
        if !http_request.headers().contains_key(header::HOST) {
            http_request
                .headers_mut()
                .insert(header::HOST, self.host.clone());
        }
        if matches!(
            *http_request.method(),
            Method::POST | Method::PUT | Method::PATCH
        ) {
            // The encoder replaces the value by the actual length, also if it is zero.
            let length = HeaderValue::from_static("0");
            http_request
                .headers_mut()
                .insert(header::CONTENT_LENGTH, length);
        }
        self.is_head = http_request.method() == Method::HEAD;
        self.requests += 1;
        self.encoder
            .send_and_flush(http_request)
            .await
            .map_err(Error::protocol)
    }

    /// Receives the head of the response; skips interim responses.
    pub async fn receive_response(&mut self) -> Result<Response<'_>> {
        drop(self.allowance.end_body());
        // Covers the interim responses as well, of which there may be any number.
        self.allowance.set(HEAD_BYTES_MAX);
        let (head, decoder) = loop {
            let response = match self.decoder.next().await {
                Some(response) => response.map_err(Error::protocol)?,
                None => return Err(Error::Closed),
            };
            let (head, decoder): (_, PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>) =
                response.into_parts();
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(Error::Protocol(
                    "the peer switched protocols without a request to do so".to_owned(),
                ));
            }
            // The decoder accepts all numbers of three digits from 100 on.
            if head.status.as_u16() > STATUS_MAX {
                return Err(Error::Protocol(format!("{} is no status", head.status)));
            }
            // Interim responses (1xx) precede the final one.
            if !head.status.is_informational() {
                break (head, decoder);
            }
        };
        let length = check_body_length(&head.headers)
            .map_err(|problem| Error::Protocol(problem.to_owned()))?;
        if length.is_some_and(|length| length > self.part_bytes_max) && !self.is_head {
            return Err(body_too_large());
        }
        self.keep_alive_timeout = parse_keep_alive(&head.headers);
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        let scanned = self.decoder.framed_mut().read_buffer();
        let body_bytes_max = length.unwrap_or(self.part_bytes_max);
        if let Err(TooLong) =
            (self.allowance).begin_response(body_bytes_max, is_chunked.then_some(&scanned[..]))
        {
            return Err(Error::Protocol(
                "the size of a chunk is too long".to_owned(),
            ));
        }
        let framed = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        let body = match framed {
            _ if self.is_head || has_no_body(head.status) => ResponseBody::Absent,
            true => ResponseBody::Framed(decoder.with_io(&mut self.decoder)),
            false => ResponseBody::UntilClose(&mut self.decoder),
        };
        let keeps_alive = head.version == Version::HTTP_11
            && !matches!(body, ResponseBody::UntilClose(_))
            && !requests_close(&head.headers);
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
            allowance: self.allowance.clone(),
            part_bytes_max: self.part_bytes_max,
            has_length: length.is_some(),
            keeps_alive,
        })
    }
}

impl Response<'_> {
    /// Receives the next part of the body; none at its end.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>> {
        self.allowance.set(self.part_bytes_max);
        if self.has_length {
            self.allowance.wait_for_whole().await;
        }
        let part = match &mut self.body {
            ResponseBody::Absent => None,
            ResponseBody::Framed(payload) => payload.next_data().await,
            ResponseBody::UntilClose(decoder) => {
                let buffer = Vec::with_capacity(READ_BYTES);
                let (count, buffer) = decoder.framed_mut().read(buffer).await;
                return match count? {
                    0 => Ok(None),
                    _ => Ok(Some(buffer.into())),
                };
            }
        };
        part.transpose().map_err(Error::protocol)
    }

    /// Reads the rest of the body; an error if it is longer than a part may be.
    pub async fn read_to_end(&mut self) -> Result<Bytes> {
        let mut body = Vec::new();
        while let Some(part) = self.next_part().await? {
            if body.len() + part.len() > self.part_bytes_max {
                return Err(body_too_large());
            }
            body.extend_from_slice(&part);
        }
        Ok(body.into())
    }

    /// Reads and drops the rest of the body; false if it has more than `bytes_max` bytes or breaks off.
    pub async fn skip_to_end(&mut self, bytes_max: usize) -> bool {
        let mut skipped = 0;
        self.part_bytes_max = self.part_bytes_max.min(bytes_max);
        while let Ok(part) = self.next_part().await {
            let Some(part) = part else {
                return true;
            };
            skipped += part.len();
            if skipped > bytes_max {
                return false;
            }
        }
        false
    }

    /// Records that all parts received so far have been passed on, and take no memory any more.
    pub fn release_read(&self) {
        self.allowance.release_read();
    }

    /// The allowance of its connection, which tells whether the body waits for memory while it is read.
    pub fn allowance(&self) -> ReadAllowance {
        self.allowance.clone()
    }

    /// Ends the body; returns the permit for the memory of its parts, if they needed one.
    pub fn take_permit(&self) -> Option<Permit> {
        self.allowance.end_body()
    }

    /// Whether the end of the connection delimits the body.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.body, ResponseBody::UntilClose(_))
    }

    /// Whether the connection can be reused once the body has been read.
    pub fn keeps_alive(&self) -> bool {
        self.keeps_alive
    }
}

fn body_too_large() -> Error {
    Error::Protocol("the response body is too large".to_owned())
}

/// The timeout in a `Keep-Alive` header field.
fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn requests_close(headers: &HeaderMap) -> bool {
    let value = headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok());
    value.is_some_and(|text| text.eq_ignore_ascii_case("close"))
}
