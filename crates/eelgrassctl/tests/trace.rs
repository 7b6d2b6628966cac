//! Selection of the events of one request from the logs of several processes, in causal order and with
//! their context, but without events of other requests.

use eelgrassctl::timeline::merge::TimelineEntry;
use eelgrassctl::timeline::trace;
use eelgrassdyke_core::event::{Code, Event, EventRecord};
use eelgrassdyke_core::id::{Incarnation, RequestId, Server};
use eelgrassdyke_core::time::{HybridTimestamp, WallTime};

fn record(process: &str, number: u64, wall_ms: u64, event: Event) -> EventRecord {
    EventRecord {
        stamp: HybridTimestamp {
            wall: WallTime(wall_ms),
            count: 0,
        },
        process: process.parse().unwrap(),
        incarnation: Incarnation(1),
        number,
        event,
    }
}

/// A log file as stored by a collector: events prefixed with time and host, and lines that are not
/// events.
fn log_file(records: &[EventRecord]) -> String {
    let mut text = String::from("   0.1 host starts\n");
    for record in records {
        let json = serde_json::to_string(record).unwrap();
        text.push_str(&format!(
            "   1.2 host {{\"level\":\"INFO\",{}\n",
            &json[1..]
        ));
    }
    text.push_str(
        "{\"time\":\"now\",\"level\":\"WARN\",\"target\":\"t\",\"message\":\"m\"}\n{broken",
    );
    text
}

fn server(name: &str) -> Server {
    name.parse().unwrap()
}

fn codes(entries: &[TimelineEntry]) -> Vec<Code> {
    let codes = entries.iter().filter_map(|entry| match entry {
        TimelineEntry::Event(record) => Some(record.event.code),
        TimelineEntry::Gap(_) => None,
    });
    codes.collect()
}

fn parsed_logs() -> Vec<EventRecord> {
    let (one, two) = (server("engine-1"), server("engine-2"));
    let dispatched = |server: &Server| {
        let event = Event::new(Code::RequestDispatched, "").server(server);
        event
            .with_fact("running_here", 3)
            .with_fact("service", "draft")
    };
    let entry = [
        record("entry-1", 1, 1000, dispatched(&one).call("a1")),
        record("entry-1", 2, 1001, dispatched(&two).call("b2")),
        record(
            "entry-1",
            3,
            1005,
            Event::new(Code::BackendFailed, "broken off")
                .call("a1")
                .server(&one),
        ),
        record(
            "entry-1",
            4,
            1005,
            Event::new(Code::ServerEjected, "").server(&one),
        ),
        record(
            "entry-1",
            5,
            1006,
            Event::new(Code::RequestRefused, "server_failed").call("a1"),
        ),
    ];
    let control = [
        record(
            "control-1",
            1,
            1003,
            Event::new(Code::ServerLost, "").server(&one),
        ),
        record(
            "control-1",
            2,
            1004,
            Event::new(Code::ServerLost, "").server(&two),
        ),
        record(
            "control-1",
            3,
            1004,
            Event::new(Code::LeaderElected, "term 2"),
        ),
        record("control-1", 4, 9000, Event::new(Code::LeaderLost, "term 2")),
    ];
    let mut records = trace::parse_events(&log_file(&control));
    records.extend(trace::parse_events(&log_file(&entry)));
    records
}

#[test]
fn events_of_a_request_and_their_context_are_in_causal_order() {
    let entries = trace::select_entries(parsed_logs(), "a1", 1000);
    let expected = [
        Code::RequestDispatched,
        Code::ServerLost,
        Code::LeaderElected,
        Code::BackendFailed,
        Code::ServerEjected,
        Code::RequestRefused,
    ];
    assert_eq!(codes(&entries), expected);
    assert!(
        entries[0]
            .to_string()
            .ends_with("running_here=3 service=draft")
    );
}

#[test]
fn without_context_only_events_of_the_request_are_selected() {
    let entries = trace::select_entries(parsed_logs(), "b2", 0);
    assert_eq!(codes(&entries), [Code::RequestDispatched]);
    assert!(trace::select_entries(parsed_logs(), "c3", 1000).is_empty());
}

#[test]
fn an_entry_request_id_selects_events_and_omitted_lines() {
    let request: RequestId = "entry-1/1/7".parse().unwrap();
    let records = vec![
        record(
            "entry-1",
            1,
            50,
            Event::new(Code::RequestTaken, "").request(&request),
        ),
        record(
            "entry-1",
            4,
            51,
            Event::new(Code::LinesOmitted, "").with_fact("lines", 2),
        ),
    ];
    let entries = trace::select_entries(records, "entry-1/1/7", 0);
    assert_eq!(codes(&entries), [Code::RequestTaken, Code::LinesOmitted]);
    assert!(
        entries
            .iter()
            .any(|entry| matches!(entry, TimelineEntry::Gap(_)))
    );
}
