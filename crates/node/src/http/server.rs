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

use super::guard::{Allowance, Guard, check_length};
use super::write::Framing;
use super::{HEAD_BYTES_MAX, has_no_body, write};

/// Bytes that may wait for a slow reader before its answer is cut off.
const UNSENT_BYTES_MAX: usize = 4 << 20;

/// Bytes of a refused peer that are read and dropped.
const DRAIN_BYTES_MAX: usize = 256 << 10;

/// Longest time for which they are.
const DRAIN_MAX: Duration = Duration::from_millis(500);

/// Bounds on one port.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Connections at once.
    pub connections: usize,
    /// Time to send a whole head, a whole body, and between requests.
    pub idle: Duration,
    /// Largest request body, in bytes.
    pub body_max: usize,
    /// Whether a peer that closes its sending side has gone away.
    ///
    /// Our own processes never half-close, so a close cancels at once. Callers may, so theirs
    /// counts only once a write fails.
    pub close_cancels: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connections: 4096,
            idle: Duration::from_secs(30),
            body_max: 1 << 20,
            close_cancels: false,
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
enum Part {
    Fixed(StatusCode, HeaderMap, Bytes),
    Head(StatusCode, HeaderMap),
    Data(Bytes),
    End,
}

/// What a connection and the responder of its present request share.
#[derive(Default)]
struct Exchange {
    unsent: Cell<usize>,
    overrun: Cell<bool>,
    gone: Cell<bool>,
    /// Whether the answer tells the peer that the connection closes after it.
    closes: Cell<bool>,
    on_gone: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl Exchange {
    fn set_gone(&self) {
        if self.gone.replace(true) {
            return;
        }
        let hook = self.on_gone.borrow_mut().take();
        if let Some(hook) = hook {
            hook();
        }
    }
}

/// The way back to the peer of one request; dropping it unfinished closes the connection.
pub struct Responder {
    parts: UnboundedSender<Part>,
    exchange: Rc<Exchange>,
}

impl Responder {
    /// Calls `hook` once when the peer is found gone before the answer is whole.
    pub fn on_gone(&self, hook: impl FnOnce() + 'static) {
        *self.exchange.on_gone.borrow_mut() = Some(Box::new(hook));
    }

    /// Answers whole.
    pub fn answer(self, status: StatusCode, headers: HeaderMap, body: impl Into<Bytes>) {
        self.exchange.closes.set(wants_close(&headers));
        self.push(Part::Fixed(status, headers, body.into()));
    }

    /// Starts a streamed answer.
    pub fn head(&self, status: StatusCode, headers: HeaderMap) {
        self.exchange.closes.set(wants_close(&headers));
        self.push(Part::Head(status, headers));
    }

    /// Streams a part, which leaves at once.
    pub fn data(&self, data: Bytes) {
        let unsent = self.exchange.unsent.get() + data.len();
        self.exchange.unsent.set(unsent);
        if unsent > UNSENT_BYTES_MAX {
            // The connection's own task gives the peer up: the hook may not run inside this call.
            self.exchange.overrun.set(true);
        }
        self.push(Part::Data(data));
    }

    /// Ends a streamed answer.
    pub fn end(self) {
        self.push(Part::End);
    }

    fn push(&self, part: Part) {
        // A failed send means that the connection is gone, which its task reports by itself.
        let _ = self.parts.unbounded_send(part);
    }
}

/// The largest body that a request with these header fields may have, in bytes.
pub type BodyLimit = Rc<dyn Fn(&HeaderMap) -> usize>;

/// Accepts connections on `listener` until the runtime ends.
pub async fn serve(listener: TcpListener, options: Options, handler: Handler) {
    let limit = Rc::new(move |_: &HeaderMap| options.body_max);
    serve_limited(listener, options, limit, handler).await;
}

/// Accepts connections until the runtime ends; `limit` bounds each body once its head is read.
pub async fn serve_limited(
    listener: TcpListener,
    options: Options,
    limit: BodyLimit,
    handler: Handler,
) {
    let open = Rc::new(Cell::new(0));
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
        if open.get() >= options.connections {
            continue;
        }
        open.set(open.get() + 1);
        let handler = handler.clone();
        let limit = limit.clone();
        let open = open.clone();
        monoio::spawn(async move {
            let _ = stream.set_nodelay(true);
            Connection::new(stream, peer, options, limit)
                .run(handler)
                .await;
            open.set(open.get() - 1);
        });
    }
}

