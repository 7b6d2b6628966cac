//! Writes responses.
//!
//! Streamed responses and responses without a body are framed here, with one write per part: the
//! library's encoder buffers up to 8 KiB, which would delay the first tokens of a model.

use std::io::Write as _;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, StatusCode};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt};
use monoio_http::common::response::Response;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use super::{Error, Result};

/// The chunk that ends a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Size of the parts in which large responses and events are written.
const PART_BYTES: usize = 64 << 10;

/// Time in which the peer must take what is written, up to 64 KiB: others wait for its memory and for its
/// connection.
pub const STALL_MAX: Duration = Duration::from_secs(5);

/// The interim response that tells a client to send its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Writes a complete response with its length.
pub async fn response<W: AsyncWriteRent>(
    io: &mut W,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Result<()> {
    use monoio::io::sink::SinkExt;

    let payload = match body.is_empty() {
        true => Payload::None,
        false => Payload::Fixed(FixedPayload::new(body)),
    };
    let mut response: Response = Response::new(payload);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let mut encoder = GenericEncoder::new(io);
    let writing = encoder.send_and_flush(response);
    match monoio::time::timeout(STALL_MAX, writing).await {
        Ok(written) => written.map_err(Error::protocol),
        Err(_) => Err(Error::Timeout(STALL_MAX)),
    }
}

/// Writes a complete response with its length, in parts.
pub async fn large_response<W: AsyncWriteRent>(
    io: &mut W,
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
) -> Result<()> {
    headers.remove(CONTENT_LENGTH);
    let framing = Framing::Absent(Some(body.len()));
    head(io, status, &headers, framing).await?;
    write_parts(io, &body).await
}

/// How the body that follows a head is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// With chunked transfer encoding.
    Chunked,
    /// No body, or one that is written apart; the value is its length or the one that a `GET` response would have,
    /// if known.
    Absent(Option<usize>),
}

/// Writes the head of a streamed response or of a response without a body.
pub async fn head<W: AsyncWriteRent>(
    io: &mut W,
    status: StatusCode,
    headers: &HeaderMap,
    framing: Framing,
) -> Result<()> {
    let mut text = Vec::with_capacity(256);
    // Writing to a vector can't fail.
    let _ = write!(
        text,
        "HTTP/1.1 {} {}\r\n",
        status.as_u16(),
        reason_phrase(status)
    );
    for (name, value) in headers {
        text.extend_from_slice(name.as_str().as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value.as_bytes());
        text.extend_from_slice(b"\r\n");
    }
    match framing {
        Framing::Chunked => text.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Framing::Absent(Some(length)) => {
            let _ = write!(text, "content-length: {length}\r\n");
        }
        Framing::Absent(None) => {}
    }
    text.extend_from_slice(b"\r\n");
    write_all(io, text).await
}

/// Writes a part of a streamed body as a chunk; skips an empty part, which would end the body.
pub async fn chunk<W: AsyncWriteRent>(io: &mut W, data: &[u8]) -> Result<()> {
    if data.is_empty() {
        return Ok(());
    }
    let mut text = Vec::with_capacity(data.len() + 16);
    let _ = write!(text, "{:X}\r\n", data.len());
    text.extend_from_slice(data);
    text.extend_from_slice(b"\r\n");
    match text.len() > PART_BYTES {
        true => write_parts(io, &text).await,
        false => write_all(io, text).await,
    }
}

/// Ends a streamed body.
pub async fn last_chunk<W: AsyncWriteRent>(io: &mut W) -> Result<()> {
    write_all(io, LAST_CHUNK.to_vec()).await
}

/// Tells a client that sent `Expect: 100-continue` to send its body.
pub async fn continue_interim<W: AsyncWriteRent>(io: &mut W) -> Result<()> {
    write_all(io, CONTINUE_RESPONSE.to_vec()).await
}

/// Writes bytes in parts.
async fn write_parts<W: AsyncWriteRent>(io: &mut W, bytes: &[u8]) -> Result<()> {
    for part in bytes.chunks(PART_BYTES) {
        write_all(io, part.to_vec()).await?;
    }
    Ok(())
}

/// Writes bytes; an error if the peer doesn't take them within [`STALL_MAX`].
async fn write_all<W: AsyncWriteRent>(io: &mut W, bytes: Vec<u8>) -> Result<()> {
    match monoio::time::timeout(STALL_MAX, io.write_all(bytes)).await {
        Ok((result, _)) => {
            result?;
            Ok(())
        }
        Err(_) => Err(Error::Timeout(STALL_MAX)),
    }
}

fn reason_phrase(status: StatusCode) -> &'static str {
    status.canonical_reason().unwrap_or("Other")
}
