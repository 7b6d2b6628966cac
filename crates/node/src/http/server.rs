//! HTTP/1.1 server.
//!
//! A connection reads one complete request at a time, within size and time limits, and passes it
//! with a [`Responder`] to the [`Handler`]. The handler sends a complete or a streamed response
//! through the responder, from any task of the thread. An invalid request is rejected with a 4xx
//! status, and the connection is closed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use futures_util::{FutureExt, StreamExt};
use http::header::{CONNECTION, EXPECT, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, Version};
use monoio::io::stream::Stream as _;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::error::HttpError;
use monoio_http::common::request::RequestHead;
use monoio_http::h1::FramedRead;
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, DirectWrapper, FixedBodyDecoder, GenericHeadDecoder, PayloadDecoder,
    RequestHeadDecoder,
};

use super::body::{self, Body, Delimiter};
use super::budget::{Budget, SMALL_BODY_BYTES};
use super::guard::{LimitedReader, ReadAllowance, check_body_length};
use super::respond::{Exchange, OpenResponse, ResponsePart, requests_close};
use super::write::Framing;
use super::{HEAD_BYTES_MAX, has_no_body, write};

pub use super::respond::{Group, Responder, Unwritten};

/// Maximum number of bytes to read and discard after a rejected request.
const DRAIN_BYTES_MAX: usize = 256 << 10;

/// Maximum time for which input is discarded after a rejected request.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Most bytes that are read for each byte that a body may have: a chunk of one byte has six.
const FRAMING_FACTOR_MAX: usize = 16;

/// Limits of a port.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Time limit for receiving a head, for receiving a body, and between requests.
    pub idle_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
    /// Whether a request is cancelled when the peer closes its sending side.
    ///
    /// Processes of this system never half-close, so a close means that the peer is gone. Callers
    /// may half-close, so they count as gone only when a write fails.
    pub cancel_on_close: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            idle_timeout: Duration::from_secs(30),
            body_bytes_max: 1 << 20,
            cancel_on_close: false,
        }
    }
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// Header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Address of the sender.
    pub peer: SocketAddr,
}

/// Handles the requests of a port.
pub type Handler = Rc<dyn Fn(Request, Responder)>;

/// Returns the maximum body size for a request with these header fields, in bytes.
pub type BodyLimit = Rc<dyn Fn(&HeaderMap) -> usize>;

/// Accepts connections on `listener` until the runtime ends.
pub async fn serve(listener: TcpListener, options: Options, handler: Handler) {
    let body_limit = fixed_body_limit(options);
    serve_counted(listener, options, body_limit, None, Rc::default(), handler).await;
}

/// A limit that is the same for all bodies.
pub fn fixed_body_limit(options: Options) -> BodyLimit {
    Rc::new(move |_: &HeaderMap| options.body_bytes_max)
}

