//! HTTP/1.1 server.
//!
//! A connection reads one complete request at a time, within size and time limits, and passes it
//! with a [`Responder`] to the [`Handler`]. The handler sends a complete or a streamed response
//! through the responder, from any task of the thread. An invalid request is rejected with a 4xx
//! status, and the connection is closed.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use futures_util::{FutureExt, StreamExt};
use http::header::{CONNECTION, EXPECT, RETRY_AFTER, TRANSFER_ENCODING};
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
use super::budget::{Permit, SMALL_BODY_BYTES};
use super::guard::{LimitedReader, ReadAllowance, check_body_length};
use super::intake::{FREE_BYTES, Intake, Limits, Registration, Unavailable, yield_now};
use super::respond::{Exchange, OpenResponse, ResponsePart, requests_close};
use super::write::Framing;
use super::{HEAD_BYTES_MAX, has_no_body, write};

pub use super::respond::{Group, Responder, Unwritten};

/// Maximum number of bytes to read and discard after a rejected request.
const DRAIN_BYTES_MAX: usize = 256 << 10;

/// Maximum time for which input is discarded after a rejected request.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Largest buffer that a connection keeps after a request, in bytes.
const IDLE_BUFFER_BYTES_MAX: usize = 8 << 10;

/// Most bytes that are read for each byte that a body may have: a chunk of one byte has six.
const FRAMING_FACTOR_MAX: usize = 16;

/// Maximum number of concurrent connections of a port without limits of its own.
const DEFAULT_CONNECTIONS_MAX: usize = 4096;

/// Memory of small and of large requests of a port without limits of its own, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 64 << 20;

/// Maximum time for which a body waits for memory if its sender has a time limit. Callers abandon a request that is
/// not read within a second.
pub const MEMORY_WAIT_MAX: Duration = Duration::from_secs(1);

/// Time after which the sender of a request that found no memory may return, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Memory of a head of more than [`FREE_BYTES`], in bytes; its buffer grows twofold.
const LARGE_HEAD_BYTES: usize = 2 * HEAD_BYTES_MAX;

/// Maximum time for the response on a connection that closes for others.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Limits of a port.
#[derive(Clone, Copy, Debug)]
pub struct Options {
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

/// Terms of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyTerms {
    /// Maximum size, in bytes.
    pub bytes_max: usize,
    /// Maximum time for which the body waits for memory.
    pub wait_max: Duration,
}

/// Returns the terms of the body of a request with these header fields.
pub type BodyPolicy = Rc<dyn Fn(&HeaderMap) -> BodyTerms>;

/// A port and what it shares with others.
#[derive(Clone)]
pub struct Port {
    /// Its limits.
    pub options: Options,
    /// Sets the terms of each body by its head.
    pub body_policy: BodyPolicy,
    /// What its connections may hold together.
    pub intake: Rc<Intake>,
    /// Counts the responses.
    pub unwritten: Rc<Unwritten>,
}

impl Port {
    /// A port whose requests share `intake`.
    pub fn new(options: Options, intake: Rc<Intake>) -> Self {
        let terms = BodyTerms {
            bytes_max: options.body_bytes_max,
            wait_max: options.idle_timeout,
        };
        Self {
            options,
            body_policy: Rc::new(move |_: &HeaderMap| terms),
            intake,
            unwritten: Rc::default(),
        }
    }
}

/// Accepts connections on `listener` until the runtime ends, with memory for many requests.
pub async fn serve(listener: TcpListener, options: Options, handler: Handler) {
    let intake = Intake::new(Limits {
        connections_max: DEFAULT_CONNECTIONS_MAX,
        small_bytes_max: DEFAULT_MEMORY_BYTES,
        large_bytes_max: DEFAULT_MEMORY_BYTES.max(options.body_bytes_max),
    });
    serve_port(listener, Port::new(options, intake), handler).await;
}

