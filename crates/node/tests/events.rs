//! Tests of the splitter for server-sent events, with the stream cut at arbitrary bytes.

use eelgrassdyke_node::http::events::EventSplitter;
use test_case::test_case;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(7)]
#[test_case(1000)]
fn events_are_complete_and_unchanged(part_bytes: usize) {
    let mut splitter = EventSplitter::default();
    let mut forwarded = Vec::new();
    let mut last_id = None;
    for part in STREAM.chunks(part_bytes) {
        if let Some(events) = splitter.push(part).unwrap() {
            forwarded.extend_from_slice(&events.bytes);
            assert!(forwarded.ends_with(b"\n\n") || forwarded.ends_with(b"\r\n\r\n"));
            last_id = events.last_id.or(last_id);
        }
    }
    assert_eq!(forwarded, STREAM);
    assert_eq!(last_id, Some(3));
    assert!(splitter.is_empty());
}

#[test]
fn incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let events = splitter
        .push(b"id: 7\ndata: x\n\nid: 8\nda")
        .unwrap()
        .unwrap();
    assert_eq!(
        (events.bytes.as_ref(), events.last_id),
        (b"id: 7\ndata: x\n\n".as_slice(), Some(7))
    );
    assert!(!splitter.is_empty());
}

#[test]
fn oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 64 << 10];
    assert!((0..64).any(|_| splitter.push(&chunk).is_err()));
}

#[test_case("id: 4\n\nid: 5\n\n", true, true; "the next events")]
#[test_case("id: 9\n\n", true, true; "a later event")]
#[test_case("weight-versions: 2\nid: 4\ndata: x\n\n", true, true; "an id after another field")]
#[test_case(": ping\n\nid: 4\n\n", true, true; "a comment")]
#[test_case("id: 3\n\nid: 4\n\n", false, false; "the last event once more")]
#[test_case("id: 4\n\nid: 4\n\n", false, false; "an event twice")]
#[test_case("id: 5\r\n\r\nid: 4\r\n\r\n", false, false; "the wrong order")]
#[test_case("data: x\n\nid: 4\n\n", true, false; "an event without an id")]
#[test_case("id: x\n\n", true, false; "an id that is no number")]
fn order_of_events_follows_from_their_ids(stream: &str, follows: bool, all_numbered: bool) {
    let events = EventSplitter::default().push(stream.as_bytes());
    let events = events.unwrap().unwrap();
    assert_eq!(events.follow(Some(3), false), follows);
    assert_eq!(events.follow(Some(3), true), all_numbered);
}
