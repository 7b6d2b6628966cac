//! Events of a stream are told apart however their bytes arrive.

use eelgrassdyke_agent::Splitter;
use test_case::test_case;

#[test_case("\n"; "line feeds")]
#[test_case("\r\n"; "carriage returns and line feeds")]
fn events_are_whole_wherever_the_bytes_are_cut(end: &str) {
    let events = [
        format!("data: one{end}{end}"),
        format!("event: note{end}data: two{end}data: lines{end}{end}"),
        format!("data: [DONE]{end}{end}"),
    ];
    let text = format!(": ping{end}{end}{}{}{}", events[0], events[1], events[2]);
    for cut in 1..=text.len() {
        let mut splitter = Splitter::default();
        let mut got = Vec::new();
        for part in text.as_bytes().chunks(cut) {
            got.extend(splitter.push(part));
        }
        let got: Vec<String> = got
            .into_iter()
            .map(|e| String::from_utf8(e).unwrap())
            .collect();
        assert_eq!(got, events, "cut every {cut}");
        assert!(splitter.is_done());
        assert_eq!(splitter.last(), b"lines");
        assert_eq!(splitter.held_bytes(), 0);
    }
}

#[test]
fn text_that_only_mentions_the_end_is_not_the_end() {
    let mut splitter = Splitter::default();
    splitter.push(b"data: say [DONE]\n\ndata: [DONE] is the end\n\n");
    assert!(!splitter.is_done());
}