/// Accepts connections until the runtime ends.
pub async fn serve_port(listener: TcpListener, port: Port, handler: Handler) {
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
        let Some((registration, closed)) = port.intake.register(peer).await else {
            metrics::counter!("eelgrassdyke_connections_refused_total").increment(1);
            drop(stream);
            // A burst of connections must not keep the other tasks waiting.
            yield_now().await;
            continue;
        };
        let handler = handler.clone();
        let port = port.clone();
        monoio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let connection = Connection::new(stream, peer, port, registration);
            connection.run(handler, closed).await;
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
    /// There is no memory for the request.
    Unavailable,
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

/// Receives the requests of a connection.
struct Receiver {
    decoder: Decoder,
    allowance: ReadAllowance,
    registration: Rc<Registration>,
    /// Memory of the request that is being received.
    permits: Vec<Permit>,
}

impl Receiver {
    /// Receives the next head; none at the end of the stream.
    async fn next_head(&mut self) -> DecodedHead {
        let buffer = self.decoder.read_buffer_mut();
        if buffer.is_empty() && buffer.capacity() > IDLE_BUFFER_BYTES_MAX {
            *buffer = BytesMut::new();
        }
        let mut searched = 0;
        loop {
            let buffer = self.decoder.read_buffer();
            if !buffer.is_empty() {
                self.registration.start_receiving();
            }
            let end = memchr::memmem::find(&buffer[searched..], HEAD_END);
            if end.is_some() {
                return self.decoder.next().await;
            }
            searched = buffer.len().saturating_sub(HEAD_END.len() - 1);
            let free_bytes = FREE_BYTES.saturating_sub(buffer.len());
            if free_bytes == 0 && self.permits.is_empty() {
                // Its connection can't be closed for others while a request is being answered.
                self.registration.until_answered().await;
                let acquiring = self
                    .registration
                    .acquire(LARGE_HEAD_BYTES, LARGE_HEAD_BYTES, None);
                if let Ok(permit) = acquiring.await {
                    self.hold(permit);
                }
            }
            let limit = match self.permits.is_empty() {
                true => free_bytes,
                false => usize::MAX,
            };
            let part = match self.decoder.get_mut().read_within_allowance(limit).await {
                Ok(part) if part.is_empty() => return None,
                Ok(part) => part,
                Err(error) => return Some(Err(HttpError::IOError(error))),
            };
            self.registration.record_progress(part.len());
            self.decoder.read_buffer_mut().extend_from_slice(&part);
        }
    }

    /// Receives a body; what follows it is left for the next head.
    async fn receive(&mut self, mut body: Body, wait_max: Duration) -> Result<Body, ReadOutcome> {
        while !body.is_complete() {
            if body.spare() == 0 {
                self.grow(&mut body, wait_max).await?;
            }
            let buffer = self.decoder.read_buffer_mut();
            let count = buffer.len().min(body.spare());
            if count > 0 {
                let part = buffer.split_to(count);
                let rest = body.decode(&part).map_err(invalid_body)?;
                if !rest.is_empty() {
                    // The rest of the buffer follows it.
                    let mut next = BytesMut::from(rest);
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
            self.registration.record_progress(part.len());
            let rest = body.decode(&part).map_err(invalid_body)?;
            self.decoder.read_buffer_mut().extend_from_slice(rest);
        }
        Ok(body)
    }

    /// Waits for the memory that a body needs next.
    async fn grow(&mut self, body: &mut Body, wait_max: Duration) -> Result<(), ReadOutcome> {
        let capacity = body.next_capacity();
        let additional = capacity - body.capacity();
        if capacity > FREE_BYTES {
            let acquiring = self
                .registration
                .acquire(capacity, additional, Some(wait_max));
            match acquiring.await {
                Ok(permit) => self.hold(permit),
                Err(Unavailable) => return Err(ReadOutcome::Unavailable),
            }
        }
        body.grow(capacity);
        Ok(())
    }

    fn hold(&mut self, permit: Permit) {
        self.permits.push(permit);
        self.registration.set_holds_memory(true);
    }
}

struct Connection {
    receiver: Receiver,
    writer: OwnedWriteHalf<TcpStream>,
    peer: SocketAddr,
    port: Port,
}

impl Connection {
    fn new(stream: TcpStream, peer: SocketAddr, port: Port, registration: Registration) -> Self {
        let (read_half, writer) = stream.into_split();
        let (reader, allowance) = LimitedReader::new(read_half);
        let decoder = FramedRead::with_capacity(reader, HeadDecoder::new(RequestHeadDecoder), 0);
        Self {
            receiver: Receiver {
                decoder,
                allowance,
                registration: Rc::new(registration),
                permits: Vec::new(),
            },
            writer,
            peer,
            port,
        }
    }

    /// Serves requests until the connection ends, or until it has to close for others.
    async fn run(mut self, handler: Handler, closed: oneshot::Receiver<()>) {
        let is_closed = {
            let serving = pin!(self.serve(handler));
            matches!(select(closed, serving).await, Either::Left(_))
        };
        if is_closed {
            metrics::counter!("eelgrassdyke_connections_closed_for_others_total").increment(1);
            if !self.receiver.registration.is_idle() {
                self.receiver.permits.clear();
                let problem = "the request made no progress while others waited";
                // Others wait for its descriptor, too, so the rest of its input is not discarded.
                let refusing = self.refuse(StatusCode::REQUEST_TIMEOUT, problem);
                let _ = monoio::time::timeout(CLOSE_TIMEOUT, refusing).await;
            }
        }
    }

    async fn serve(&mut self, handler: Handler) {
        let mut early_head = None;
        loop {
            let outcome = self.next_request(early_head.take()).await;
            // What was received of a request that is not handed over has been dropped.
            if !matches!(outcome, ReadOutcome::Request(_)) {
                self.receiver.permits.clear();
            }
            let request = match outcome {
                ReadOutcome::Request(request) => request,
                ReadOutcome::Invalid(status, problem) => return self.reject(status, problem).await,
                ReadOutcome::Unavailable => {
                    metrics::counter!("eelgrassdyke_requests_without_memory_total").increment(1);
                    let problem = "the process has no memory for the request";
                    return self.reject(StatusCode::SERVICE_UNAVAILABLE, problem).await;
                }
                ReadOutcome::Closed => return,
            };
            let close_requested = requests_close(&request.headers);
            let is_head = request.method == Method::HEAD;
            let exchange = Rc::new(Exchange::new(&self.port.unwritten));
            exchange.hold(self.receiver.permits.drain(..));
            self.receiver.registration.start_handling();
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
        let allowance = self.receiver.allowance.clone();
        let decoded = match early_head {
            Some(decoded) => decoded,
            None => {
                allowance.set(HEAD_BYTES_MAX);
                let timeout = self.port.options.idle_timeout;
                match monoio::time::timeout(timeout, self.receiver.next_head()).await {
                    Ok(decoded) => decoded,
                    Err(_) if allowance.remaining() == HEAD_BYTES_MAX => {
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
            Some(Err(_)) if allowance.is_exhausted() => {
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
        let terms = (self.port.body_policy)(&head.headers);
        let body_bytes_max = terms.bytes_max.min(self.port.intake.request_bytes_max());
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

        let delimiter = match head.headers.contains_key(TRANSFER_ENCODING) {
            true => Delimiter::Chunked,
            false => Delimiter::Length(length),
        };
        let allowance = body_bytes_max.saturating_mul(FRAMING_FACTOR_MAX);
        (self.receiver.allowance).set(allowance.saturating_add(HEAD_BYTES_MAX));
        let timeout = self.port.options.idle_timeout;
        let body = Body::new(delimiter, body_bytes_max);
        let receiving = self.receiver.receive(body, terms.wait_max);
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
        let options = self.port.options;
        let registration = self.receiver.registration.clone();
        self.receiver.allowance.set(HEAD_BYTES_MAX);
        let mut next_head = pin!(self.receiver.next_head().fuse());
        // What has arrived by now shows whether the peer has closed its sending side; the read that finds
        // it is the same as below.
        let mut early_head = match futures_util::poll!(next_head.as_mut()) {
            Poll::Ready(decoded) => Some(decoded),
            Poll::Pending => None,
        };
        let reset = matches!(early_head, Some(Some(Err(HttpError::IOError(_)))));
        let ended = matches!(early_head, Some(None));
        exchange.closed_early.set(reset || ended);
        let is_cancelled = reset || ended && options.cancel_on_close;
        let (part_sender, mut parts) = unbounded();
        answer(part_sender);
        let mut without_body = is_head;
        let mut overflow = pin!(exchange.overflow());
        loop {
            let next = match early_head.is_none() {
                // A peer that has closed its sending side may still read what is ready.
                false if is_cancelled => parts.next().now_or_never()?,
                false => parts.next().await,
                true => match select(parts.next(), next_head.as_mut()).await {
                    Either::Left((part, _)) => part,
                    Either::Right((decoded, _)) => {
                        let reset = matches!(decoded, Some(Err(HttpError::IOError(_))));
                        if reset || decoded.is_none() && options.cancel_on_close {
                            return None;
                        }
                        early_head = Some(decoded);
                        continue;
                    }
                },
            };
            let writing = pin!(write_part(
                &mut self.writer,
                next?,
                exchange,
                is_head,
                &mut without_body,
            ));
            // The peer may take nothing of what is written.
            let written = match select(overflow.as_mut(), writing).await {
                Either::Left(_) => return None,
                Either::Right((written, _)) => written,
            };
            if let Progress::Complete = written.ok()? {
                break;
            }
        }

        // The connection may stay idle from now on, which must not hold up a shutdown.
        drop(open_response);
        registration.end_handling();

        // The response is complete. The read-ahead must not be dropped: the bytes that it has read
        // belong to the next request.
        match early_head {
            _ if close_requested || exchange.closes_connection.get() => {
                Some(AfterResponse::CloseConnection)
            }
            Some(decoded) => Some(AfterResponse::ReadRequest(decoded)),
            None => match monoio::time::timeout(options.idle_timeout, next_head.as_mut()).await {
                Ok(decoded) => Some(AfterResponse::ReadRequest(decoded)),
                Err(_) => Some(AfterResponse::CloseConnection),
            },
        }
    }

    async fn reject(&mut self, status: StatusCode, problem: &'static str) {
        self.refuse(status, problem).await;
        self.drain().await;
    }

    /// Writes the response to a request that is not handed over.
    async fn refuse(&mut self, status: StatusCode, problem: &'static str) {
        log::debug!("rejected a request from {}: {problem}", self.peer);
        let mut headers = HeaderMap::new();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        headers.insert("eelgrassdyke-run", HeaderValue::from_static("no"));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(RETRY_AFTER, RETRY_AFTER_S);
        }
        let body = format!("{{\"error\":{{\"message\":\"{problem}\",\"run\":\"no\"}}}}\n");
        let _ = write::response(&mut self.writer, status, headers, body.into()).await;
    }

    /// Discards input for a while, so that a peer that is still sending can read the response
    /// before the connection is reset.
    async fn drain(&mut self) {
        use monoio::io::AsyncWriteRent as _;

        let _ = self.writer.shutdown().await;
        self.receiver.allowance.discard_up_to(DRAIN_BYTES_MAX);
        let discarding = self
            .receiver
            .decoder
            .get_mut()
            .read_within_allowance(usize::MAX);
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
            if !*without_body {
                write::chunk(writer, &data).await?;
            }
            exchange.record_sent(data.len());
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