type Decoder = RequestDecoder<Guard<OwnedReadHalf<TcpStream>>>;
type Decoded = Option<Result<monoio_http::common::request::Request, HttpError>>;

/// What follows an answer on its connection.
enum Next {
    /// The head of the next request, or the end of them.
    Read(Decoded),
    /// Nothing: the connection is closed.
    Close,
}

/// What a request came to.
enum Intake {
    Request(Request),
    Bad(StatusCode, &'static str),
    Closed,
}

struct Connection {
    decoder: Decoder,
    writer: OwnedWriteHalf<TcpStream>,
    allowance: Allowance,
    peer: SocketAddr,
    options: Options,
    limit: BodyLimit,
}

impl Connection {
    fn new(stream: TcpStream, peer: SocketAddr, options: Options, limit: BodyLimit) -> Self {
        let (reader, writer) = stream.into_split();
        let (guard, allowance) = Guard::new(reader);
        Self {
            decoder: RequestDecoder::new(guard),
            writer,
            allowance,
            peer,
            options,
            limit,
        }
    }

    async fn run(mut self, handler: Handler) {
        let mut early = None;
        loop {
            let request = match self.next_request(early.take()).await {
                Intake::Request(request) => request,
                Intake::Bad(status, problem) => return self.refuse(status, problem).await,
                Intake::Closed => return,
            };
            let close = wants_close(&request.headers);
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
                Some(Next::Read(decoded)) => early = Some(decoded),
                Some(Next::Close) => return self.drain().await,
                None => {
                    exchange.set_gone();
                    return;
                }
            }
        }
    }

    /// Reads the next request, whole; `early` holds a head that arrived during the last answer.
    async fn next_request(&mut self, early: Option<Decoded>) -> Intake {
        let decoded = match early {
            Some(decoded) => decoded,
            None => {
                self.allowance.set(HEAD_BYTES_MAX);
                match monoio::time::timeout(self.options.idle, self.decoder.next()).await {
                    Ok(decoded) => decoded,
                    Err(_) if self.allowance.left() == HEAD_BYTES_MAX => return Intake::Closed,
                    Err(_) => {
                        return Intake::Bad(
                            StatusCode::REQUEST_TIMEOUT,
                            "the head came too slowly",
                        );
                    }
                }
            }
        };
        let request = match decoded {
            Some(Ok(request)) => request,
            Some(Err(_)) if self.allowance.is_spent() => {
                return Intake::Bad(
                    StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "the head is too large",
                );
            }
            Some(Err(HttpError::IOError(_))) | None => return Intake::Closed,
            Some(Err(_)) => return Intake::Bad(StatusCode::BAD_REQUEST, "this is not HTTP/1.1"),
        };
        self.read_body(request).await
    }

