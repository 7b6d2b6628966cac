//! Measures time and memory of control's state at the planned size; prints one line per figure.
//!
//! `cargo run --release -p eelgrassdyke-control --example state_cost`

use std::collections::BTreeMap;
use std::time::Instant as Clock;

use eelgrassdyke_control::directory::Directory;
use eelgrassdyke_control::state::State;
use eelgrassdyke_control::state::claim::Claims;
use eelgrassdyke_control::state::config::Config;
use eelgrassdyke_control::state::validate::validate;
use eelgrassdyke_core::config::{Change, Document, Patch, Submission, TeamSpec, Verdict};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Incarnation, RequestId, Version};
use eelgrassdyke_core::time::{Instant, WallTime};
use eelgrassdyke_core::unit::TokenRate;
use eelgrassdyke_core::wire::claim::{ClaimAction, ClaimOutcome, ClaimRequest, Holder, TeamKey};
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::dispatch::ResponseHead;
use eelgrassdyke_core::wire::encode;

const TEAMS: u64 = 38_000;
const SERVERS: u64 = 2_900;
const CLAIMS: u64 = 100_000;
const CHANGES: u64 = 50;

fn main() {
    // Claims come first, since memory freed by the other measurements would hide their growth.
    measure_claims();
    measure_directory();
    measure_config();
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0u64) * 4096
}

/// Prints the mean time of one run of `work`.
fn timed<T>(label: &str, repetitions: u64, mut work: impl FnMut() -> T) {
    let start = Clock::now();
    for _ in 0..repetitions {
        std::hint::black_box(work());
    }
    let micros = start.elapsed().as_micros() as f64 / repetitions as f64;
    println!("{label}: {micros:.1} us");
}

fn team_spec(number: u64, weight: u32) -> TeamSpec {
    let text = format!(
        r#"{{"tokens":["{}"],"shares":{{"draft":{{"weight":{weight},"cap":900}}}}}}"#,
        Sha256::of(&number.to_le_bytes())
    );
    serde_json::from_str(&text).expect("a team")
}

