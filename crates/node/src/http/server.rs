//! Serves HTTP/1.1 connections.
//!
//! A connection reads one request at a time, whole and within its bounds, and hands it with a
//! [`Responder`] to the [`Handler`]. The handler answers through the responder, at once or part by
//! part, from any task of the thread. Bad input gets a 4xx and the connection is closed.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use futures_util::{FutureExt, StreamExt};
use http::header::{CONNECTION, EXPECT};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, Version};
use monoio::io::stream::Stream as _;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::body::BodyExt;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};

use super::guard::{LimitedReader, ReadAllowance, check_body_length};
use super::write::Framing;
use super::{HEAD_BYTES_MAX, has_no_body, write};

/// Bytes that may wait for a slow reader before its answer is cut off.
const UNSENT_BYTES_MAX: usize = 4 << 20;

/// Bytes of a refused peer that are read and dropped.
const DRAIN_BYTES_MAX: usize = 256 << 10;

/// Longest time for which they are.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Bounds on one port.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Connections at once.
    pub max_connections: usize,
    /// Time to send a whole head, a whole body, and between requests.
    pub idle_timeout: Duration,
    /// Largest request body, in bytes.
    pub body_bytes_max: usize,
    /// Whether a peer that closes its sending side has gone away.
    ///
    /// Our own processes never half-close, so a close cancellers at once. Callers may, so theirs
    /// counts only once a write fails.
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

/// A request, whole.
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
    /// Who sent it.
    pub peer: SocketAddr,
}

/// What answers the requests of one port.
pub type Handler = Rc<dyn Fn(Request, Responder)>;

/// A part of an answer.
#[derive(Debug)]
enum ResponsePart {
    Complete(StatusCode, HeaderMap, Bytes),
    Head(StatusCode, HeaderMap),
    Data(Bytes),
    End,
}

/// What a connection and the responder of its present request share.
#[derive(Default)]
struct Exchange {
    unsent_bytes: Cell<usize>,
    is_overflowed: Cell<bool>,
    disconnected: Cell<bool>,
    /// Whether the answer tells the peer that the connection closes after it.
    closes_connection: Cell<bool>,
    on_disconnect: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl Exchange {
    fn set_disconnected(&self) {
        if self.disconnected.replace(true) {
            return;
        }
        let hook = self.on_disconnect.borrow_mut().take();
        if let Some(hook) = hook {
            hook();
        }
    }
}

/// The way back to the peer of one request; dropping it unfinished closes the connection.
pub struct Responder {
    parts: UnboundedSender<ResponsePart>,
    exchange: Rc<Exchange>,
}

impl Responder {
    /// Calls `hook` once when the peer is found gone before the answer is whole.
    pub fn on_disconnect(&self, hook: impl FnOnce() + 'static) {
        *self.exchange.on_disconnect.borrow_mut() = Some(Box::new(hook));
    }

    /// Answers whole.
    pub fn respond(self, status: StatusCode, headers: HeaderMap, body: impl Into<Bytes>) {
        self.exchange
            .closes_connection
            .set(requests_close(&headers));
        self.send_part(ResponsePart::Complete(status, headers, body.into()));
    }

    /// Starts a streamed answer.
    pub fn start_stream(&self, status: StatusCode, headers: HeaderMap) {
        self.exchange
            .closes_connection
            .set(requests_close(&headers));
        self.send_part(ResponsePart::Head(status, headers));
    }

    /// Streams a part, which leaves at once.
    pub fn send_data(&self, data: Bytes) {
        let unsent_bytes = self.exchange.unsent_bytes.get() + data.len();
        self.exchange.unsent_bytes.set(unsent_bytes);
        if unsent_bytes > UNSENT_BYTES_MAX {
            // The connection's own task gives the peer up: the hook may not run inside this call.
            self.exchange.is_overflowed.set(true);
        }
        self.send_part(ResponsePart::Data(data));
    }