    /// Checks the head and reads the body within its bound.
    async fn read_body(&mut self, request: monoio_http::common::request::Request) -> Intake {
        let length = match check_length(request.headers()) {
            Ok(length) => length.unwrap_or(0),
            Err(problem) => return Intake::Bad(StatusCode::BAD_REQUEST, problem),
        };
        let body_max = (self.limit)(request.headers());
        if length > body_max {
            return Intake::Bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        if request.method() == Method::CONNECT || request.version() != Version::HTTP_11 {
            return Intake::Bad(StatusCode::BAD_REQUEST, "only HTTP/1.1 calls are served");
        }
        match request.headers().get(EXPECT) {
            None => {}
            Some(expected) if expected.as_bytes().eq_ignore_ascii_case(b"100-continue") => {
                if write::go_on(&mut self.writer).await.is_err() {
                    return Intake::Closed;
                }
            }
            Some(_) => {
                return Intake::Bad(
                    StatusCode::EXPECTATION_FAILED,
                    "only 100-continue can be expected",
                );
            }
        }

        // The bound covers the framing of a chunked body as well.
        self.allowance.set(body_max + HEAD_BYTES_MAX);
        let filled = monoio::time::timeout(self.options.idle, self.decoder.fill_payload()).await;
        match filled {
            Err(_) => return Intake::Bad(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
            Ok(Err(_)) if self.allowance.is_spent() => {
                return Intake::Bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return Intake::Bad(StatusCode::BAD_REQUEST, "the body is malformed"),
            Ok(Ok(())) => {}
        }
        let (head, payload) = request.into_parts();
        let Ok(body) = payload.bytes().await else {
            return Intake::Bad(StatusCode::BAD_REQUEST, "the body is malformed");
        };
        if body.len() > body_max {
            return Intake::Bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Intake::Request(Request {
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
        mut parts: UnboundedReceiver<Part>,
        exchange: &Exchange,
        is_head: bool,
        close: bool,
    ) -> Option<Next> {
        self.allowance.set(HEAD_BYTES_MAX);
        let mut watch = pin!(self.decoder.next().fuse());
        let mut early = None;
        let mut bodiless = is_head;
        loop {
            let next = match early.is_none() {
                false => parts.next().await,
                true => match select(parts.next(), watch.as_mut()).await {
                    Either::Left((part, _)) => part,
                    Either::Right((decoded, _)) => {
                        let reset = matches!(decoded, Some(Err(HttpError::IOError(_))));
                        if reset || decoded.is_none() && self.options.close_cancels {
                            return None;
                        }
                        early = Some(decoded);
                        continue;
                    }
                },
            };
            if exchange.overrun.get() {
                return None;
            }
            if let Flow::Whole =
                write_part(&mut self.writer, next?, exchange, is_head, &mut bodiless)
                    .await
                    .ok()?
            {
                break;
            }
        }

        // The answer is whole. The watch must run to its end: what it has read belongs to the
        // next request.
        match early {
            _ if close || exchange.closes.get() => Some(Next::Close),
            Some(decoded) => Some(Next::Read(decoded)),
            None => match monoio::time::timeout(self.options.idle, watch.as_mut()).await {
                Ok(decoded) => Some(Next::Read(decoded)),
                Err(_) => Some(Next::Close),
            },
        }
    }

    async fn refuse(&mut self, status: StatusCode, problem: &'static str) {
        log::debug!("refused {}: {problem}", self.peer);
        let mut headers = HeaderMap::new();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        headers.insert("eelgrassdyke-run", HeaderValue::from_static("no"));
        let body = format!("{{\"error\":{{\"message\":\"{problem}\",\"run\":\"no\"}}}}\n");
        let _ = write::fixed(&mut self.writer, status, headers, body.into()).await;
        self.drain().await;
    }

    /// Lets a peer that is still sending read the refusal before the connection is reset.
    async fn drain(&mut self) {
        use monoio::io::AsyncWriteRent as _;

        let _ = self.writer.shutdown().await;
        self.allowance.discard(DRAIN_BYTES_MAX);
        let _ = monoio::time::timeout(DRAIN_MAX, async {
            // After an error the decoder first says that nothing more comes, and reads after that.
            for _ in 0..3 {
                let _ = self.decoder.next().await;
            }
        })
        .await;
    }
}

/// Whether more of an answer is to come.
enum Flow {
    More,
    Whole,
}

/// Writes a part of an answer; `bodiless` says that the answer has no body on the wire.
async fn write_part(
    writer: &mut OwnedWriteHalf<TcpStream>,
    part: Part,
    exchange: &Exchange,
    is_head: bool,
    bodiless: &mut bool,
) -> super::Result<Flow> {
    match part {
        Part::Fixed(status, headers, body) if is_head || has_no_body(status) => {
            let length = is_head.then_some(body.len());
            write::head(writer, status, &headers, Framing::Absent(length)).await?;
            return Ok(Flow::Whole);
        }
        Part::Fixed(status, headers, body) => {
            write::fixed(writer, status, headers, body).await?;
            return Ok(Flow::Whole);
        }
        Part::Head(status, headers) => {
            *bodiless |= has_no_body(status);
            let framing = match *bodiless {
                true => Framing::Absent(None),
                false => Framing::Chunked,
            };
            write::head(writer, status, &headers, framing).await?;
        }
        Part::Data(data) => {
            let unsent = exchange.unsent.get().saturating_sub(data.len());
            exchange.unsent.set(unsent);
            if !*bodiless {
                write::part(writer, &data).await?;
            }
        }
        Part::End => {
            if !*bodiless {
                write::end(writer).await?;
            }
            return Ok(Flow::Whole);
        }
    }
    Ok(Flow::More)
}

fn wants_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION).and_then(|v| v.to_str().ok());
    value.is_some_and(|text| text.eq_ignore_ascii_case("close"))
}