fn measure_config() {
    let before = resident_bytes();
    let mut document: Document =
        serde_json::from_str(r#"{"services":{"draft":{"kind":"drafting"}}}"#).expect("a document");
    for number in 0..TEAMS {
        let name = format!("team-{number:05}").parse().expect("a name");
        document.teams.insert(name, team_spec(number, 1));
    }
    println!(
        "document as JSON: {} bytes",
        serde_json::to_vec(&document).map_or(0, |b| b.len())
    );
    let copy = document.clone();
    let mut config = Config::default();
    let submission = Submission {
        operation: "whole".parse().expect("a name"),
        base: Version(0),
        change: Change::Replace(document),
        author: "operator".to_owned(),
    };
    let verdict = config.submit(&submission);
    assert!(matches!(verdict, Verdict::Accepted { .. }));
    drop(submission);
    println!(
        "memory, config and one copy: {} bytes",
        resident_bytes() - before
    );
    timed("clone of the document", 10, || copy.clone());
    timed("digest of the whole JSON", 10, || {
        Sha256::of(&serde_json::to_vec(&copy).unwrap_or_default())
    });
    timed("validation of the whole document", 10, || validate(&copy));
    let mut number = 0;
    timed("change of one team", CHANGES, || {
        number += 1;
        let name = format!("team-{:05}", number * 7).parse().expect("a name");
        let patch = Patch {
            teams: BTreeMap::from([(name, Some(team_spec(number * 7, 2)))]),
            ..Patch::default()
        };
        let submission = Submission {
            operation: format!("op-{number}").parse().expect("a name"),
            base: config.version(),
            change: Change::Patch(patch),
            author: "operator".to_owned(),
        };
        config.submit(&submission)
    });
    let digest = config.digest();
    let version = config.version();
    timed("poll of an up-to-date follower", 1000, || {
        config.update_since(version, &digest)
    });
    timed("snapshot for a follower", 10, || {
        config.update_since(Version(0), &digest)
    });
    let snapshot = config.update_since(Version(0), &digest);
    timed("encoding that snapshot", 3, || encode(&snapshot));
    let state = State {
        config,
        ..State::default()
    };
    println!(
        "state encoded: {} bytes",
        encode(&state).map_or(0, |b| b.len())
    );
}

fn server_info(number: u64) -> ServerInfo {
    ServerInfo {
        server: format!("engine-{number:04}").parse().expect("a name"),
        service: "draft".parse().expect("a name"),
        agent: format!("agent-{number:04}").parse().expect("a name"),
        incarnation: Incarnation(1_764_797_040_000),
        address: "10.0.0.1:7301".parse().expect("an address"),
        host: format!("host-{number:04}").parse().expect("a name"),
        data_centre: "hobart-a".parse().expect("a name"),
        state: ServerState::Up,
        slots: 64,
        token_rate: TokenRate(600),
        is_cold: false,
        applied_orders: Vec::new(),
    }
}

fn measure_directory() {
    let mut directory = Directory::new("control-1".parse().expect("a name"), Incarnation(1));
    let mut sequence = 0;
    let mut send_heartbeats = |directory: &mut Directory, now: Instant| {
        sequence += 1;
        for number in 0..SERVERS {
            let load = ServerLoad {
                running: (number % 64) as u32,
                queued: sequence as u32 % 5,
                backlog_tokens: 10_000,
                first_token_us: 300_000,
                token_us: 20_000,
            };
            let heartbeat = Heartbeat {
                info: server_info(number),
                sequence,
                load,
            };
            directory.record_heartbeat(now, heartbeat);
        }
    };
    send_heartbeats(&mut directory, Instant(0));
    let heartbeat = Heartbeat {
        info: server_info(1),
        sequence: 100,
        load: ServerLoad::default(),
    };
    println!(
        "one heartbeat: {} bytes",
        encode(&heartbeat).map_or(0, |b| b.len())
    );
    let mut now = Instant(0);
    timed("2,900 heartbeats", 10, || {
        now.0 += 1_000_000;
        send_heartbeats(&mut directory, now);
    });
    timed("expire", 100, || directory.expire(now));
    timed("next deadline", 100, || directory.next_deadline());
    let complete = directory.update_since(now, None, true);
    println!(
        "complete directory: {} bytes",
        encode(&complete).map_or(0, |b| b.len())
    );
    let held_revision = complete.revision.clone();
    let unchanged = directory.update_since(now, Some(&held_revision), true);
    println!(
        "no server changed: {} bytes",
        encode(&unchanged).map_or(0, |b| b.len())
    );
    timed("update for one entry", 100, || {
        directory.update_since(now, Some(&held_revision), true)
    });
    timed("encoding it", 100, || encode(&unchanged));
}

fn measure_claims() {
    let before = resident_bytes();
    let mut claims = Claims::default();
    let clock = WallTime(1_764_797_040_000);
    let start = Clock::now();
    for number in 0..CLAIMS {
        let request = RequestId {
            entry: "entry-hobart-1".parse().expect("a name"),
            incarnation: Incarnation(1_764_797_040_000),
            number,
        };
        let team_key = TeamKey {
            team: "team-00001".parse().expect("a name"),
            key: format!("018f3b2e-7c00-4abc-8def-{number:012}")
                .parse()
                .expect("a key"),
        };
        let holder = Holder {
            server: "orders-1".parse().expect("a name"),
            incarnation: Incarnation(1_764_797_040_000),
            address: "10.0.0.1:7301".parse().expect("an address"),
        };
        let action = ClaimAction::Claim {
            call_digest: Sha256::of(b"call"),
            holder,
            replaces: None,
        };
        claims.apply(
            clock,
            &ClaimRequest {
                request: request.clone(),
                team_key: team_key.clone(),
                action,
            },
        );
        let outcome = ClaimOutcome::Answered {
            head: ResponseHead {
                status: 200,
                headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            },
            body: vec![7; 64],
        };
        let action = ClaimAction::Settle { claim: 1, outcome };
        claims.apply(
            clock,
            &ClaimRequest {
                request,
                team_key,
                action,
            },
        );
    }
    let micros = start.elapsed().as_micros() as f64 / CLAIMS as f64;
    let growth = resident_bytes() - before;
    println!("claim and settle: {micros:.1} us");
    println!("memory of a settled claim: {} bytes", growth / CLAIMS);
    println!("counted: {} bytes", claims.bytes() / CLAIMS);
    let encoded = encode(&claims).map_or(0, |b| b.len()) as u64;
    println!("a claim in a snapshot: {} bytes", encoded / CLAIMS);
}