    /// Ends a streamed answer.
    pub fn end_stream(self) {
        self.send_part(ResponsePart::End);
    }

    fn send_part(&self, part: ResponsePart) {
        // A failed send means that the connection is gone, which its task reports by itself.
        let _ = self.parts.unbounded_send(part);
    }
}

/// The largest body that a request with these header fields may have, in bytes.
pub type BodyLimit = Rc<dyn Fn(&HeaderMap) -> usize>;

/// Accepts connections on `listener` until the runtime ends.
pub async fn serve(listener: TcpListener, options: Options, handler: Handler) {
    let body_limit = Rc::new(move |_: &HeaderMap| options.body_bytes_max);
    serve_with_body_limit(listener, options, body_limit, handler).await;
}

/// Accepts connections until the runtime ends; `limit` bounds each body once its head is read.
pub async fn serve_with_body_limit(
    listener: TcpListener,
    options: Options,
    body_limit: BodyLimit,
    handler: Handler,
) {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // Out of descriptors, most likely: let connections close before the next try.
                log::warn!("accept failed: {error}");
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
        let open_connections = open_connections.clone();
        monoio::spawn(async move {
            let _ = stream.set_nodelay(true);
            Connection::new(stream, peer, options, body_limit)
                .run(handler)
                .await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

type Decoder = RequestDecoder<LimitedReader<OwnedReadHalf<TcpStream>>>;
type DecodedHead = Option<Result<monoio_http::common::request::Request, HttpError>>;

/// What follows an answer on its connection.
enum AfterResponse {
    /// The head of the next request, or the end of them.
    ReadRequest(DecodedHead),
    /// Nothing: the connection is closed.
    CloseConnection,
}

/// What a request came to.
enum ReadOutcome {
    Request(Request),
    Invalid(StatusCode, &'static str),
    Closed,
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
            decoder: RequestDecoder::new(reader),
            writer,
            allowance,
            peer,
            options,
            body_limit,
        }
    }

    async fn run(mut self, handler: Handler) {
        let mut early_head = None;
        loop {
            let request = match self.next_request(early_head.take()).await {
                ReadOutcome::Request(request) => request,
                ReadOutcome::Invalid(status, problem) => return self.reject(status, problem).await,
                ReadOutcome::Closed => return,
            };
            let close = requests_close(&request.headers);
            let is_head = request.method == Method::HEAD;
            let (parts, rest) = unbounded();
            let exchange = Rc::new(Exchange::default());
            handler(
                request,
                Responder {
                    parts,
                    exchange: exchange.clone(),
                },
            );
            match self.respond(rest, &exchange, is_head, close).await {
                Some(AfterResponse::ReadRequest(decoded)) => early_head = Some(decoded),
                Some(AfterResponse::CloseConnection) => return self.drain().await,
                None => {
                    exchange.set_disconnected();
                    return;
                }
            }
        }
    }

    /// Reads the next request, whole; `early_head` holds a head that arrived during the last answer.
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
                            "the head came too slowly",
                        );
                    }
                }
            }
        };
        let request = match decoded {
            Some(Ok(request)) => request,
            Some(Err(_)) if self.allowance.is_exhausted() => {
                return ReadOutcome::Invalid(
                    StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "the head is too large",
                );
            }
            Some(Err(HttpError::IOError(_))) | None => return ReadOutcome::Closed,
            Some(Err(_)) => {
                return ReadOutcome::Invalid(StatusCode::BAD_REQUEST, "this is not HTTP/1.1");
            }
        };
        self.read_body(request).await
    }

    /// Checks the head and reads the body within its bound.
    async fn read_body(&mut self, request: monoio_http::common::request::Request) -> ReadOutcome {
        let length = match check_body_length(request.headers()) {
            Ok(length) => length.unwrap_or(0),
            Err(problem) => return ReadOutcome::Invalid(StatusCode::BAD_REQUEST, problem),
        };
        let body_bytes_max = (self.body_limit)(request.headers());
        if length > body_bytes_max {
            return ReadOutcome::Invalid(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        if request.method() == Method::CONNECT || request.version() != Version::HTTP_11 {
            return ReadOutcome::Invalid(StatusCode::BAD_REQUEST, "only HTTP/1.1 calls are served");
        }
        match request.headers().get(EXPECT) {
            None => {}
            Some(expected) if expected.as_bytes().eq_ignore_ascii_case(b"100-continue") => {
                if write::continue_interim(&mut self.writer).await.is_err() {
                    return ReadOutcome::Closed;
                }
            }
            Some(_) => {
                return ReadOutcome::Invalid(
                    StatusCode::EXPECTATION_FAILED,
                    "only 100-continue can be expected",
                );
            }
        }

        // The bound covers the framing of a chunked body as well.
        self.allowance.set(body_bytes_max + HEAD_BYTES_MAX);
        let filled =
            monoio::time::timeout(self.options.idle_timeout, self.decoder.fill_payload()).await;
        match filled {
            Err(_) => {
                return ReadOutcome::Invalid(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body came too slowly",
                );
            }
            Ok(Err(_)) if self.allowance.is_exhausted() => {
                return ReadOutcome::Invalid(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "the body is too large",
                );
            }
            Ok(Err(_)) => {
                return ReadOutcome::Invalid(StatusCode::BAD_REQUEST, "the body is malformed");
            }
            Ok(Ok(())) => {}
        }
        let (head, payload) = request.into_parts();
        let Ok(body) = payload.bytes().await else {
            return ReadOutcome::Invalid(StatusCode::BAD_REQUEST, "the body is malformed");
        };
        if body.len() > body_bytes_max {
            return ReadOutcome::Invalid(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        ReadOutcome::Request(Request {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            peer: self.peer,
        })
    }

    /// Writes the answer while it watches for the peer to go.
    ///
    /// Gives none when the peer is gone before the answer is whole.
    async fn respond(
        &mut self,
        mut parts: UnboundedReceiver<ResponsePart>,
        exchange: &Exchange,
        is_head: bool,
        close: bool,
    ) -> Option<AfterResponse> {
        self.allowance.set(HEAD_BYTES_MAX);
        let mut next_head = pin!(self.decoder.next().fuse());
        let mut early_head = None;
        let mut without_body = is_head;
        loop {
            let next = match early_head.is_none() {
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

        // The answer is whole. The next_head must run to its end: what it has read belongs to the
        // next request.
        match early_head {
            _ if close || exchange.closes_connection.get() => Some(AfterResponse::CloseConnection),
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
        log::debug!("refused {}: {problem}", self.peer);
        let mut headers = HeaderMap::new();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        headers.insert("eelgrassdyke-run", HeaderValue::from_static("no"));
        let body = format!("{{\"error\":{{\"message\":\"{problem}\",\"run\":\"no\"}}}}\n");
        let _ = write::response(&mut self.writer, status, headers, body.into()).await;
        self.drain().await;
    }

    /// Lets a peer that is still sending read the refusal before the connection is reset.
    async fn drain(&mut self) {
        use monoio::io::AsyncWriteRent as _;

        let _ = self.writer.shutdown().await;
        self.allowance.discard_up_to(DRAIN_BYTES_MAX);
        let _ = monoio::time::timeout(DRAIN_TIMEOUT, async {
            // After an error the decoder first says that nothing more comes, and reads after that.
            for _ in 0..3 {
                let _ = self.decoder.next().await;
            }
        })
        .await;
    }
}

/// Whether more of an answer is to come.
enum Progress {
    Incomplete,
    Complete,
}

/// Writes a part of an answer; `without_body` says that the answer has no body on the wire.
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

fn requests_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION).and_then(|v| v.to_str().ok());
    value.is_some_and(|text| text.eq_ignore_ascii_case("close"))
}
