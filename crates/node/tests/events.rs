//! Whole events, however the bytes are cut.

use eelgrassdyke_node::http::events::EventSplitter;
use test_case::test_case;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(7)]
#[test_case(1000)]
fn events_come_out_whole_and_unchanged(size: usize) {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    let mut last = None;
    for part in STREAM.chunks(size) {
        if let Some(whole) = splitter.push(part).unwrap() {
            passed.extend_from_slice(&whole.bytes);
            assert!(passed.ends_with(b"\n\n") || passed.ends_with(b"\r\n\r\n"));
            last = whole.last_id.or(last);
        }
    }
    assert_eq!(passed, STREAM);
    assert_eq!(last, Some(3));
    assert!(splitter.is_empty());
}

#[test]
fn an_event_that_is_cut_off_stays_back() {
    let mut splitter = EventSplitter::default();
    let whole = splitter
        .push(b"id: 7\ndata: x\n\nid: 8\nda")
        .unwrap()
        .unwrap();
    assert_eq!(
        (whole.bytes.as_ref(), whole.last_id),
        (b"id: 7\ndata: x\n\n".as_slice(), Some(7))
    );
    assert!(!splitter.is_empty());
}

#[test]
fn an_endless_event_is_refused() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 64 << 10];
    assert!((0..64).any(|_| splitter.push(&chunk).is_err()));
}
