//! The direct path: once, in time, within budgets, and true refusals.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::config::{
    Document, MountSpec, RetryPolicy, ServiceSpec, TeamSpec, WeightedService,
};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Incarnation, Server, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{Permille, TokenRate};
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerState};
use eelgrassdyke_core::wire::follow::{ConfigUpdate, DirectoryRevision, DirectoryUpdate, Update};
use eelgrassdyke_core::wire::rank::SlowEngine;
use eelgrassdyke_core::wire::refusal::{Reason, RunStatus};
use eelgrassdyke_core::wire::report::{ReportPage, UsageCounts};
use eelgrassdyke_core::wire::{Message, Sender};
use eelgrassdyke_entry::direct::{Call, Direct, Input, Options, Order, Outcome, Output, Proof};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const KEY: &str = "a-key";
const SLOTS: u32 = 4;

fn sender(name: &str) -> Sender {
    Sender {
        process: name.parse().unwrap(),
        incarnation: Incarnation(1),
        address: "10.0.0.1:7000".parse().unwrap(),
    }
}

fn mount(path: &str, repeat: RetryPolicy, attempts: u32) -> MountSpec {
    MountSpec {
        host: "draft.example".to_owned(),
        prefix: path.to_owned(),
        retry_policy: repeat,
        timeout_ms: 5000,
        latency_target_ms: 100,
        gap_target_ms: 0,
        priority: 1,
        split: vec![WeightedService {
            service: "draft".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: attempts,
        anonymous: false,
    }
}

fn document() -> Document {
    let spec: ServiceSpec = serde_json::from_str(r#"{"kind": "plain"}"#).unwrap();
    let team = TeamSpec {
        tokens: vec![Sha256::of(KEY.as_bytes())],
        shares: BTreeMap::new(),
        priority: None,
    };
    let mut document = Document::default();
    document.services.insert("draft".parse().unwrap(), spec);
    document.teams.insert("salon".parse().unwrap(), team);
    for (name, repeat, attempts) in [
        ("never", RetryPolicy::Never, 1),
        ("idempotent", RetryPolicy::Idempotent, 2),
        ("stream", RetryPolicy::Stream, 1),
        ("resumable", RetryPolicy::Resumable, 2),
    ] {
        let mount = mount(&format!("/{name}/"), repeat, attempts);
        document.mounts.insert(name.parse().unwrap(), mount);
    }
    document
}

fn row(number: usize, incarnation: u64, state: ServerState) -> ServerInfo {
    ServerInfo {
        server: server(number),
        service: "draft".parse().unwrap(),
        agent: "none".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: format!("10.0.1.{number}:8000").parse().unwrap(),
        host: format!("host-{number}").parse().unwrap(),
        data_centre: "hobart".parse().unwrap(),
        state,
        slots: SLOTS,
        token_rate: TokenRate(0),
        applied_orders: Vec::new(),
    }
}

fn server(number: usize) -> Server {
    format!("server-{number}").parse().unwrap()
}

/// A path and what came out of it.
struct Trial {
    now: Instant,
    path: Direct,
    out: Vec<Output>,
    question: u64,
    revision: u64,
    slow: Vec<SlowEngine>,
    /// Pages of the books that were sent.
    pages: Vec<ReportPage>,
}

impl Trial {
    fn new(servers: usize, options: Options) -> Self {
        let options = Options {
            control: vec!["10.0.0.9:7000".parse().unwrap()],
            retry_slack: 1000,
            ..options
        };
        let mut trial = Self {
            // It started long enough ago to have its part of the slack.
            now: Instant(0) + options.retry_window,
            path: Direct::new(Instant(0), &sender("entry-1"), options),
            out: Vec::new(),
            question: 0,
            revision: 0,
            slow: Vec::new(),
            pages: Vec::new(),
        };
        trial.feed(Input::Tick);
        let rows = (1..=servers).map(|n| row(n, 1, ServerState::Up)).collect();
        trial.update(Some(document()), rows);
        trial
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.path.handle(self.now, input, &mut out);
        for output in &out {
            if let Output::Mail {
                message: Message::Poll(follow),
                ..
            } = output
            {
                self.question = follow.poll_number;
            }
            if let Output::Mail {
                message: Message::ReportPage(page),
                ..
            } = output
            {
                self.pages.push(page.clone());
            }
        }
        out.retain(|output| !matches!(output, Output::Mail { .. } | Output::Event(_)));
        self.out.extend(out.clone());
        out
    }

    fn update(&mut self, document: Option<Document>, rows: Vec<ServerInfo>) -> Vec<Output> {
        self.revision += 1;
        let of = ("control-1".parse().unwrap(), Incarnation(1));
        let revision = DirectoryRevision {
            source: of,
            number: self.revision,
            load_number: 0,
        };
        let config = document.map(|document| ConfigUpdate::Snapshot {
            version: Version(1),
            document: Arc::new(document),
        });
        let update = Update {
            committed_version: Version(1),
            has_quorum: true,
            confirmed: true,
            poll_number: self.question,
            config,
            directory: Some(DirectoryUpdate {
                revision,
                base_revision: None,
                warmed_up: true,
                servers: rows.into_iter().map(|row| (row, 1)).collect(),
                removed: Vec::new(),
                loads_complete: true,
                loads: Vec::new(),
            }),
            control: Vec::new(),
            leader: None,
            slow_engines: self.slow.clone(),
            entry_count: 1,
        };
        let from = sender("control-1");
        let message = Message::Update(update);
        self.feed(Input::Mail { from, message })
    }

    fn request(&self, number: u64, path: &str) -> Call {
        Call {
            id: number.to_string(),
            host: "draft.example".to_owned(),
            path: format!("/{path}/x"),
            key: Some(KEY.to_owned()),
            time_left: Some(Duration::from_millis(800)),
            ..Call::default()
        }
    }

    fn call(&mut self, number: u64, path: &str) -> Vec<Output> {
        let call = self.request(number, path);
        let ticket = Ticket(number);
        self.feed(Input::Call { ticket, call })
    }

    fn end(&mut self, number: u64, attempt: u32, outcome: Outcome) -> Vec<Output> {
        let ticket = Ticket(number);
        self.feed(Input::Ended {
            ticket,
            attempt,
            outcome,
        })
    }

    fn wait(&mut self, span: Duration) -> Vec<Output> {
        let end = self.now + span;
        let mut out = Vec::new();
        while self.now < end {
            self.now = self
                .path
                .next_deadline()
                .max(self.now + Duration::from_micros(1))
                .min(end);
            out.extend(self.feed(Input::Tick));
        }
        out
    }
}

fn order(out: &[Output]) -> Option<Order> {
    out.iter().find_map(|output| match output {
        Output::Send { order, .. } => Some(order.clone()),
        _ => None,
    })
}

fn refusal(out: &[Output]) -> Option<(Reason, RunStatus)> {
    out.iter().find_map(|output| match output {
        Output::Refuse { refusal, .. } => Some((refusal.reason, refusal.run)),
        _ => None,
    })
}

#[test_case("never"; "an unsafe call")]
#[test_case("stream"; "a stream that can't be resumed")]
fn what_may_not_repeat_is_not_sent_again_once_it_may_have_run(path: &str) {
    let mut trial = Trial::new(2, Options::default());
    assert!(order(&trial.call(1, path)).unwrap().fresh);
    let out = trial.end(1, 1, Outcome::Lost);
    assert_eq!(order(&out), None);
    assert_eq!(
        refusal(&out),
        Some((Reason::ServerFailed, RunStatus::Unknown))
    );
}

#[test]
fn proof_that_it_has_not_run_lets_an_unsafe_call_go_elsewhere() {
    let mut trial = Trial::new(2, Options::default());
    let first = order(&trial.call(1, "never")).unwrap();
    let second = order(&trial.end(1, 1, Outcome::NotRun(Proof::NotSent))).unwrap();
    assert_ne!(first.server, second.server);
    let out = trial.end(1, 2, Outcome::Answered(200));
    assert_eq!(out, [Output::Deliver { ticket: Ticket(1) }]);
}

#[test]
fn a_safe_call_is_repeated_at_as_many_servers_as_its_mount_allows() {
    let mut trial = Trial::new(5, Options::default());
    let first = order(&trial.call(1, "idempotent")).unwrap();
    let second = order(&trial.end(1, 1, Outcome::Answered(500))).unwrap();
    assert_ne!(first.server, second.server);
    let out = trial.end(1, 2, Outcome::Lost);
    assert_eq!(order(&out), None);
    assert_eq!(
        refusal(&out),
        Some((Reason::ServerFailed, RunStatus::Unknown))
    );
}

#[test]
fn a_stream_that_began_goes_on_only_with_more_of_the_stream() {
    let mut trial = Trial::new(3, Options::default());
    trial.call(1, "resumable");
    let ticket = Ticket(1);
    trial.feed(Input::Passed { ticket, attempt: 1 });
    let out = trial.end(1, 1, Outcome::Lost);
    assert_eq!(order(&out).unwrap().attempt, 2);
    // A whole answer can't follow the events that were passed on.
    let out = trial.end(1, 2, Outcome::Answered(500));
    assert_eq!(out, [Output::Abort { ticket }]);
}

#[test]
fn an_event_that_comes_as_patience_ends_is_not_followed_by_a_refusal() {
    let mut trial = Trial::new(1, Options::default());
    trial.call(1, "resumable");
    let ticket = Ticket(1);
    // The caller's time ends in the very moment in which the first event is passed on.
    trial.now = trial.now + Duration::from_millis(800);
    let out = trial.feed(Input::Passed { ticket, attempt: 1 });
    assert_eq!(refusal(&out), None);
    assert!(out.contains(&Output::Abort { ticket }));
}

#[test]
fn an_outcome_of_an_earlier_attempt_is_dropped() {
    let mut trial = Trial::new(3, Options::default());
    trial.call(1, "idempotent");
    trial.end(1, 1, Outcome::Lost);
    assert!(trial.end(1, 1, Outcome::Answered(200)).is_empty());
    assert_eq!(
        trial.end(1, 2, Outcome::Answered(200)),
        [Output::Deliver { ticket: Ticket(1) }]
    );
}

#[test]
fn the_rest_waits_for_a_place_and_is_refused_as_not_run() {
    let mut trial = Trial::new(1, Options::default());
    // The server answers within 10 ms, so that a place is soon free again.
    for number in 100..300 {
        trial.call(number, "never");
        trial.now = trial.now + Duration::from_millis(10);
        trial.end(number, 1, Outcome::Answered(200));
    }
    let mut sent = 0;
    for number in 0..30 {
        sent += u32::from(order(&trial.call(number, "never")).is_some());
    }
    assert!(
        (SLOTS..SLOTS * 2).contains(&sent),
        "{sent} sent to {SLOTS} slots"
    );
    // A place that is freed goes to one that waits.
    let out = trial.end(0, 1, Outcome::Answered(200));
    assert!(order(&out).is_some());
    // The others learn well within the time they have that they won't be served.
    trial.wait(Duration::from_millis(100));
    let refused = trial.out.iter().filter(|output| {
        matches!(output, Output::Refuse { refusal, .. }
            if refusal.run == RunStatus::No && refusal.retry_after_ms.is_some())
    });
    assert_eq!(refused.count() as u32, 30 - sent - 1);
}

#[test]
fn callers_who_are_refused_together_do_not_return_together() {
    let mut trial = Trial::new(1, Options::default());
    for number in 0..200 {
        trial.call(number, "never");
    }
    trial.wait(Duration::from_millis(200));
    let mut times: BTreeMap<u64, u32> = BTreeMap::new();
    let mut all = 0;
    for output in &trial.out {
        if let Output::Refuse { refusal, .. } = output {
            let after = refusal.retry_after_ms.unwrap();
            // A caller waits for a third of the time that it has left at most.
            assert!(after <= 800 / 3, "asked to come back after {after} ms");
            *times.entry(after / 10).or_default() += 1;
            all += 1;
        }
    }
    let most = times.values().max().copied().unwrap();
    assert!(
        all > 150 && most < all / 6,
        "{most} of {all} return together"
    );
}

#[test]
fn a_call_that_runs_past_its_time_gets_its_answer_at_once() {
    let mut trial = Trial::new(2, Options::default());
    trial.call(1, "never");
    let out = trial.wait(Duration::from_millis(801));
    assert!(out.contains(&Output::Cancel { ticket: Ticket(1) }));
    assert_eq!(refusal(&out), Some((Reason::Deadline, RunStatus::Unknown)));
}

#[test]
fn work_whose_caller_left_is_broken_off() {
    let mut trial = Trial::new(2, Options::default());
    trial.call(1, "resumable");
    let ticket = Ticket(1);
    assert_eq!(
        trial.feed(Input::Gone { ticket }),
        [Output::Cancel { ticket }]
    );
    assert_eq!(trial.path.open_requests(), 0);
}

#[test]
fn unknown_paths_and_keys_are_refused() {
    let mut trial = Trial::new(1, Options::default());
    let out = trial.call(1, "nowhere");
    assert_eq!(refusal(&out), Some((Reason::NoService, RunStatus::No)));
    let call = Call {
        host: "draft.example".to_owned(),
        path: "/never/".to_owned(),
        key: Some("another".to_owned()),
        ..Call::default()
    };
    let ticket = Ticket(2);
    let out = trial.feed(Input::Call { ticket, call });
    assert_eq!(
        refusal(&out),
        Some((Reason::Unauthenticated, RunStatus::No))
    );
}

#[test]
fn a_leaving_server_and_a_slow_one_get_nothing_new() {
    let mut trial = Trial::new(4, Options::default());
    trial.slow = vec![SlowEngine {
        group_closed: false,
        address: "10.0.1.2:8000".parse().unwrap(),
        slowness_permille: 5000,
    }];
    let mut rows: Vec<ServerInfo> = (1..=4).map(|n| row(n, 1, ServerState::Up)).collect();
    rows[0].state = ServerState::Draining;
    trial.update(None, rows);
    let mut used = BTreeSet::new();
    for number in 0..6 {
        used.extend(order(&trial.call(number, "never")).map(|order| order.server));
    }
    assert_eq!(used, BTreeSet::from([server(3), server(4)]));
}

#[test]
fn streams_that_can_be_resumed_leave_a_server_that_turns_slow() {
    let mut trial = Trial::new(4, Options::default());
    let stream = order(&trial.call(1, "resumable")).unwrap();
    let ticket = Ticket(1);
    trial.feed(Input::Passed { ticket, attempt: 1 });
    trial.slow = vec![SlowEngine {
        group_closed: false,
        address: stream.address,
        slowness_permille: 5000,
    }];
    let out = trial.update(None, (1..=4).map(|n| row(n, 1, ServerState::Up)).collect());
    assert_eq!(out[0], Output::Cancel { ticket });
    let resumed = order(&out).unwrap();
    assert_eq!(resumed.attempt, 2);
    assert_ne!(resumed.server, stream.server);
    // It may not move once more: the mount allows two servers.
    trial.slow[0].address = resumed.address;
    let out = trial.update(None, (1..=4).map(|n| row(n, 1, ServerState::Up)).collect());
    assert!(out.is_empty(), "{out:?}");
}

#[test]
fn a_stopping_entry_takes_nothing_that_it_might_have_to_cut() {
    let mut trial = Trial::new(2, Options::default());
    trial.feed(Input::Drain);
    assert!(!trial.path.is_ready());
    assert!(order(&trial.call(1, "never")).is_some());
    trial.wait(Options::default().drain_grace);
    assert_eq!(
        refusal(&trial.call(2, "never")),
        Some((Reason::Draining, RunStatus::No))
    );
}

#[test]
fn further_attempts_keep_to_the_budget_in_any_window() {
    let options = Options {
        retry_share: Permille(200),
        ..Options::default()
    };
    let window = options.retry_window;
    let mut trial = Trial::new(20, options);
    // The trial's slack is for one entry alone.
    let slack = 1000.0;
    let (mut firsts, mut further) = (Vec::new(), Vec::new());
    for number in 0..20_000 {
        trial.now = trial.now + Duration::from_millis(2);
        let mut out = trial.call(number, "idempotent");
        if order(&out).is_some() {
            firsts.push(trial.now);
        }
        for attempt in 1..3 {
            if order(&out).is_none() {
                break;
            }
            out = trial.end(number, attempt, Outcome::Answered(500));
            if order(&out).is_some() {
                further.push(trial.now);
            }
        }
    }
    assert!(
        further.len() > 2000,
        "only {} further attempts",
        further.len()
    );
    for (at, end) in further.iter().enumerate() {
        let recent = |times: &[Instant]| {
            let inside = times
                .iter()
                .filter(|t| **t <= *end && end.since(**t) < window);
            inside.count() as f64
        };
        if at % 97 != 0 {
            continue;
        }
        let bound = 0.2 * recent(&firsts) + slack;
        assert!(recent(&further) <= bound + 1.0);
    }
}

/// What the servers of a random history know of one call.
#[derive(Default)]
struct Book {
    ran: u32,
    refused_as_not_run: bool,
    answers: u32,
    delivered: u32,
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn in_any_history_unsafe_calls_run_once_and_refusals_are_true(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut trial = Trial::new(
        4,
        Options {
            seed,
            ..Options::default()
        },
    );
    let mut books: BTreeMap<u64, Book> = BTreeMap::new();
    let mut running: Vec<(u64, u32)> = Vec::new();
    let mut unsafe_calls = BTreeSet::new();
    for number in 0..30_000 {
        trial.now = trial.now + Duration::from_millis(rng.random_range(0..8));
        let path = ["never", "idempotent", "stream", "resumable"][rng.random_range(0..4)];
        if matches!(path, "never" | "stream") {
            unsafe_calls.insert(number);
        }
        books.insert(number, Book::default());
        let mut out = trial.call(number, path);
        if rng.random_bool(0.02) {
            let rows = (1..=4).map(|n| {
                let state = if rng.random_bool(0.2) {
                    ServerState::Draining
                } else {
                    ServerState::Up
                };
                row(n, 1 + number / 5000, state)
            });
            out.extend(trial.update(None, rows.collect()));
        }
        out.extend(trial.feed(Input::Tick));
        while running.len() > 12 || !running.is_empty() && rng.random_bool(0.5) {
            let at = rng.random_range(0..running.len());
            let (number, attempt) = running.swap_remove(at);
            let book = books.get_mut(&number).unwrap();
            let outcome = match rng.random_range(0..10) {
                0 => Outcome::NotRun(Proof::NotSent),
                1 => Outcome::NotRun(Proof::Rejected),
                2 => Outcome::NotRun(Proof::OtherServer),
                3 => Outcome::Lost,
                4 => Outcome::Answered(500),
                _ => Outcome::Answered(200),
            };
            if !matches!(outcome, Outcome::NotRun(_)) {
                book.ran += 1;
            }
            out.extend(trial.end(number, attempt, outcome));
        }
        for output in out {
            match output {
                Output::Send { ticket, order } => running.push((ticket.0, order.attempt)),
                Output::Cancel { ticket } => {
                    // Broken off on its way: it may have run.
                    books.get_mut(&ticket.0).unwrap().ran += 1;
                    running.retain(|(number, _)| *number != ticket.0);
                }
                Output::Refuse { ticket, refusal } => {
                    let book = books.get_mut(&ticket.0).unwrap();
                    book.refused_as_not_run |= refusal.run == RunStatus::No;
                    book.answers += 1;
                }
                Output::Deliver { ticket } | Output::End { ticket } => {
                    let book = books.get_mut(&ticket.0).unwrap();
                    book.answers += 1;
                    book.delivered += 1;
                }
                Output::Abort { ticket } => books.get_mut(&ticket.0).unwrap().answers += 1,
                _ => {}
            }
        }
    }
    for output in trial.wait(Duration::from_secs(2)) {
        if let Output::Refuse { ticket, .. } | Output::Abort { ticket } = output {
            books.get_mut(&ticket.0).unwrap().answers += 1;
        }
    }
    let mut answered = 0;
    for (number, book) in &books {
        if unsafe_calls.contains(number) {
            assert!(book.ran <= 1, "call {number} ran {} times", book.ran);
        }
        assert!(
            !book.refused_as_not_run || book.ran == 0,
            "call {number} was refused falsely"
        );
        assert!(
            book.answers <= 1,
            "call {number} got {} answers",
            book.answers
        );
        answered += book.answers;
    }
    assert!(answered > 29_000, "{answered} answered");
    assert_eq!(trial.path.open_requests(), 0);

    // The team's books say the same as the callers'.
    let mut held = UsageCounts::default();
    for row in trial.pages.iter().flat_map(|page| &page.rows) {
        assert_eq!(row.team.as_str(), "salon");
        held.merge_max(&row.counts);
    }
    let delivered: u32 = books.values().map(|book| book.delivered).sum();
    assert_eq!(held.received, books.len() as u64);
    assert_eq!(held.delivered, u64::from(delivered));
    assert_eq!(
        held.refused.values().sum::<u64>(),
        u64::from(answered - delivered)
    );
    assert_eq!(held.open, 0);
}

/// Breaks a stream that has begun while every server rejects what comes.
fn broken_stream(trial: &mut Trial) {
    let call = Call {
        time_left: Some(Duration::from_millis(1500)),
        ..trial.request(1, "resumable")
    };
    let ticket = Ticket(1);
    let first = order(&trial.feed(Input::Call { ticket, call })).expect("there are places");
    trial.feed(Input::Passed { ticket, attempt: 1 });
    trial.now = trial.now + Duration::from_millis(700);
    let mut out = trial.end(1, 1, Outcome::Lost);
    let mut asked = BTreeSet::from([first.server]);
    while let Some(order) = order(&out) {
        asked.insert(order.server);
        out = trial.end(1, order.attempt, Outcome::NotRun(Proof::Rejected));
        assert!(refusal(&out).is_none());
    }
    assert!(
        (2..=3).contains(&asked.len()),
        "{asked:?} were asked at once"
    );
    assert_eq!(trial.path.open_requests(), 1);
}

#[test]
fn a_stream_that_began_waits_for_a_stalled_service_and_is_tried_now_and_then() {
    let mut trial = Trial::new(12, Options::default());
    broken_stream(&mut trial);
    let begun = trial.now;
    let (mut probes, mut next) = (0, None);
    while next.is_none() && trial.now.since(begun) < Duration::from_millis(640) {
        next = order(&trial.wait(Duration::from_millis(10)));
        let Some(probe) = next.take_if(|_| probes < 1) else {
            continue;
        };
        probes += 1;
        trial.end(1, probe.attempt, Outcome::NotRun(Proof::Rejected));
    }
    // The service is back: the stream goes on.
    let resumed = next.expect("it is tried again");
    assert!(
        trial.now.since(begun) >= Duration::from_millis(600),
        "tried too often"
    );
    let ticket = Ticket(1);
    let attempt = resumed.attempt;
    trial.feed(Input::Passed { ticket, attempt });
    let out = trial.end(1, attempt, Outcome::Streamed);
    assert!(out.contains(&Output::End { ticket }));
    // And everyone else at once.
    let sent = (2..12).filter(|number| order(&trial.call(*number, "never")).is_some());
    assert_eq!(sent.count(), 10);
}

#[test]
fn a_stream_that_began_ends_at_its_deadline_if_the_service_stays_away() {
    let mut trial = Trial::new(12, Options::default());
    broken_stream(&mut trial);
    let end = trial.now + Duration::from_millis(800);
    let mut out = Vec::new();
    while trial.now < end {
        let step = trial.wait(Duration::from_millis(5));
        if let Some(probe) = order(&step) {
            out.extend(trial.end(1, probe.attempt, Outcome::NotRun(Proof::Rejected)));
        }
        out.extend(step);
    }
    assert!(
        out.contains(&Output::Abort { ticket: Ticket(1) }),
        "{out:?}"
    );
    assert_eq!(trial.path.open_requests(), 0);
}

#[test]
fn engines_whose_group_is_closed_get_nothing_while_control_says_so() {
    let mut trial = Trial::new(3, Options::default());
    let rows = || (1..=3).map(|n| row(n, 1, ServerState::Up)).collect();
    let closed = |n: u8| SlowEngine {
        address: format!("10.0.1.{n}:8000").parse().unwrap(),
        slowness_permille: 1000,
        group_closed: true,
    };
    trial.slow = (1..=3).map(closed).collect();
    trial.update(None, rows());
    // Known to be unservable: refused at once, with a time to come back.
    let out = trial.call(1, "never");
    assert_eq!(refusal(&out), Some((Reason::Overload, RunStatus::No)));
    trial.slow.clear();
    trial.update(None, rows());
    assert!(order(&trial.call(2, "never")).is_some());
    // Control falls silent after it said so: what it said doesn't hold for ever.
    trial.slow = (1..=3).map(closed).collect();
    trial.update(None, rows());
    trial.wait(Duration::from_secs(3));
    assert!(order(&trial.call(3, "never")).is_some());
}

#[test]
fn a_stream_that_began_waits_for_the_budget_of_further_attempts() {
    let options = Options {
        retry_share: Permille(0),
        retry_window: Duration::from_millis(500),
        ..Options::default()
    };
    let window = options.retry_window;
    let mut trial = Trial::new(40, options);
    // The others spend all there is.
    let mut number = 100;
    loop {
        let Some(_) = order(&trial.call(number, "idempotent")) else {
            panic!("there are places");
        };
        let out = trial.end(number, 1, Outcome::Answered(500));
        number += 1;
        match order(&out) {
            Some(again) => trial.end(number - 1, again.attempt, Outcome::Answered(200)),
            None => break,
        };
    }
    let call = Call {
        time_left: Some(window * 2),
        ..trial.request(1, "resumable")
    };
    let ticket = Ticket(1);
    let out = trial.feed(Input::Call { ticket, call });
    assert!(order(&out).is_some());
    trial.feed(Input::Passed { ticket, attempt: 1 });
    let out = trial.end(1, 1, Outcome::Lost);
    assert!(out.is_empty(), "{out:?}");
    // What was spent leaves the window.
    let out = trial.wait(window + Duration::from_millis(100));
    assert_eq!(order(&out).map(|order| order.attempt), Some(2));
}

/// A group with a slow rank passes something on each 0.3 s only, and is full meanwhile.
#[test]
fn a_service_that_is_slow_and_full_is_not_taken_for_stalled() {
    let mut trial = Trial::new(12, Options::default());
    let ticket = Ticket(1);
    assert!(order(&trial.call(1, "resumable")).is_some());
    trial.feed(Input::Passed { ticket, attempt: 1 });
    trial.now = trial.now + Duration::from_millis(300);
    for number in 2..5 {
        let mut out = trial.call(number, "never");
        while let Some(sent) = order(&out).filter(|sent| sent.attempt < 3) {
            out = trial.end(number, sent.attempt, Outcome::NotRun(Proof::Rejected));
        }
    }
    assert!(order(&trial.call(9, "never")).is_some());
}
