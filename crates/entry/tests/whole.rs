//! Tests of streamed and complete responses: each is delivered complete and before its deadline, or
//! ends with an error.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::config::{Document, ServiceKind, ServiceSpec, TeamSpec};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::follow::poll_number_base;
use eelgrassdyke_core::id::{AttemptId, Incarnation, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{Bytes, Permille, TokenRate};
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::dispatch::{Credit, Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::follow::{ConfigUpdate, DirectoryRevision, DirectoryUpdate, Update};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use eelgrassdyke_core::wire::{Message, Sender};
use eelgrassdyke_entry::{Call, Entry, Input, Options, Output};

const TIMEOUT_MS: u64 = 10_000;
const CALLER: Ticket = Ticket(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn document() -> Document {
    let spec = ServiceSpec {
        kind: ServiceKind::Drafting,
        timeout_ms: TIMEOUT_MS,
        body_max: Bytes(1 << 20),
        routes: Vec::new(),
        retry_budget: Permille(100),
        checks_fence: false,
        direct: None,
    };
    let team = TeamSpec {
        tokens: vec![Sha256::of(b"token")],
        shares: BTreeMap::new(),
        priority: None,
    };
    let mut document = Document::default();
    document.services.insert("draft".parse().unwrap(), spec);
    document.teams.insert("hobart".parse().unwrap(), team);
    document
}

fn server_info(index: u16) -> ServerInfo {
    ServerInfo {
        server: format!("server-{index}").parse().unwrap(),
        service: "draft".parse().unwrap(),
        agent: format!("agent-{index}").parse().unwrap(),
        incarnation: Incarnation(1),
        address: address(200 + index),
        host: "host".parse().unwrap(),
        data_centre: "default".parse().unwrap(),
        state: ServerState::Up,
        slots: 4,
        token_rate: TokenRate(100),
        is_cold: false,
        applied_orders: Vec::new(),
    }
}

/// An entry, its last outputs, and the response that its caller has received.
struct Harness {
    entry: Entry,
    out: Vec<Output>,
    received: Vec<u8>,
    finished: bool,
    refusal: Option<Refusal>,
}

impl Harness {
    fn new() -> Self {
        let control = Sender {
            process: "control".parse().unwrap(),
            incarnation: Incarnation(1),
            address: address(1),
        };
        let local = Sender {
            process: "entry".parse().unwrap(),
            incarnation: Incarnation(1),
            address: address(100),
        };
        let options = Options {
            control_addresses: vec![control.address],
            ..Options::default()
        };
        let poll_number = poll_number_base(&local);
        let mut harness = Self {
            entry: Entry::new(local, options),
            out: Vec::new(),
            received: Vec::new(),
            finished: false,
            refusal: None,
        };
        let directory = DirectoryUpdate {
            revision: DirectoryRevision {
                source: (control.process.clone(), Incarnation(1)),
                number: 1,
                load_number: 0,
            },
            base_revision: None,
            warmed_up: true,
            servers: (0..3).map(|index| (server_info(index), 1)).collect(),
            removed: Vec::new(),
            departed: Vec::new(),
            loads: Vec::new(),
            loads_complete: true,
        };
        let update = Update {
            committed_version: Version(1),
            confirmed: true,
            poll_number,
            config: Some(ConfigUpdate::Snapshot {
                version: Version(1),
                document: document().into(),
            }),
            directory: Some(directory),
            control_addresses: Vec::new(),
            has_quorum: true,
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
            shares: Vec::new(),
            coordinators: Default::default(),
        };
        let message = Message::Update(update);
        harness.feed(
            0,
            Input::Message {
                from: control,
                message,
            },
        );
        harness
    }

    fn feed(&mut self, ms: u64, input: Input) {
        self.out.clear();
        let now = Instant(ms * 1000);
        self.entry.handle(now, input, &mut self.out);
        for output in &self.out {
            let to_caller = !matches!(
                output,
                Output::Dispatch { .. }
                    | Output::Cancel { .. }
                    | Output::Send { .. }
                    | Output::Event(_)
            );
            assert!(
                !(to_caller && self.finished),
                "{output:?} was sent after the final response"
            );
            match output {
                Output::Respond { body, .. } => {
                    self.received.extend_from_slice(body);
                    self.finished = true;
                }
                Output::StreamData { data, .. } => self.received.extend_from_slice(data),
                Output::EndStream { .. } => self.finished = true,
                Output::Refuse { refusal, .. } => {
                    self.refusal = Some(*refusal);
                    self.finished = true;
                }
                _ => {}
            }
        }
    }

    fn submit_call(&mut self, stream: bool) -> Dispatch {
        let body = format!("{{\"model\":\"draft\",\"prompt\":\"hello\",\"stream\":{stream}}}");
        let call = Call {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: vec![("authorization".to_owned(), "Bearer token".to_owned())],
            body: body.into_bytes(),
        };
        let ticket = CALLER;
        self.feed(0, Input::Call { ticket, call });
        self.last_dispatch().expect("the call should be dispatched")
    }

    fn last_dispatch(&self) -> Option<Dispatch> {
        self.out.iter().find_map(|output| match output {
            Output::Dispatch { dispatch, .. } => Some((**dispatch).clone()),
            _ => None,
        })
    }

    fn feed_frame(&mut self, ms: u64, attempt: &AttemptId, frame: Frame) {
        let attempt = attempt.clone();
        self.feed(ms, Input::Frame { attempt, frame });
    }

    fn is_cancelled(&self, attempt: &AttemptId) -> bool {
        let cancel = Output::Cancel {
            attempt: attempt.clone(),
        };
        self.out.contains(&cancel)
    }
}

fn head_frame(status: u16, content_type: &str) -> Frame {
    Frame::Head(ResponseHead {
        status,
        headers: vec![("content-type".to_owned(), content_type.to_owned())],
    })
}

fn token_frame(index: u64) -> Frame {
    Frame::Data(format!("data: token {index}\n\n").into_bytes())
}

fn done_frame() -> Frame {
    Frame::Data(b"data: [DONE]\n\n".to_vec())
}

fn end_frame() -> Frame {
    Frame::End {
        tokens: 1,
        queued_us: 0,
        load: ServerLoad::default(),
        credit: Credit::default(),
        cached_tokens: None,
    }
}

fn failed_frame() -> Frame {
    Frame::Failed {
        tokens: 0,
        detail: String::new(),
    }
}

fn complete_stream(tokens: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    for index in 0..tokens {
        bytes.extend_from_slice(format!("data: token {index}\n\n").as_bytes());
    }
    bytes.extend_from_slice(b"data: [DONE]\n\n");
    bytes
}

#[test]
fn stream_interrupted_after_any_event_is_resumed_byte_for_byte() {
    for events_before_failure in 0..=9 {
        let mut harness = Harness::new();
        let first = harness.submit_call(true);
        harness.feed_frame(1, &first.attempt, head_frame(200, "text/event-stream"));
        for index in 0..events_before_failure.min(8) {
            harness.feed_frame(2, &first.attempt, token_frame(index));
        }
        if events_before_failure == 9 {
            harness.feed_frame(2, &first.attempt, done_frame());
        }
        harness.feed_frame(3, &first.attempt, failed_frame());
        if let Some(second) = harness.last_dispatch() {
            assert_ne!(second.server, first.server);
            assert_eq!(second.resume_after, events_before_failure.min(8));
            harness.feed_frame(4, &second.attempt, head_frame(200, "text/event-stream"));
            // A late frame of the failed exchange must be dropped.
            harness.feed_frame(4, &first.attempt, token_frame(7));
            for index in second.resume_after..8 {
                harness.feed_frame(5, &second.attempt, token_frame(index));
            }
            harness.feed_frame(6, &second.attempt, done_frame());
            harness.feed_frame(6, &second.attempt, end_frame());
        }
        assert!(harness.finished);
        assert_eq!(
            harness.received,
            complete_stream(8),
            "failed after {events_before_failure} events"
        );
    }
}

#[test]
fn stream_that_can_not_be_resumed_ends_with_an_error_event() {
    let mut harness = Harness::new();
    let mut attempt = harness.submit_call(true).attempt;
    harness.feed_frame(1, &attempt, head_frame(200, "text/event-stream"));
    harness.feed_frame(2, &attempt, token_frame(0));
    for ms in 3..6 {
        harness.feed_frame(ms, &attempt, failed_frame());
        match harness.last_dispatch() {
            Some(next) => attempt = next.attempt,
            None => break,
        }
    }
    assert!(harness.finished);
    let text = String::from_utf8(harness.received.clone()).unwrap();
    assert!(
        text.starts_with("data: token 0\n\nevent: error\n"),
        "{text}"
    );
    assert!(text.contains("\"run\":\"yes\""), "{text}");
}

#[test]
fn resumed_stream_accepts_only_a_stream() {
    let mut harness = Harness::new();
    let first = harness.submit_call(true);
    harness.feed_frame(1, &first.attempt, head_frame(200, "text/event-stream"));
    harness.feed_frame(2, &first.attempt, token_frame(0));
    harness.feed_frame(3, &first.attempt, failed_frame());
    let second = harness.last_dispatch().unwrap();
    harness.feed_frame(4, &second.attempt, head_frame(500, "application/json"));
    assert!(harness.is_cancelled(&second.attempt));
    let third = harness.last_dispatch().unwrap();
    harness.feed_frame(5, &second.attempt, Frame::Data(b"{}".to_vec()));
    harness.feed_frame(6, &third.attempt, head_frame(200, "text/event-stream"));
    harness.feed_frame(7, &third.attempt, token_frame(1));
    harness.feed_frame(8, &third.attempt, done_frame());
    harness.feed_frame(8, &third.attempt, end_frame());
    assert_eq!(harness.received, complete_stream(2));
}

#[test]
fn error_status_is_retried_at_another_server() {
    let mut harness = Harness::new();
    let first = harness.submit_call(false);
    harness.feed_frame(1, &first.attempt, head_frame(503, "application/json"));
    assert!(harness.is_cancelled(&first.attempt));
    let second = harness.last_dispatch().unwrap();
    harness.feed_frame(2, &second.attempt, head_frame(200, "application/json"));
    harness.feed_frame(3, &second.attempt, Frame::Data(b"{\"a\":".to_vec()));
    harness.feed_frame(3, &second.attempt, failed_frame());
    let third = harness.last_dispatch().unwrap();
    harness.feed_frame(4, &third.attempt, head_frame(200, "application/json"));
    harness.feed_frame(4, &third.attempt, Frame::Data(b"{\"a\":1}".to_vec()));
    assert!(harness.received.is_empty());
    harness.feed_frame(5, &third.attempt, end_frame());
    assert_eq!(harness.received, b"{\"a\":1}");
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut harness = Harness::new();
    let first = harness.submit_call(true);
    harness.feed_frame(1, &first.attempt, head_frame(200, "text/event-stream"));
    harness.feed_frame(2, &first.attempt, token_frame(0));
    // The rest of the response arrives exactly at the deadline, before any tick.
    harness.feed_frame(TIMEOUT_MS, &first.attempt, token_frame(1));
    assert!(harness.finished);
    assert!(harness.is_cancelled(&first.attempt));
    let text = String::from_utf8(harness.received.clone()).unwrap();
    assert!(!text.contains("token 1"), "{text}");
    harness.feed_frame(TIMEOUT_MS + 1, &first.attempt, end_frame());
    assert_eq!(harness.entry.open_requests(), 0);
}

#[test]
fn attempt_is_cancelled_when_the_caller_disconnects() {
    let mut harness = Harness::new();
    let first = harness.submit_call(true);
    harness.feed_frame(1, &first.attempt, head_frame(200, "text/event-stream"));
    harness.feed(2, Input::CallerGone { ticket: CALLER });
    assert!(harness.is_cancelled(&first.attempt));
    assert_eq!(harness.entry.open_requests(), 0);
}

#[test]
fn refusal_after_an_attempt_that_may_have_run_is_not_run_no() {
    let mut harness = Harness::new();
    let first = harness.submit_call(false);
    harness.feed_frame(1, &first.attempt, failed_frame());
    let second = harness.last_dispatch().unwrap();
    let refused = Frame::Refused {
        refusal: Refusal::not_run(Reason::ShareExceeded).with_retry_after(Duration::from_secs(1)),
        load: ServerLoad::default(),
        credit: Credit::default(),
    };
    harness.feed_frame(2, &second.attempt, refused);
    let refusal = harness.refusal.unwrap();
    assert_eq!(refusal.run_status, RunStatus::Unknown);
    assert!((1000..=2000).contains(&refusal.retry_after_ms.unwrap()));
}

#[test]
fn response_above_the_size_limit_is_refused() {
    let mut harness = Harness::new();
    let first = harness.submit_call(false);
    harness.feed_frame(1, &first.attempt, head_frame(200, "application/json"));
    for _ in 0..9 {
        if !harness.finished {
            harness.feed_frame(2, &first.attempt, Frame::Data(vec![0; 1 << 20]));
        }
    }
    assert!(harness.is_cancelled(&first.attempt));
    assert_eq!(harness.refusal.unwrap().run_status, RunStatus::Yes);
}

#[test]
fn shutdown_serves_new_requests_for_the_grace_period_and_completes_open_ones() {
    let mut harness = Harness::new();
    let first = harness.submit_call(true);
    harness.feed_frame(1, &first.attempt, head_frame(200, "text/event-stream"));
    harness.feed(2, Input::Drain);
    assert!(!harness.entry.is_ready());
    harness.feed_frame(3, &first.attempt, token_frame(0));
    let call = |ticket| Input::Call {
        ticket: Ticket(ticket),
        call: Call {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: vec![("authorization".to_owned(), "Bearer token".to_owned())],
            body: b"{\"model\":\"draft\"}".to_vec(),
        },
    };
    harness.feed(1500, call(2));
    let second = harness
        .last_dispatch()
        .expect("a request within the grace period should be dispatched");
    harness.feed_frame(1600, &second.attempt, head_frame(200, "application/json"));
    assert!(harness.entry.next_deadline() <= Instant(2_002_000));
    harness.feed(2002, Input::Tick);
    assert!(!harness.entry.is_done());
    harness.feed(2003, Input::CallerGone { ticket: Ticket(2) });
    harness.feed_frame(2100, &first.attempt, done_frame());
    harness.feed_frame(2100, &first.attempt, end_frame());
    assert_eq!(harness.received, complete_stream(1));
    assert!(harness.entry.is_done());
    harness.finished = false;
    harness.feed(2200, call(3));
    assert_eq!(harness.refusal.unwrap().run_status, RunStatus::No);
}
