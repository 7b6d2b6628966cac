//! Servers in an evacuated data centre get nothing new, on the direct path and on the agent path.
//!
//! Updates are built from JSON, with the names that they have on the wire.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::crash::Fingerprint;
use eelgrassdyke_core::event::{Code, Event, Fact};
use eelgrassdyke_core::follow::poll_number_base;
use eelgrassdyke_core::id::{Incarnation, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::follow::Update;
use eelgrassdyke_core::wire::rank::SlowEngine;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use eelgrassdyke_core::wire::{Message, Sender};
use eelgrassdyke_entry::direct::{
    AttemptOutcome, AttemptSpec, Call, Direct, Input, Options, Output, Pause, ServerSignal,
};
use eelgrassdyke_entry::{self as agent_path, Entry};
use serde_json::{Value, json};
use test_case::test_case;

/// Requests that this entry may send to a server of 4 slots: 4 x 1.3, rounded up.
const SHARE: usize = 6;

fn sender(name: &str) -> Sender {
    Sender {
        process: name.parse().unwrap(),
        incarnation: Incarnation(1),
        address: "10.0.0.1:7000".parse().unwrap(),
    }
}

fn mount(name: &str, policy: &str) -> Value {
    json!({
        "host": "draft.example", "prefix": format!("/{name}/"), "repeat": policy,
        "timeout_ms": 20_000, "target_ms": 4000, "priority": 1, "attempts": 4, "anonymous": true,
        "split": [{"service": "draft", "weight": 1}],
    })
}

fn document(evacuated: &[&str]) -> Value {
    let data_centres: BTreeMap<&str, Value> = evacuated
        .iter()
        .map(|name| (*name, json!({"evacuated": true})))
        .collect();
    json!({
        "services": {"draft": {"kind": "plain"}},
        "mounts": {
            "never": mount("never", "never"),
            "idempotent": mount("idempotent", "idempotent"),
            "resumable": mount("resumable", "resumable"),
        },
        "data_centres": data_centres,
    })
}

/// A server of the directory: number, incarnation, data centre and slots.
type Row = (u32, u64, &'static str, u32);

/// Two servers in each of two data centres.
const FOUR: [Row; 4] = [
    (1, 1, "hobart", 4),
    (2, 1, "hobart", 4),
    (3, 1, "launceston", 4),
    (4, 1, "launceston", 4),
];

fn update(
    version: u64,
    poll_number: u64,
    document: Value,
    rows: &[Row],
    is_confirmed: bool,
) -> Update {
    let rows: Vec<Value> = rows
        .iter()
        .map(|(number, incarnation, data_centre, slots)| {
            let info = json!({
                "server": format!("server-{number}"), "service": "draft", "agent": "none",
                "incarnation": incarnation, "address": format!("10.0.1.{number}:8000"),
                "host": format!("host-{number}"), "data_centre": data_centre, "state": "up",
                "slots": slots, "token_rate": 100, "holds": [],
            });
            json!([info, 1])
        })
        .collect();
    let directory = json!({
        "revision": {"of": ["control-1", 1], "number": version, "loads": 0}, "since": null,
        "settled": true, "rows": rows, "gone": [], "loads": [], "loads_complete": true,
    });
    let update = json!({
        "present": version, "confirmed": is_confirmed, "question": poll_number,
        "config": {"Snapshot": {"version": version, "document": document}},
        "directory": directory, "entries": 1,
    });
    serde_json::from_value(update).unwrap()
}

/// A direct path, the data centre of each server, and the events that were recorded.
struct Harness {
    now: Instant,
    direct: Direct,
    version: u64,
    poll_number: u64,
    last_ticket: u64,
    data_centres: BTreeMap<String, &'static str>,
    events: Vec<Event>,
}

impl Harness {
    /// An entry that has heard nothing from control.
    fn new() -> Self {
        let options = Options {
            control_addresses: vec!["10.0.0.9:7000".parse().unwrap()],
            retry_slack: 1000,
            ..Options::default()
        };
        let mut harness = Self {
            now: Instant(0) + options.retry_window,
            direct: Direct::new(Instant(0), &sender("entry-1"), options),
            version: 0,
            poll_number: 0,
            last_ticket: 0,
            data_centres: BTreeMap::new(),
            events: Vec::new(),
        };
        harness.feed(Input::Tick);
        harness
    }

    /// An entry with four servers and these evacuated data centres.
    fn with_evacuated(evacuated: &[&str]) -> Self {
        let mut harness = Self::new();
        harness.update(evacuated, &FOUR, true);
        harness
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.direct.handle(self.now, input, &mut out);
        for output in &out {
            match output {
                Output::Send {
                    message: Message::Poll(poll),
                    ..
                } => self.poll_number = poll.poll_number,
                Output::Event(event) => self.events.push(event.clone()),
                _ => {}
            }
        }
        out.retain(|output| !matches!(output, Output::Send { .. } | Output::Event(_)));
        out
    }

    fn update(&mut self, evacuated: &[&str], rows: &[Row], is_confirmed: bool) -> Vec<Output> {
        self.version += 1;
        for (number, _, data_centre, _) in rows {
            let server = format!("server-{number}");
            self.data_centres.insert(server, data_centre);
        }
        let document = document(evacuated);
        let update = update(self.version, self.poll_number, document, rows, is_confirmed);
        self.feed(Input::Message {
            from: sender("control-1"),
            message: Message::Update(update),
        })
    }

    /// Submits a call; returns its ticket and the outputs.
    fn call(&mut self, path: &str) -> (u64, Vec<Output>) {
        self.last_ticket += 1;
        let number = self.last_ticket;
        let call = Call {
            id: number.to_string(),
            host: "draft.example".to_owned(),
            path: format!("/{path}/x"),
            time_left: Some(Duration::from_secs(20)),
            fingerprint: Fingerprint::of(&[&number.to_be_bytes()]),
            ..Call::default()
        };
        let ticket = Ticket(number);
        (number, self.feed(Input::Call { ticket, call }))
    }

    fn end(&mut self, number: u64, attempt: u32, outcome: AttemptOutcome) -> Vec<Output> {
        let ticket = Ticket(number);
        self.feed(Input::AttemptEnded {
            ticket,
            attempt,
            outcome,
        })
    }

    /// Forwards the first event of a stream.
    fn forward(&mut self, number: u64, attempt: u32) {
        let ticket = Ticket(number);
        self.feed(Input::EventForwarded { ticket, attempt });
    }

    /// Runs the timers up to the end of `span`.
    fn advance(&mut self, span: Duration) -> Vec<Output> {
        let end = self.now + span;
        let mut out = Vec::new();
        while self.now < end {
            let next = self.direct.next_deadline();
            self.now = next.max(self.now + Duration::from_millis(1)).min(end);
            out.extend(self.feed(Input::Tick));
        }
        out
    }

    /// Data centres of the servers that get attempts.
    fn destinations(&self, out: &[Output]) -> Vec<&'static str> {
        let specs = out.iter().filter_map(sent_attempt);
        specs
            .map(|spec| self.data_centres[spec.server.as_str()])
            .collect()
    }

    /// A stream that has started at a server in `data_centre`; returns its ticket.
    fn start_stream(&mut self, data_centre: &str) -> u64 {
        for _ in 0..40 {
            let (number, out) = self.call("resumable");
            if self.destinations(&out) == [data_centre] {
                self.forward(number, 1);
                return number;
            }
            self.feed(Input::CallerGone {
                ticket: Ticket(number),
            });
        }
        panic!("no attempt in {data_centre}");
    }

    fn codes(&self, wanted: &[Code]) -> Vec<Code> {
        let codes = self.events.iter().map(|event| event.code);
        codes.filter(|code| wanted.contains(code)).collect()
    }
}

fn sent_attempt(output: &Output) -> Option<&AttemptSpec> {
    match output {
        Output::StartAttempt { spec, .. } => Some(spec),
        _ => None,
    }
}

fn refusals(out: &[Output]) -> Vec<Refusal> {
    let refusals = out.iter().filter_map(|output| match output {
        Output::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    });
    refusals.collect()
}

/// Requests that reach an evacuated server in the seconds after the acknowledgement violate a rule.
#[test]
fn evacuated_servers_get_no_new_request() {
    let mut harness = Harness::with_evacuated(&[]);
    let mut before = Vec::new();
    for _ in 0..8 {
        let (number, out) = harness.call("never");
        before.extend(harness.destinations(&out));
        harness.end(number, 1, AttemptOutcome::Responded(200));
    }
    assert!(before.contains(&"hobart"));
    harness.update(&["hobart"], &FOUR, true);
    for _ in 0..200 {
        let (number, out) = harness.call("never");
        assert_eq!(harness.destinations(&out), ["launceston"]);
        harness.end(number, 1, AttemptOutcome::Responded(200));
    }
}

/// The order is pushed as a change of the configuration, without the directory.
#[test]
fn order_takes_effect_without_a_directory_update() {
    let mut harness = Harness::with_evacuated(&[]);
    for (evacuated, expected) in [(&["hobart"][..], 1), (&[], 2)] {
        harness.version += 1;
        let document = document(evacuated);
        let mut update = update(harness.version, harness.poll_number, document, &FOUR, true);
        update.directory = None;
        harness.feed(Input::Message {
            from: sender("control-1"),
            message: Message::Update(update),
        });
        let mut destinations = Vec::new();
        for _ in 0..50 {
            let (number, out) = harness.call("never");
            destinations.extend(harness.destinations(&out));
            harness.end(number, 1, AttemptOutcome::Responded(200));
        }
        assert_eq!(destinations.len(), 50);
        destinations.sort_unstable();
        destinations.dedup();
        assert_eq!(destinations.len(), expected, "{destinations:?}");
    }
}

/// A server that registers in the evacuated data centre, or again with a higher incarnation, is
/// evacuated as well.
#[test]
fn servers_that_register_during_the_evacuation_are_evacuated() {
    let mut harness = Harness::with_evacuated(&["hobart"]);
    let rows = [
        (1, 2, "hobart", 4),
        (3, 1, "launceston", 4),
        (5, 1, "hobart", 4),
    ];
    harness.update(&["hobart"], &rows, true);
    for _ in 0..50 {
        let (number, out) = harness.call("never");
        assert_eq!(harness.destinations(&out), ["launceston"]);
        harness.end(number, 1, AttemptOutcome::Responded(200));
    }
}

/// A request that fails at the last server outside must wait or be refused; the evacuated servers are
/// free, but must not get its retry.
#[test]
fn evacuated_servers_get_no_retry() {
    let rows = [(1, 1, "hobart", 4), (3, 1, "launceston", 4)];
    for _ in 0..20 {
        let mut harness = Harness::new();
        harness.update(&["hobart"], &rows, true);
        let (number, out) = harness.call("idempotent");
        assert_eq!(harness.destinations(&out), ["launceston"]);
        let mut out = harness.end(number, 1, AttemptOutcome::ResponseLost);
        out.extend(harness.advance(Duration::from_secs(21)));
        assert_eq!(harness.destinations(&out), Vec::<&str>::new());
    }
}

/// A stream that was running at an evacuated server and broke off is resumed at a remaining one, and a
/// stream of a remaining server is never resumed at an evacuated one.
#[test_case("hobart")]
#[test_case("launceston")]
fn streams_are_resumed_at_the_remaining_servers(origin: &str) {
    for _ in 0..10 {
        let mut harness = Harness::with_evacuated(&[]);
        let number = harness.start_stream(origin);
        harness.update(&["hobart"], &FOUR, true);
        let out = harness.end(number, 1, AttemptOutcome::ResponseLost);
        assert_eq!(harness.destinations(&out), ["launceston"]);
    }
}

#[test]
fn requests_in_flight_finish_normally() {
    let mut harness = Harness::with_evacuated(&[]);
    let stream = harness.start_stream("hobart");
    let mut out = harness.update(&["hobart"], &FOUR, true);
    out.extend(harness.advance(Duration::from_millis(900)));
    assert_eq!(out, Vec::new(), "neither cancelled nor moved");
    harness.forward(stream, 1);
    let out = harness.end(stream, 1, AttemptOutcome::Streamed);
    let ticket = Ticket(stream);
    assert_eq!(out, [Output::EndStream { ticket }]);
}

/// Servers of an evacuated data centre are switched off, so that their connections break. That is no
/// evidence of a harmful request, and the check would be a connection to an evacuated server.
#[test]
fn broken_connection_of_an_evacuated_server_is_not_checked() {
    let mut harness = Harness::with_evacuated(&[]);
    let stream = harness.start_stream("hobart");
    harness.update(&["hobart"], &FOUR, true);
    let out = harness.end(stream, 1, AttemptOutcome::ResponseLost);
    let is_check = |output: &Output| matches!(output, Output::CheckServer { .. });
    assert!(!out.iter().any(is_check), "{out:?}");
}

/// A restarted entry may first hear from a process with an old configuration. It serves only once a
/// quorum has confirmed one, and then knows of the evacuation.
#[test]
fn restarted_entry_serves_nothing_before_it_knows() {
    let mut harness = Harness::new();
    let mut refused = harness.call("never").1;
    harness.update(&[], &FOUR, false);
    refused.extend(harness.call("never").1);
    assert_eq!(harness.destinations(&refused), Vec::<&str>::new());
    let reasons: Vec<Reason> = refusals(&refused).iter().map(|r| r.reason).collect();
    assert_eq!(reasons, [Reason::NotReady; 2]);
    harness.update(&["hobart"], &FOUR, true);
    for _ in 0..50 {
        let (number, out) = harness.call("never");
        assert_eq!(harness.destinations(&out), ["launceston"]);
        harness.end(number, 1, AttemptOutcome::Responded(200));
    }
}

#[test]
fn service_without_remaining_servers_refuses_at_once_as_not_run() {
    let mut harness = Harness::with_evacuated(&["hobart", "launceston"]);
    for path in ["never", "idempotent", "resumable"] {
        let (_, out) = harness.call(path);
        let refusal = refusals(&out)[0];
        assert_eq!(refusal.reason, Reason::NoServer);
        assert_eq!(refusal.run_status, RunStatus::No);
        let retry_after_ms = refusal.retry_after_ms.expect("a time to come back");
        assert!((1000..10_000).contains(&retry_after_ms), "{retry_after_ms}");
    }
    assert_eq!(harness.direct.open_requests(), 0);
}

/// Queued requests would wait for servers that don't come.
#[test]
fn queued_requests_are_refused_when_the_last_data_centre_is_evacuated() {
    let mut harness = Harness::with_evacuated(&["hobart"]);
    for _ in 0..2 * SHARE {
        assert_eq!(harness.call("never").1.len(), 1);
    }
    for _ in 0..4 {
        let (_, out) = harness.call("never");
        assert_eq!(out, Vec::new(), "queued");
    }
    let out = harness.update(&["hobart", "launceston"], &FOUR, true);
    let refusals = refusals(&out);
    assert_eq!(refusals.len(), 4);
    for refusal in refusals {
        assert_eq!(refusal.run_status, RunStatus::No);
        assert!(refusal.retry_after_ms.is_some());
    }
    assert_eq!(harness.direct.open_requests(), 2 * SHARE);
}

/// A stream that has started can't be refused: it waits, and is resumed when the evacuation ends.
#[test]
fn started_stream_waits_for_the_end_of_the_evacuation() {
    let mut harness = Harness::with_evacuated(&[]);
    let stream = harness.start_stream("hobart");
    harness.update(&["hobart", "launceston"], &FOUR, true);
    let mut out = harness.end(stream, 1, AttemptOutcome::ResponseLost);
    out.extend(harness.advance(Duration::from_secs(8)));
    assert_eq!(out, Vec::new());
    let out = harness.update(&["hobart"], &FOUR, true);
    assert_eq!(harness.destinations(&out), ["launceston"]);
}

/// A slow engine of a service without remaining servers keeps its streams, as there is no other server.
#[test]
fn slow_engine_keeps_its_streams_while_all_servers_are_evacuated() {
    let mut harness = Harness::with_evacuated(&[]);
    let stream = harness.start_stream("hobart");
    harness.update(&["hobart", "launceston"], &FOUR, true);
    harness.version += 1;
    let all = document(&["hobart", "launceston"]);
    let mut update = update(harness.version, harness.poll_number, all, &FOUR, true);
    for number in [1, 2] {
        update.slow_engines.push(SlowEngine {
            address: format!("10.0.1.{number}:8000").parse().unwrap(),
            slowness_permille: 3000,
            group_closed: false,
        });
    }
    let out = harness.feed(Input::Message {
        from: sender("control-1"),
        message: Message::Update(update),
    });
    assert_eq!(out, Vec::new());
    let out = harness.end(stream, 1, AttemptOutcome::Streamed);
    assert_eq!(out.len(), 1);
}

/// Evacuated servers want no pauses, but they are no reason to wait either: while all others want pauses,
/// the caller is told when the first one ends.
#[test]
fn pauses_of_all_remaining_servers_refuse_at_once() {
    let mut harness = Harness::new();
    let rows = [(1, 1, "hobart", 4), (3, 1, "launceston", 4)];
    harness.update(&["hobart"], &rows, true);
    harness.feed(Input::ServerSignal {
        server: "server-3".parse().unwrap(),
        incarnation: Incarnation(1),
        signal: ServerSignal {
            pause: Some(Pause::For(Duration::from_secs(2))),
            ..ServerSignal::default()
        },
    });
    let (_, out) = harness.call("never");
    let refusal = refusals(&out)[0];
    assert_eq!(refusal.run_status, RunStatus::No);
    let retry_after_ms = refusal.retry_after_ms.expect("the end of the pause");
    assert!((2000..=2400).contains(&retry_after_ms), "{retry_after_ms}");
}

/// The estimate that decides between waiting and refusal must not count slots that no request gets.
#[test]
fn expected_wait_counts_the_remaining_servers_only() {
    let places = |evacuated: &[&str], servers: usize| {
        let mut harness = Harness::with_evacuated(evacuated);
        for _ in 0..servers * SHARE {
            let (_, out) = harness.call("never");
            assert_eq!(harness.destinations(&out).len(), 1);
        }
        harness.events.clear();
        harness.call("never");
        let event = harness.events.first().expect("an event");
        let facts: BTreeMap<&str, &Fact> = event.facts.iter().collect();
        (facts["places"].clone(), facts["wait_ms"].clone())
    };
    let (all, short_wait) = places(&[], 4);
    let (rest, long_wait) = places(&["hobart"], 2);
    assert_eq!(all, Fact::Number(4 * SHARE as u64));
    assert_eq!(rest, Fact::Number(2 * SHARE as u64));
    let wait = |fact| match fact {
        Fact::Number(wait_ms) => wait_ms,
        Fact::Text(text) => panic!("{text}"),
    };
    let (short_wait, long_wait) = (wait(short_wait), wait(long_wait));
    assert!((2 * short_wait).abs_diff(long_wait) <= 2);
}

/// The servers come back empty, and all entries would choose them at once. Their utilisation counts
/// double at first: with 20 requests at the others, 13 of the next 20 make both sides even by that
/// measure, 16 when it counts 1.5 times, and all 20 when it is back to its real value.
#[test_case(0, 12..=15; "at the return")]
#[test_case(1500, 15..=17; "halfway")]
#[test_case(3000, 19..=20; "after the slow start")]
fn returning_servers_get_their_requests_gradually(
    after_ms: u64,
    expected: std::ops::RangeInclusive<usize>,
) {
    let rows =
        FOUR.map(|(number, incarnation, data_centre, _)| (number, incarnation, data_centre, 100));
    let mut harness = Harness::new();
    harness.update(&["hobart"], &rows, true);
    for _ in 0..20 {
        harness.call("never");
    }
    harness.update(&[], &rows, true);
    harness.advance(Duration::from_millis(after_ms));
    let mut returned = 0;
    for _ in 0..20 {
        let (_, out) = harness.call("never");
        returned += usize::from(harness.destinations(&out) == ["hobart"]);
    }
    assert!(expected.contains(&returned), "{returned}");
}

/// The timeline must show when each entry obeys the order, once.
#[test]
fn begin_and_end_are_recorded_once() {
    let mut harness = Harness::with_evacuated(&[]);
    for evacuated in [&["hobart"][..], &["hobart"], &[], &[]] {
        harness.update(evacuated, &FOUR, true);
    }
    let codes = [Code::EvacuationBegun, Code::EvacuationEnded];
    assert_eq!(harness.codes(&codes), codes);
    let event = harness
        .events
        .iter()
        .find(|event| event.code == Code::EvacuationBegun)
        .unwrap();
    let facts: BTreeMap<&str, &Fact> = event.facts.iter().collect();
    assert_eq!(facts["data_centre"], &Fact::Text("hobart".to_owned()));
    assert_eq!(facts["config_version"], &Fact::Number(2));
}

/// An order may name a data centre without servers, by mistake or before they register.
#[test]
fn evacuation_of_a_data_centre_without_servers_changes_nothing() {
    let mut harness = Harness::with_evacuated(&["nowhere"]);
    for _ in 0..4 * SHARE {
        let (_, out) = harness.call("never");
        assert_eq!(harness.destinations(&out).len(), 1);
    }
}

/// An entry on the agent path, with a team and a model service.
struct AgentPath {
    entry: Entry,
    version: u64,
    poll_number: u64,
    last_ticket: u64,
}

impl AgentPath {
    fn new() -> Self {
        let local = sender("entry-1");
        let options = agent_path::Options {
            control_addresses: vec!["10.0.0.9:7000".parse().unwrap()],
            ..agent_path::Options::default()
        };
        Self {
            poll_number: poll_number_base(&local),
            entry: Entry::new(local, options),
            version: 0,
            last_ticket: 0,
        }
    }

    fn update(&mut self, evacuated: &[&str]) {
        self.version += 1;
        let mut document = document(evacuated);
        document["services"] = json!({"draft": {"kind": "drafting"}});
        let token = eelgrassdyke_core::digest::Sha256::of(b"token").to_string();
        document["teams"] = json!({"salon": {"tokens": [token]}});
        let mut update = update(self.version, self.poll_number, document, &FOUR, true);
        // Only the first update has the directory; control doesn't send it again.
        if self.version > 1 {
            update.directory = None;
        }
        let input = agent_path::Input::Message {
            from: sender("control-1"),
            message: Message::Update(update),
        };
        self.entry.handle(Instant(0), input, &mut Vec::new());
    }

    fn call(&mut self) -> Vec<agent_path::Output> {
        self.last_ticket += 1;
        let call = agent_path::Call {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: vec![("authorization".to_owned(), "Bearer token".to_owned())],
            body: json!({"model": "draft", "prompt": "x", "max_tokens": 2})
                .to_string()
                .into_bytes(),
        };
        let ticket = Ticket(self.last_ticket);
        let mut out = Vec::new();
        let input = agent_path::Input::Call { ticket, call };
        self.entry.handle(Instant(0), input, &mut out);
        out
    }

    /// Servers that got dispatches for 24 calls.
    fn destinations(&mut self) -> Vec<String> {
        let mut servers = Vec::new();
        for _ in 0..24 {
            for output in self.call() {
                if let agent_path::Output::Dispatch { dispatch, .. } = output {
                    servers.push(dispatch.server.to_string());
                }
            }
        }
        servers.sort();
        servers.dedup();
        servers
    }
}

/// The router must forget evacuated servers, and find them again after the end although no directory
/// update names them.
#[test]
fn agent_path_leaves_evacuated_servers_out() {
    let mut path = AgentPath::new();
    path.update(&[]);
    assert_eq!(path.destinations().len(), 4);
    path.update(&["hobart"]);
    assert_eq!(path.destinations(), ["server-3", "server-4"]);
    path.update(&[]);
    assert_eq!(path.destinations().len(), 4);
}

#[test]
fn agent_path_refuses_as_not_run_while_all_servers_are_evacuated() {
    let mut path = AgentPath::new();
    path.update(&["hobart", "launceston"]);
    let refusals: Vec<Refusal> = path
        .call()
        .iter()
        .filter_map(|output| match output {
            agent_path::Output::Refuse { refusal, .. } => Some(*refusal),
            _ => None,
        })
        .collect();
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].reason, Reason::NoServer);
    assert_eq!(refusals[0].run_status, RunStatus::No);
    assert!(refusals[0].retry_after_ms.is_some());
}
