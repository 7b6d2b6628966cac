//! Streams arrive whole and in time, or end with an error that says so.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::config::{Document, ServiceKind, ServiceSpec, TeamSpec};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::follow::first_poll_number;
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

fn row(at: u16) -> ServerInfo {
    ServerInfo {
        server: format!("server-{at}").parse().unwrap(),
        service: "draft".parse().unwrap(),
        agent: format!("agent-{at}").parse().unwrap(),
        incarnation: Incarnation(1),
        address: address(200 + at),
        host: "host".parse().unwrap(),
        data_centre: "default".parse().unwrap(),
        state: ServerState::Up,
        slots: 4,
        token_rate: TokenRate(100),
        applied_orders: Vec::new(),
    }
}

/// An entry, what it last put out, and what its caller has.
struct Desk {
    entry: Entry,
    out: Vec<Output>,
    heard: Vec<u8>,
    ended: bool,
    refusal: Option<Refusal>,
}

impl Desk {
    fn new() -> Self {
        let control = Sender {
            process: "control".parse().unwrap(),
            incarnation: Incarnation(1),
            address: address(1),
        };
        let me = Sender {
            process: "entry".parse().unwrap(),
            incarnation: Incarnation(1),
            address: address(100),
        };
        let options = Options {
            control: vec![control.address],
            ..Options::default()
        };
        let question = first_poll_number(&me);
        let mut desk = Self {
            entry: Entry::new(me, options),
            out: Vec::new(),
            heard: Vec::new(),
            ended: false,
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
            servers: (0..3).map(|at| (row(at), 1)).collect(),
            removed: Vec::new(),
            loads: Vec::new(),
            loads_complete: true,
        };
        let update = Update {
            committed_version: Version(1),
            confirmed: true,
            poll_number: question,
            config: Some(ConfigUpdate::Snapshot {
                version: Version(1),
                document: document().into(),
            }),
            directory: Some(directory),
            control: Vec::new(),
            has_quorum: true,
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
        };
        let message = Message::Update(update);
        desk.feed(
            0,
            Input::Mail {
                from: control,
                message,
            },
        );
        desk
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
                !(to_caller && self.ended),
                "{output:?} followed the final answer"
            );
            match output {
                Output::Answer { body, .. } => {
                    self.heard.extend_from_slice(body);
                    self.ended = true;
                }
                Output::Data { data, .. } => self.heard.extend_from_slice(data),
                Output::End { .. } => self.ended = true,
                Output::Refuse { refusal, .. } => {
                    self.refusal = Some(*refusal);
                    self.ended = true;
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, stream: bool) -> Dispatch {
        let body = format!("{{\"model\":\"draft\",\"prompt\":\"hello\",\"stream\":{stream}}}");
        let call = Call {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: vec![("authorization".to_owned(), "Bearer token".to_owned())],
            body: body.into_bytes(),
        };
        let ticket = CALLER;
        self.feed(0, Input::Call { ticket, call });
        self.dispatch().expect("the call is dispatched")
    }

    fn dispatch(&self) -> Option<Dispatch> {
        self.out.iter().find_map(|output| match output {
            Output::Dispatch { dispatch, .. } => Some((**dispatch).clone()),
            _ => None,
        })
    }

    fn frame(&mut self, ms: u64, attempt: &AttemptId, frame: Frame) {
        let attempt = attempt.clone();
        self.feed(ms, Input::Frame { attempt, frame });
    }

    fn cancelled(&self, attempt: &AttemptId) -> bool {
        let cancel = Output::Cancel {
            attempt: attempt.clone(),
        };
        self.out.contains(&cancel)
    }
}

fn head(status: u16, kind: &str) -> Frame {
    Frame::Head(ResponseHead {
        status,
        headers: vec![("content-type".to_owned(), kind.to_owned())],
    })
}

fn token(at: u64) -> Frame {
    Frame::Data(format!("data: token {at}\n\n").into_bytes())
}

fn done() -> Frame {
    Frame::Data(b"data: [DONE]\n\n".to_vec())
}

fn end() -> Frame {
    Frame::End {
        tokens: 1,
        queued_us: 0,
        load: ServerLoad::default(),
        credit: Credit::default(),
        cached_tokens: None,
    }
}

fn broken() -> Frame {
    Frame::Failed {
        tokens: 0,
        detail: String::new(),
    }
}

fn unbroken(tokens: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    for at in 0..tokens {
        bytes.extend_from_slice(format!("data: token {at}\n\n").as_bytes());
    }
    bytes.extend_from_slice(b"data: [DONE]\n\n");
    bytes
}

#[test]
fn a_stream_broken_anywhere_is_resumed_byte_for_byte() {
    for cut in 0..=9 {
        let mut desk = Desk::new();
        let first = desk.call(true);
        desk.frame(1, &first.attempt, head(200, "text/event-stream"));
        for at in 0..cut.min(8) {
            desk.frame(2, &first.attempt, token(at));
        }
        if cut == 9 {
            desk.frame(2, &first.attempt, done());
        }
        desk.frame(3, &first.attempt, broken());
        if let Some(second) = desk.dispatch() {
            assert_ne!(second.server, first.server);
            assert_eq!(second.resume_after, cut.min(8));
            desk.frame(4, &second.attempt, head(200, "text/event-stream"));
            // What the broken exchange still brings is foreign now.
            desk.frame(4, &first.attempt, token(7));
            for at in second.resume_after..8 {
                desk.frame(5, &second.attempt, token(at));
            }
            desk.frame(6, &second.attempt, done());
            desk.frame(6, &second.attempt, end());
        }
        assert!(desk.ended);
        assert_eq!(desk.heard, unbroken(8), "cut after {cut}");
    }
}

#[test]
fn a_stream_that_can_not_be_resumed_ends_with_an_error_event() {
    let mut desk = Desk::new();
    let mut attempt = desk.call(true).attempt;
    desk.frame(1, &attempt, head(200, "text/event-stream"));
    desk.frame(2, &attempt, token(0));
    for ms in 3..6 {
        desk.frame(ms, &attempt, broken());
        match desk.dispatch() {
            Some(next) => attempt = next.attempt,
            None => break,
        }
    }
    assert!(desk.ended);
    let text = String::from_utf8(desk.heard.clone()).unwrap();
    assert!(
        text.starts_with("data: token 0\n\nevent: error\n"),
        "{text}"
    );
    assert!(text.contains("\"run\":\"yes\""), "{text}");
}

#[test]
fn a_resumed_stream_never_takes_in_another_kind_of_answer() {
    let mut desk = Desk::new();
    let first = desk.call(true);
    desk.frame(1, &first.attempt, head(200, "text/event-stream"));
    desk.frame(2, &first.attempt, token(0));
    desk.frame(3, &first.attempt, broken());
    let second = desk.dispatch().unwrap();
    desk.frame(4, &second.attempt, head(500, "application/json"));
    assert!(desk.cancelled(&second.attempt));
    let third = desk.dispatch().unwrap();
    desk.frame(5, &second.attempt, Frame::Data(b"{}".to_vec()));
    desk.frame(6, &third.attempt, head(200, "text/event-stream"));
    desk.frame(7, &third.attempt, token(1));
    desk.frame(8, &third.attempt, done());
    desk.frame(8, &third.attempt, end());
    assert_eq!(desk.heard, unbroken(2));
}

#[test]
fn an_error_status_is_tried_elsewhere_and_the_answer_given_whole() {
    let mut desk = Desk::new();
    let first = desk.call(false);
    desk.frame(1, &first.attempt, head(503, "application/json"));
    assert!(desk.cancelled(&first.attempt));
    let second = desk.dispatch().unwrap();
    desk.frame(2, &second.attempt, head(200, "application/json"));
    desk.frame(3, &second.attempt, Frame::Data(b"{\"a\":".to_vec()));
    desk.frame(3, &second.attempt, broken());
    let third = desk.dispatch().unwrap();
    desk.frame(4, &third.attempt, head(200, "application/json"));
    desk.frame(4, &third.attempt, Frame::Data(b"{\"a\":1}".to_vec()));
    assert!(desk.heard.is_empty());
    desk.frame(5, &third.attempt, end());
    assert_eq!(desk.heard, b"{\"a\":1}");
}

#[test]
fn the_deadline_brings_the_final_answer_and_nothing_comes_after_it() {
    let mut desk = Desk::new();
    let first = desk.call(true);
    desk.frame(1, &first.attempt, head(200, "text/event-stream"));
    desk.frame(2, &first.attempt, token(0));
    // The whole rest arrives at the deadline, before any tick.
    desk.frame(TIMEOUT_MS, &first.attempt, token(1));
    assert!(desk.ended);
    assert!(desk.cancelled(&first.attempt));
    let text = String::from_utf8(desk.heard.clone()).unwrap();
    assert!(!text.contains("token 1"), "{text}");
    desk.frame(TIMEOUT_MS + 1, &first.attempt, end());
    assert_eq!(desk.entry.open_requests(), 0);
}

#[test]
fn a_caller_that_leaves_has_its_stream_cancelled() {
    let mut desk = Desk::new();
    let first = desk.call(true);
    desk.frame(1, &first.attempt, head(200, "text/event-stream"));
    desk.feed(2, Input::Gone { ticket: CALLER });
    assert!(desk.cancelled(&first.attempt));
    assert_eq!(desk.entry.open_requests(), 0);
}

#[test]
fn a_refusal_after_an_attempt_that_may_have_run_does_not_say_no() {
    let mut desk = Desk::new();
    let first = desk.call(false);
    desk.frame(1, &first.attempt, broken());
    let second = desk.dispatch().unwrap();
    let refused = Frame::Refused {
        refusal: Refusal::not_run(Reason::ShareExceeded).with_retry_after(Duration::from_secs(1)),
        load: ServerLoad::default(),
        credit: Credit::default(),
    };
    desk.frame(2, &second.attempt, refused);
    let refusal = desk.refusal.unwrap();
    assert_eq!(refusal.run, RunStatus::Unknown);
    assert!((1000..=2000).contains(&refusal.retry_after_ms.unwrap()));
}

#[test]
fn an_answer_larger_than_is_held_is_given_up() {
    let mut desk = Desk::new();
    let first = desk.call(false);
    desk.frame(1, &first.attempt, head(200, "application/json"));
    for _ in 0..9 {
        if !desk.ended {
            desk.frame(2, &first.attempt, Frame::Data(vec![0; 1 << 20]));
        }
    }
    assert!(desk.cancelled(&first.attempt));
    assert_eq!(desk.refusal.unwrap().run, RunStatus::Yes);
}

#[test]
fn a_shutdown_serves_on_for_a_grace_time_and_cuts_nothing_off() {
    let mut desk = Desk::new();
    let first = desk.call(true);
    desk.frame(1, &first.attempt, head(200, "text/event-stream"));
    desk.feed(2, Input::Drain);
    assert!(!desk.entry.is_ready());
    desk.frame(3, &first.attempt, token(0));
    let call = |ticket| Input::Call {
        ticket: Ticket(ticket),
        call: Call {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: vec![("authorization".to_owned(), "Bearer token".to_owned())],
            body: b"{\"model\":\"draft\"}".to_vec(),
        },
    };
    desk.feed(1500, call(2));
    let second = desk.dispatch().expect("a late request is still served");
    desk.frame(1600, &second.attempt, head(200, "application/json"));
    assert!(desk.entry.next_deadline() <= Instant(2_002_000));
    desk.feed(2002, Input::Tick);
    assert!(!desk.entry.is_done());
    desk.feed(2003, Input::Gone { ticket: Ticket(2) });
    desk.frame(2100, &first.attempt, done());
    desk.frame(2100, &first.attempt, end());
    assert_eq!(desk.heard, unbroken(1));
    assert!(desk.entry.is_done());
    desk.ended = false;
    desk.feed(2200, call(3));
    assert_eq!(desk.refusal.unwrap().run, RunStatus::No);
}
