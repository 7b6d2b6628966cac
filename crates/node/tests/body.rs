//! Bodies of requests: their framing, in parts of any size, and the memory that they take.

use eelgrassdyke_node::http::body::{Body, Delimiter, Error};
use test_case::test_case;

const BYTES_MAX: usize = 10_000;

/// Decodes `wire` in parts of a size; returns the body and what follows it.
fn decode(wire: &[u8], part_bytes: usize) -> Result<(Body, Vec<u8>), Error> {
    let mut body = Body::new(Delimiter::Chunked, BYTES_MAX);
    let mut after = Vec::new();
    for part in wire.chunks(part_bytes) {
        if body.is_complete() {
            after.extend_from_slice(part);
            continue;
        }
        if body.spare() == 0 {
            body.grow(body.next_capacity());
        }
        after.extend_from_slice(body.decode(part)?);
    }
    Ok((body, after))
}

#[test_case("0\r\n\r\n", ""; "empty")]
#[test_case("3\r\nabc\r\n0\r\n\r\n", "abc"; "one chunk")]
#[test_case("0003\r\nabc\r\nA\r\n0123456789\r\n00\r\n\r\n", "abc0123456789"; "zeros and capitals")]
#[test_case("3;name=\"value\"\r\na\r\n\r\n0;x\r\n\r\n", "a\r\n"; "extensions")]
#[test_case("1\r\na\r\n0\r\nname: value\r\nother: x\r\n\r\n", "a"; "trailers")]
fn chunks_are_joined(wire: &str, expected: &str) {
    let wire = format!("{wire}GET /next");
    for part_bytes in 1..=wire.len() {
        let (body, after) = decode(wire.as_bytes(), part_bytes).unwrap();
        assert!(body.is_complete());
        assert_eq!(body.into_bytes(), expected);
        assert_eq!(after, b"GET /next");
    }
}

#[test_case("\r\n", Error::Malformed; "no size")]
#[test_case(";x\r\n", Error::Malformed; "extension without a size")]
#[test_case("g\r\n", Error::Malformed; "no digit")]
#[test_case("-1\r\n", Error::Malformed; "sign")]
#[test_case(" 1\r\n", Error::Malformed; "blank")]
#[test_case("1\na\r\n", Error::Malformed; "line end without a return")]
#[test_case("1;x\na\r\n", Error::Malformed; "line end in an extension")]
#[test_case("1\rx\na\r\n", Error::Malformed; "return within a line")]
#[test_case("1\r\nab\r\n", Error::Malformed; "data longer than the size")]
#[test_case("1\r\na\n0\r\n\r\n", Error::Malformed; "data end without a return")]
#[test_case("0\r\n\rx", Error::Malformed; "return at the end")]
#[test_case("2711\r\n", Error::TooLarge; "chunk over the limit")]
#[test_case("2710\r\n", Error::TooLarge; "chunks over the limit together")]
#[test_case("fffffffffffffffff\r\n", Error::Malformed; "size beyond numbers")]
fn invalid_framing_is_found(wire: &str, expected: Error) {
    let wire = match expected {
        Error::TooLarge if wire.starts_with("2710") => format!("1\r\na\r\n{wire}"),
        _ => wire.to_owned(),
    };
    for part_bytes in 1..=wire.len() {
        let result = decode(wire.as_bytes(), part_bytes);
        assert_eq!(result.map(|_| ()), Err(expected), "parts of {part_bytes}");
    }
}

/// A body in chunks of one byte took fifty times its size.
#[test]
fn small_chunks_take_no_more_than_their_bytes() {
    let mut body = Body::new(Delimiter::Chunked, 1 << 20);
    let mut capacity_max = 0;
    for _ in 0..100_000 {
        if body.spare() < 6 {
            capacity_max = body.next_capacity();
            body.grow(capacity_max);
        }
        assert_eq!(body.decode(b"1\r\na\r\n"), Ok(&b""[..]));
    }
    assert!(capacity_max <= 2 * 100_000, "{capacity_max}");
    body.decode(b"0\r\n\r\n").unwrap();
    assert_eq!(body.into_bytes().len(), 100_000);
}

#[test]
fn body_with_a_length_takes_that_much_at_once() {
    let mut body = Body::new(Delimiter::Length(5000), BYTES_MAX);
    assert_eq!((body.spare(), body.next_capacity()), (0, 5000));
    body.grow(5000);
    assert_eq!(body.spare(), 5000);
    assert_eq!(body.decode(&[b'x'; 5003]).map(<[u8]>::len), Ok(3));
    assert!(body.is_complete());
}
