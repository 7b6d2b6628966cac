//! Splitting a stream into server-sent events.

use eelgrassdyke_agent::EventSplitter;
use test_case::test_case;

#[test_case("\n"; "line feeds")]
#[test_case("\r\n"; "carriage returns and line feeds")]
fn events_are_split_at_their_ends_for_every_chunk_size(line_end: &str) {
    let events = [
        format!("data: one{line_end}{line_end}"),
        format!("event: note{line_end}data: two{line_end}data: lines{line_end}{line_end}"),
        format!("data: [DONE]{line_end}{line_end}"),
    ];
    let text = format!(
        ": ping{line_end}{line_end}{}{}{}",
        events[0], events[1], events[2]
    );
    for chunk_bytes in 1..=text.len() {
        let mut splitter = EventSplitter::default();
        let mut got = Vec::new();
        for chunk in text.as_bytes().chunks(chunk_bytes) {
            got.extend(splitter.push(chunk));
        }
        let got: Vec<String> = got
            .into_iter()
            .map(|e| String::from_utf8(e).unwrap())
            .collect();
        assert_eq!(got, events, "chunks of {chunk_bytes} bytes");
        assert!(splitter.is_done());
        assert_eq!(splitter.last_data(), b"lines");
        assert_eq!(splitter.buffered_bytes(), 0);
    }
}

#[test]
fn text_that_contains_the_done_marker_does_not_end_the_stream() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"data: say [DONE]\n\ndata: [DONE] is the end\n\n");
    assert!(!splitter.is_done());
}
