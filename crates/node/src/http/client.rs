//! Makes HTTP/1.1 calls.
//!
//! A [`Connection`] sends one request at a time and reads its answer part by part, as parts arrive.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::Body;
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, FixedBodyDecoder, PayloadDecoder};
use monoio_http::h1::payload::{FixedPayload, FramedPayload, Payload};

use super::{Error, Result};

/// Longest wait for a connection to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to make.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Header fields; the length and the host are added.
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

/// An open connection to one peer.
pub struct Connection {
    codec: ClientCodec<TcpStream>,
    host: HeaderValue,
}

/// The head of an answer, and how its body is read.
pub struct Answer<'a> {
    /// The status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    body: FramedPayload<&'a mut ClientCodec<TcpStream>>,
}

impl Connection {
    /// Opens a connection to `address`.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let opening = TcpStream::connect(address);
        let stream = match monoio::time::timeout(CONNECT_TIMEOUT, opening).await {
            Ok(stream) => stream?,
            Err(_) => return Err(Error::Timeout(CONNECT_TIMEOUT)),
        };
        stream.set_nodelay(true)?;
        let host = HeaderValue::from_str(&address.to_string()).map_err(Error::protocol)?;
        Ok(Self {
            codec: ClientCodec::new(stream),
            host,
        })
    }

    /// Sends `request`.
    pub async fn send(&mut self, request: Request) -> Result<()> {
        let payload: Payload = match request.body.is_empty() {
            true => Payload::None,
            false => Payload::Fixed(FixedPayload::new(request.body)),
        };
        let mut call = http::Request::new(payload);
        *call.method_mut() = request.method;
        *call.uri_mut() = request.path.parse().map_err(Error::protocol)?;
        *call.headers_mut() = request.headers;
        call.headers_mut().insert(header::HOST, self.host.clone());
        self.codec
            .send_and_flush(call)
            .await
            .map_err(Error::protocol)
    }

    /// Waits for the head of the answer.
    pub async fn answer(&mut self) -> Result<Answer<'_>> {
        let response = match self.codec.next().await {
            Some(response) => response.map_err(Error::protocol)?,
            None => return Err(Error::Closed),
        };
        let (head, decoder): (_, PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>) =
            response.into_parts();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: decoder.with_io(&mut self.codec),
        })
    }
}

impl Answer<'_> {
    /// Waits for the next part of the body; none once it is whole.
    pub async fn part(&mut self) -> Result<Option<Bytes>> {
        match self.body.next_data().await {
            Some(part) => part.map(Some).map_err(Error::protocol),
            None => Ok(None),
        }
    }

    /// Reads the rest of the body.
    pub async fn whole(&mut self) -> Result<Bytes> {
        let mut body = Vec::new();
        while let Some(part) = self.part().await? {
            body.extend_from_slice(&part);
        }
        Ok(body.into())
    }

    /// Whether the connection may carry another call once the body is whole.
    pub fn keeps_alive(&self) -> bool {
        let value = self
            .headers
            .get(header::CONNECTION)
            .and_then(|v| v.to_str().ok());
        !value.is_some_and(|text| text.eq_ignore_ascii_case("close"))
    }
}