/// Accepts connections until the runtime ends; `body_limit` sets the limit of each body by its
/// head, the larger ones are charged to `memory`, and `unwritten` counts the responses.
pub async fn serve_counted(
    listener: TcpListener,
    options: Options,
    body_limit: BodyLimit,
    memory: Option<Rc<Budget>>,
    unwritten: Rc<Unwritten>,
    handler: Handler,
) {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // Most likely out of file descriptors: wait for connections to close.
                log::warn!("can't accept a connection: {error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open_connections.get() >= options.max_connections {
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let handler = handler.clone();
        let body_limit = body_limit.clone();
        let memory = memory.clone();
        let unwritten = unwritten.clone();
        let open_connections = open_connections.clone();
        monoio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let connection = Connection::new(stream, peer, options, body_limit);
            if let Some(memory) = memory {
                connection.allowance.charge_to(memory, peer);
            }
            connection.run(handler, &unwritten).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

type HeadDecoder = GenericHeadDecoder<http::Request<()>, RequestHeadDecoder, DirectWrapper>;
type Decoder = FramedRead<LimitedReader<OwnedReadHalf<TcpStream>>, HeadDecoder>;
/// A head; its body is read apart.
type Head = (
    RequestHead,
    PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>,
);
type DecodedHead = Option<Result<Head, HttpError>>;

/// What to do on a connection after a response.
enum AfterResponse {
    /// Read the next request, whose head was decoded meanwhile; none at the end of the stream.
    ReadRequest(DecodedHead),
    /// Close the connection.
    CloseConnection,
}

/// Outcome of reading a request.
enum ReadOutcome {
    Request(Request),
    Invalid(StatusCode, &'static str),
    Closed,
}

fn invalid_body(error: body::Error) -> ReadOutcome {
    match error {
        body::Error::Malformed => {
            ReadOutcome::Invalid(StatusCode::BAD_REQUEST, "the request body is malformed")
        }
        body::Error::TooLarge => ReadOutcome::Invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request body is too large",
        ),
    }
}

struct Connection {
    decoder: Decoder,
    writer: OwnedWriteHalf<TcpStream>,
    allowance: ReadAllowance,
    peer: SocketAddr,
    options: Options,
    body_limit: BodyLimit,
}

impl Connection {
    fn new(stream: TcpStream, peer: SocketAddr, options: Options, body_limit: BodyLimit) -> Self {
        let (read_half, writer) = stream.into_split();
        let (reader, allowance) = LimitedReader::new(read_half);
        Self {
            decoder: FramedRead::new(reader, HeadDecoder::new(RequestHeadDecoder)),
            writer,
            allowance,
            peer,
            options,
            body_limit,
        }
    }

    async fn run(mut self, handler: Handler, unwritten: &Unwritten) {
        let mut early_head = None;
        loop {
            let request = match self.next_request(early_head.take()).await {
                ReadOutcome::Request(request) => request,
                ReadOutcome::Invalid(status, problem) => return self.reject(status, problem).await,
                ReadOutcome::Closed => return,
            };
            let close_requested = requests_close(&request.headers);
            let is_head = request.method == Method::HEAD;
            let exchange = Rc::new(Exchange::new(unwritten.latest()));
            exchange.hold_request(self.allowance.end_body());
            let open_response = OpenResponse::new(exchange.clone());
            let answer = |parts| {
                let exchange = exchange.clone();
                handler(request, Responder { parts, exchange });
            };
            match self
                .respond(answer, &exchange, open_response, is_head, close_requested)
                .await
            {
                Some(AfterResponse::ReadRequest(decoded)) => early_head = Some(decoded),
                Some(AfterResponse::CloseConnection) => return self.drain().await,
                None => {
                    exchange.set_disconnected();
                    return;
                }
            }
        }
    }

    /// Reads the next request; `early_head` is a head that arrived during the previous response.
    async fn next_request(&mut self, early_head: Option<DecodedHead>) -> ReadOutcome {
        let decoded = match early_head {
            Some(decoded) => decoded,
            None => {
                self.allowance.set(HEAD_BYTES_MAX);
                match monoio::time::timeout(self.options.idle_timeout, self.decoder.next()).await {
                    Ok(decoded) => decoded,
                    Err(_) if self.allowance.remaining() == HEAD_BYTES_MAX => {
                        return ReadOutcome::Closed;
                    }
                    Err(_) => {
                        return ReadOutcome::Invalid(
                            StatusCode::REQUEST_TIMEOUT,
                            "the request head was not received in time",
                        );
                    }
                }
            }
        };
        let head = match decoded {
            Some(Ok((head, _))) => head,
            Some(Err(_)) if self.allowance.is_exhausted() => {
                return ReadOutcome::Invalid(
                    StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "the request head is too large",
                );
            }
            Some(Err(HttpError::IOError(_))) | None => return ReadOutcome::Closed,
            Some(Err(_)) => {
                return ReadOutcome::Invalid(
                    StatusCode::BAD_REQUEST,
                    "the request is not valid HTTP/1.1",
                );
            }
        };
        self.read_body(head).await
    }

    /// Checks the head and reads the body within its limit.
    async fn read_body(&mut self, head: RequestHead) -> ReadOutcome {
        let length = match check_body_length(&head.headers) {
            Ok(length) => length.unwrap_or(0),
            Err(problem) => return ReadOutcome::Invalid(StatusCode::BAD_REQUEST, problem),
        };
        let body_bytes_max = (self.body_limit)(&head.headers);
        if length > body_bytes_max {
            return ReadOutcome::Invalid(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the request body is too large",
            );
        }
        if head.method == Method::CONNECT || head.version != Version::HTTP_11 {
            return ReadOutcome::Invalid(
                StatusCode::BAD_REQUEST,
                "only HTTP/1.1 requests other than CONNECT are supported",
            );
        }
        match head.headers.get(EXPECT) {
            None => {}
            Some(expected) if expected.as_bytes().eq_ignore_ascii_case(b"100-continue") => {
                if write::continue_interim(&mut self.writer).await.is_err() {
                    return ReadOutcome::Closed;
                }
            }
            Some(_) => {
                return ReadOutcome::Invalid(
                    StatusCode::EXPECTATION_FAILED,
                    "the only supported expectation is 100-continue",
                );
            }
        }

        let (delimiter, bytes_max) = match head.headers.contains_key(TRANSFER_ENCODING) {
            true => (Delimiter::Chunked, body_bytes_max),
            false => (Delimiter::Length(length), length),
        };
        self.allowance.begin_request(bytes_max);
        let allowance = body_bytes_max.saturating_mul(FRAMING_FACTOR_MAX);
        self.allowance.set(allowance.saturating_add(HEAD_BYTES_MAX));
        let timeout = self.options.idle_timeout;
        let receiving = self.receive(Body::new(delimiter, body_bytes_max));
        let body = match monoio::time::timeout(timeout, receiving).await {
            Ok(Ok(body)) => body,
            Ok(Err(outcome)) => return outcome,
            Err(_) => {
                return ReadOutcome::Invalid(
                    StatusCode::REQUEST_TIMEOUT,
                    "the request body was not received in time",
                );
            }
        };
        ReadOutcome::Request(Request {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: body.into_bytes(),
            peer: self.peer,
        })
    }

    /// Receives a body; what follows it is left for the next head.
    async fn receive(&mut self, mut body: Body) -> Result<Body, ReadOutcome> {
        while !body.is_complete() {
            if body.spare() == 0 {
                body.grow(body.next_capacity());
            }
            let buffer = self.decoder.read_buffer_mut();
            let count = buffer.len().min(body.spare());
            if count > 0 {
                let part = buffer.split_to(count);
                let rest = body.decode(&part).map_err(invalid_body)?;
                if !rest.is_empty() {
                    // The rest of the buffer follows it.
                    let mut next = bytes::BytesMut::from(rest);
                    next.unsplit(std::mem::take(buffer));
                    *buffer = next;
                }
                continue;
            }
            let reading = self.decoder.get_mut().read_within_allowance(body.spare());
            let part = match reading.await {
                Ok(part) => part,
                Err(_) if self.allowance.is_exhausted() => {
                    return Err(invalid_body(body::Error::TooLarge));
                }
                Err(_) => return Err(ReadOutcome::Closed),
            };
            if part.is_empty() {
                return Err(invalid_body(body::Error::Malformed));
            }
            let rest = body.decode(&part).map_err(invalid_body)?;
            self.decoder.read_buffer_mut().extend_from_slice(rest);
        }
        Ok(body)
    }

    /// Hands the request over with `answer` and writes the response, while it reads ahead to detect that
    /// the peer disconnects.
    ///
    /// Returns none if the peer disconnects before the response is complete.
    async fn respond(
        &mut self,
        answer: impl FnOnce(UnboundedSender<ResponsePart>),
        exchange: &Exchange,
        open_response: OpenResponse,
        is_head: bool,
        close_requested: bool,
    ) -> Option<AfterResponse> {
        self.allowance.set(HEAD_BYTES_MAX);
        let mut next_head = pin!(self.decoder.next().fuse());
        // What has arrived by now shows whether the peer has closed its sending side; the read that finds
        // it is the same as below.
        let mut early_head = match futures_util::poll!(next_head.as_mut()) {
            Poll::Ready(decoded) => Some(decoded),
            Poll::Pending => None,
        };
        let reset = matches!(early_head, Some(Some(Err(HttpError::IOError(_)))));
        let ended = matches!(early_head, Some(None));
        exchange.closed_early.set(reset || ended);
        let is_cancelled = reset || ended && self.options.cancel_on_close;
        let (part_sender, mut parts) = unbounded();
        answer(part_sender);
        let mut without_body = is_head;
        loop {
            let next = match early_head.is_none() {
                // A peer that has closed its sending side may still read what is ready.
                false if is_cancelled => parts.next().now_or_never()?,
                false => parts.next().await,
                true => match select(parts.next(), next_head.as_mut()).await {
                    Either::Left((part, _)) => part,
                    Either::Right((decoded, _)) => {
                        let reset = matches!(decoded, Some(Err(HttpError::IOError(_))));
                        if reset || decoded.is_none() && self.options.cancel_on_close {
                            return None;
                        }
                        early_head = Some(decoded);
                        continue;
                    }
                },
            };
            if exchange.is_overflowed.get() {
                return None;
            }
            if let Progress::Complete = write_part(
                &mut self.writer,
                next?,
                exchange,
                is_head,
                &mut without_body,
            )
            .await
            .ok()?
            {
                break;
            }
        }

        // The connection may stay idle from now on, which must not hold up a shutdown.
        drop(open_response);

        // The response is complete. The read-ahead must not be dropped: the bytes that it has read
        // belong to the next request.
        match early_head {
            _ if close_requested || exchange.closes_connection.get() => {
                Some(AfterResponse::CloseConnection)
            }
            Some(decoded) => Some(AfterResponse::ReadRequest(decoded)),
            None => {
                match monoio::time::timeout(self.options.idle_timeout, next_head.as_mut()).await {
                    Ok(decoded) => Some(AfterResponse::ReadRequest(decoded)),
                    Err(_) => Some(AfterResponse::CloseConnection),
                }
            }
        }
    }

    async fn reject(&mut self, status: StatusCode, problem: &'static str) {
        log::debug!("rejected a request from {}: {problem}", self.peer);
        let mut headers = HeaderMap::new();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        headers.insert("eelgrassdyke-run", HeaderValue::from_static("no"));
        let body = format!("{{\"error\":{{\"message\":\"{problem}\",\"run\":\"no\"}}}}\n");
        let _ = write::response(&mut self.writer, status, headers, body.into()).await;
        self.drain().await;
    }

    /// Discards input for a while, so that a peer that is still sending can read the response
    /// before the connection is reset.
    async fn drain(&mut self) {
        use monoio::io::AsyncWriteRent as _;

        let _ = self.writer.shutdown().await;
        self.allowance.discard_up_to(DRAIN_BYTES_MAX);
        let discarding = self.decoder.get_mut().read_within_allowance(usize::MAX);
        let _ = monoio::time::timeout(DRAIN_TIMEOUT, discarding).await;
    }
}

/// Whether a response is complete.
enum Progress {
    Incomplete,
    Complete,
}

/// Writes a part of a response; `without_body` states that no body is sent.
async fn write_part(
    writer: &mut OwnedWriteHalf<TcpStream>,
    part: ResponsePart,
    exchange: &Exchange,
    is_head: bool,
    without_body: &mut bool,
) -> super::Result<Progress> {
    match part {
        ResponsePart::Complete(status, headers, body) if is_head || has_no_body(status) => {
            let length = is_head.then_some(body.len());
            write::head(writer, status, &headers, Framing::Absent(length)).await?;
            return Ok(Progress::Complete);
        }
        ResponsePart::Complete(status, headers, body) if body.len() > SMALL_BODY_BYTES => {
            write::large_response(writer, status, headers, body).await?;
            return Ok(Progress::Complete);
        }
        ResponsePart::Complete(status, headers, body) => {
            write::response(writer, status, headers, body).await?;
            return Ok(Progress::Complete);
        }
        ResponsePart::Head(status, headers) => {
            *without_body |= has_no_body(status);
            let framing = match *without_body {
                true => Framing::Absent(None),
                false => Framing::Chunked,
            };
            write::head(writer, status, &headers, framing).await?;
        }
        ResponsePart::Data(data) => {
            let unsent_bytes = exchange.unsent_bytes.get().saturating_sub(data.len());
            exchange.unsent_bytes.set(unsent_bytes);
            if !*without_body {
                write::chunk(writer, &data).await?;
            }
        }
        ResponsePart::End => {
            if !*without_body {
                write::last_chunk(writer).await?;
            }
            return Ok(Progress::Complete);
        }
    }
    Ok(Progress::Incomplete)
}
