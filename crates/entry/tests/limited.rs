//! Servers that take a limited rate of requests: when the limit of a server ends at an entry.

use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::config::{Document, MountSpec, RetryPolicy, ServiceSpec, WeightedService};
use eelgrassdyke_core::follow::poll_number_base;
use eelgrassdyke_core::id::{Incarnation, Server, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{MilliRequestRate, TokenRate};
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerState};
use eelgrassdyke_core::wire::follow::{ConfigUpdate, DirectoryRevision, DirectoryUpdate, Update};
use eelgrassdyke_core::wire::{Message, Sender};
use eelgrassdyke_entry::direct::{
    AttemptOutcome, Call, Direct, Input, LimitNotice, Options, Output, ServerSignal,
};

const SLOTS: u32 = 10;

fn sender(name: &str) -> Sender {
    Sender {
        process: name.parse().unwrap(),
        incarnation: Incarnation(1),
        address: "10.0.0.1:7000".parse().unwrap(),
    }
}

fn document() -> Document {
    let spec: ServiceSpec = serde_json::from_str(r#"{"kind": "plain"}"#).unwrap();
    let mount = MountSpec {
        host: "draft.example".to_owned(),
        prefix: "/".to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        timeout_ms: 5000,
        latency_target_ms: 400,
        gap_target_ms: 0,
        priority: 1,
        split: vec![WeightedService {
            service: "draft".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 2,
        anonymous: true,
    };
    let mut document = Document::default();
    document.services.insert("draft".parse().unwrap(), spec);
    document.mounts.insert("draft".parse().unwrap(), mount);
    document
}

fn server(number: usize) -> Server {
    format!("server-{number}").parse().unwrap()
}

fn server_info(number: usize) -> ServerInfo {
    ServerInfo {
        server: server(number),
        service: "draft".parse().unwrap(),
        agent: "none".parse().unwrap(),
        incarnation: Incarnation(1),
        address: format!("10.0.1.{number}:8000").parse().unwrap(),
        host: format!("host-{number}").parse().unwrap(),
        data_centre: "hobart".parse().unwrap(),
        state: ServerState::Up,
        slots: SLOTS,
        token_rate: TokenRate(0),
        is_cold: false,
        applied_orders: Vec::new(),
    }
}

/// One entry with one control process.
struct Harness {
    now: Instant,
    direct: Direct,
    document: Arc<Document>,
    servers: Vec<ServerInfo>,
    revision: u64,
    next_update: Instant,
    calls: u64,
}

impl Harness {
    fn new(servers: Vec<ServerInfo>, document: Document, options: Options) -> Self {
        let options = Options {
            control_addresses: vec!["10.0.0.9:7000".parse().unwrap()],
            ..options
        };
        let now = Instant(0) + Duration::from_secs(100);
        let mut harness = Self {
            now,
            direct: Direct::new(now, &sender("entry-1"), options),
            document: Arc::new(document),
            servers,
            revision: 0,
            next_update: now,
            calls: 0,
        };
        harness.update();
        harness
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.direct.handle(self.now, input, &mut out);
        out
    }

    /// Sends an update from control.
    fn update(&mut self) -> Vec<Output> {
        self.revision += 1;
        self.next_update = self.now + Duration::from_secs(1);
        let servers = self.servers.iter().cloned();
        let update = Update {
            committed_version: Version(1),
            has_quorum: true,
            confirmed: true,
            poll_number: poll_number_base(&sender("entry-1")),
            config: Some(ConfigUpdate::Snapshot {
                version: Version(1),
                document: self.document.clone(),
            }),
            directory: Some(DirectoryUpdate {
                revision: DirectoryRevision {
                    source: ("control-1".parse().unwrap(), Incarnation(1)),
                    number: self.revision,
                    load_number: 0,
                },
                base_revision: None,
                warmed_up: true,
                servers: servers.map(|info| (info, self.revision)).collect(),
                removed: Vec::new(),
                departed: Vec::new(),
                loads_complete: true,
                loads: Vec::new(),
            }),
            control_addresses: Vec::new(),
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
            shares: Vec::new(),
            coordinators: Default::default(),
        };
        let from = sender("control-1");
        let message = Message::Update(update);
        self.feed(Input::Message { from, message })
    }

    /// Lets time pass, with an update from control every second.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let next = self.direct.next_deadline().min(self.next_update);
            self.now = next.max(self.now + Duration::from_micros(1)).min(end);
            match self.now >= self.next_update {
                true => self.update(),
                false => self.feed(Input::Tick),
            };
        }
    }

    /// Submits a call; returns the server that it is sent to.
    fn call(&mut self) -> Option<Server> {
        self.calls += 1;
        let ticket = Ticket(self.calls);
        let call = Call {
            id: self.calls.to_string(),
            host: "draft.example".to_owned(),
            path: "/x".to_owned(),
            ..Call::default()
        };
        let out = self.feed(Input::Call { ticket, call });
        out.into_iter().find_map(|output| match output {
            Output::StartAttempt { spec, .. } => Some(spec.server),
            _ => None,
        })
    }

    fn end_call(&mut self) {
        let ticket = Ticket(self.calls);
        let outcome = AttemptOutcome::Responded(200);
        self.feed(Input::AttemptEnded {
            ticket,
            attempt: 1,
            outcome,
        });
    }

    /// Submits calls one after the other, each of which ends at once; returns how many were sent.
    fn count_sent(&mut self, calls: usize) -> usize {
        let mut sent = 0;
        for _ in 0..calls {
            if self.call().is_some() {
                sent += 1;
                self.end_call();
            }
        }
        sent
    }
}

/// A limit is forgotten 600 s after its last observation. An entry that kept its token bucket beyond that
/// sent one request in five seconds to a server that it otherwise took for unlimited, and neither its
/// messages nor its log showed why.
#[test]
fn limit_that_is_forgotten_no_longer_holds() {
    let mut harness = Harness::new(vec![server_info(1)], document(), Options::default());
    assert_eq!(harness.count_sent(1), 1);
    let signal = ServerSignal {
        limit: LimitNotice::Limited(MilliRequestRate(0)),
        ..ServerSignal::default()
    };
    harness.feed(Input::ServerSignal {
        server: server(1),
        incarnation: Incarnation(1),
        signal,
    });
    assert_eq!(harness.count_sent(5), 0);
    harness.advance(Duration::from_secs(590));
    assert!(harness.direct.is_limited(&server(1)));
    assert!(harness.count_sent(5) <= 1);
    harness.advance(Duration::from_secs(20));
    assert!(!harness.direct.is_limited(&server(1)));
    assert_eq!(harness.count_sent(5), 5);
}
