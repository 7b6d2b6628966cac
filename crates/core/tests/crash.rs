//! The ledger of crashes: which parts are quarantined, and merging of records.

use std::time::Duration;

use eelgrassdyke_core::crash::{
    ContentKey, Crash, CrashLedger, CrashRecord, FactSync, Quarantine, RECORDS_MAX,
};
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

fn key(part: &str) -> ContentKey {
    ("draft".parse().unwrap(), part.parse().unwrap())
}

fn at(milliseconds: u64) -> Instant {
    Instant(0) + Duration::from_secs(10) + Duration::from_millis(milliseconds)
}

fn record(part: &str, servers: &[u64], requests: u32, age_ms: u64) -> CrashRecord {
    let crash = |server: &u64| Crash {
        server: format!("server-{server}").parse().unwrap(),
        incarnation: Incarnation(1),
        age_ms,
        is_cleared: false,
        found_us: 0,
    };
    CrashRecord {
        service: key(part).0,
        content: key(part).1,
        is_common: false,
        requests,
        crashes: servers.iter().map(crash).collect(),
    }
}

#[test]
fn part_is_quarantined_after_two_crashes_and_longer_after_a_third() {
    let mut ledger = CrashLedger::default();
    ledger.merge(at(0), &record("a", &[1], 1, 0));
    assert!(ledger.quarantine(at(0), &key("a")).is_none());
    assert!(ledger.is_suspected(&key("a")));
    ledger.merge(at(1000), &record("a", &[2], 2, 0));
    let first = ledger.quarantine(at(1000), &key("a")).unwrap();
    assert!(ledger.quarantine(first.until, &key("a")).is_none());
    ledger.merge(first.until, &record("a", &[3], 3, 0));
    let second = ledger.quarantine(first.until, &key("a")).unwrap();
    assert!(second.until.since(first.until) > first.until.since(at(1000)));
}

#[test]
fn several_reports_of_one_crash_count_once() {
    let mut ledger = CrashLedger::default();
    for _ in 0..3 {
        ledger.merge(at(0), &record("a", &[1], 1, 0));
        ledger.merge(at(900), &record("a", &[1], 1, 0));
    }
    assert!(ledger.quarantine(at(900), &key("a")).is_none());
}

#[test]
fn servers_that_end_at_the_same_moment_count_once() {
    let mut ledger = CrashLedger::default();
    ledger.merge(at(0), &record("a", &[1, 2, 3, 4], 1, 0));
    assert!(ledger.quarantine(at(0), &key("a")).is_none());
}

#[test]
fn crashes_of_a_quarantined_part_do_not_count_against_parts_beside_it() {
    let mut ledger = CrashLedger::default();
    for (index, parts) in [["harmful", "a"], ["harmful", "a"], ["harmful", "b"]]
        .iter()
        .enumerate()
    {
        for part in parts {
            let server = index as u64;
            ledger.merge(at(server * 1000), &record(part, &[server], 5, 0));
        }
    }
    assert!(ledger.quarantine(at(2000), &key("harmful")).is_some());
    for part in ["a", "b"] {
        assert!(ledger.quarantine(at(2000), &key(part)).is_none());
        assert!(!ledger.is_suspected(&key(part)));
    }
}

#[test]
fn part_that_occurs_in_more_requests_than_another_with_its_crashes_is_not_quarantined() {
    let mut ledger = CrashLedger::default();
    for server in 0..2 {
        ledger.merge(at(server * 1000), &record("first", &[server], 20, 0));
        ledger.merge(at(server * 1000), &record("harmful", &[server], 3, 0));
    }
    assert!(ledger.quarantine(at(1000), &key("harmful")).is_some());
    assert!(ledger.quarantine(at(1000), &key("first")).is_none());
}

#[test]
fn sound_part_is_released_and_old_records_do_not_bring_its_quarantine_back() {
    let mut ledger = CrashLedger::default();
    let crashes = [record("a", &[1], 1, 0), record("a", &[2], 1, 0)];
    ledger.merge(at(0), &crashes[0]);
    ledger.merge(at(1000), &crashes[1]);
    assert!(ledger.clear(&key("a")));
    for crash in &crashes {
        ledger.merge(at(1500), crash);
    }
    assert!(ledger.quarantine(at(1500), &key("a")).is_none());
    assert!(!ledger.is_suspected(&key("a")));
}

#[test]
fn number_of_records_is_bounded_and_quarantines_are_kept() {
    let mut ledger = CrashLedger::default();
    ledger.merge(at(0), &record("harmful", &[1], 1, 0));
    ledger.merge(at(1000), &record("harmful", &[2], 1, 0));
    for index in 0..2 * RECORDS_MAX as u64 {
        let now = at(2000 + index * 1000);
        ledger.merge(now, &record(&format!("p{index}"), &[100 + index], 1, 0));
    }
    assert_eq!(ledger.records(at(0)).len(), RECORDS_MAX);
    assert!(ledger.quarantine(at(2000), &key("harmful")).is_some());
}

#[test]
fn exchange_of_a_full_ledger_fits_the_bandwidth_of_control() {
    // 13 KB/s may be spent for control on a host; the ledger is sent every 5 s.
    const BYTES_MAX: usize = 13_000 * 5;
    let mut ledger = CrashLedger::default();
    for part in 0..2 * RECORDS_MAX as u64 {
        for server in 0..20 {
            let now = at(part * 1000 + server * 10);
            ledger.merge(now, &record(&format!("{part:012x}"), &[server], 1, 0));
        }
    }
    let sync = FactSync {
        records: ledger.records(at(0)),
        is_complete: true,
        ..FactSync::default()
    };
    let bytes = wire::encode(&sync).unwrap().len();
    assert!(bytes <= BYTES_MAX, "{bytes} bytes");
}

/// A process that has just started receives crashes from before its start. They must not all fall on the
/// moment of its start, where they would count as one with a common cause.
#[test]
fn process_that_has_just_started_knows_the_quarantines_of_the_others() {
    let mut known = CrashLedger::default();
    for server in 0..5 {
        known.merge(at(server * 2000), &record("a", &[server], 5, 0));
    }
    let now = at(10_000);
    let quarantine = known.quarantine(now, &key("a")).unwrap();

    let just_started = Instant(5000);
    let mut started = CrashLedger::default();
    for record in known.records(now) {
        started.merge(just_started, &record);
    }
    let learned = started.quarantine(just_started, &key("a"));
    let learned = learned.expect("the part is quarantined here too");
    assert_eq!(learned.crashes, quarantine.crashes);
    let left = |quarantine: Quarantine, now: Instant| quarantine.until.since(now);
    assert_eq!(left(learned, just_started), left(quarantine, now));
}

/// Ledgers that exchange their records end up with the same quarantines, in whatever order and however
/// often the records arrive, and however late.
#[test]
fn ledgers_that_exchange_their_records_agree() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let input = (
        proptest::collection::vec((0..4_u32, 0..12_u64, 0..50_u64), 1..40),
        proptest::collection::vec(any::<prop::sample::Index>(), 0..80),
        0..5_u32,
    );
    let check = |(crashes, order, cleared): (Vec<_>, Vec<prop::sample::Index>, u32)| {
        let now = at(30_000);
        let mut records = Vec::new();
        for (part, server, delay_ms) in crashes {
            let age_ms = server * 700 + 50 - delay_ms;
            records.push(record(&format!("p{part}"), &[server], part + 1, age_ms));
        }
        let mut one = CrashLedger::default();
        for record in &records {
            one.merge(now, record);
        }
        one.clear(&key(&format!("p{cleared}")));
        let mut other = CrashLedger::default();
        for index in &order {
            other.merge(now, index.get(&records));
        }
        for record in one.records(now) {
            other.merge(now, &record);
        }
        for record in other.records(now) {
            one.merge(now, &record);
        }
        let quarantines = |ledger: &CrashLedger| {
            let keys = ledger.quarantines(now).map(|(key, _)| key.clone());
            keys.collect::<Vec<_>>()
        };
        prop_assert_eq!(quarantines(&one), quarantines(&other));
        prop_assert!(one.records_beyond(now, &other.records(now)).is_empty());
        Ok(())
    };
    let result = TestRunner::new_with_rng(config, rng).run(&input, check);
    assert!(result.is_ok(), "{result:?}");
}

// A process that starts during a long quarantine must learn it from crashes that are older than a record is kept
// without one.
#[test]
fn quarantine_of_an_hour_is_learned_near_its_end() {
    let mut known = CrashLedger::default();
    for server in 0..6 {
        known.merge(at(server * 2000), &record("a", &[server], 5, 0));
    }
    let until = known.quarantine(at(10_000), &key("a")).unwrap().until;
    let now = until - Duration::from_secs(1);
    known.expire(now);
    let mut started = CrashLedger::default();
    for record in known.records(now) {
        started.merge(Instant(5000), &record);
    }
    let learned = started.quarantine(Instant(5000), &key("a")).unwrap();
    assert_eq!(learned.until.since(Instant(5000)), Duration::from_secs(1));
}

// A process that had just started kept records from before its start for ten minutes more.
#[test_case(590; "too old to be taken")]
#[test_case(530; "taken")]
fn record_from_before_the_start_of_a_process_expires_in_time(age_s: u64) {
    let mut started = CrashLedger::default();
    started.merge(Instant(5000), &record("a", &[1], 1, age_s * 1000));
    let later = Instant(5000) + Duration::from_secs(610 - age_s);
    started.expire(later);
    assert!(started.records(later).is_empty());
}

// The end of a quarantine by an operator must be passed on, however long ago the crashes were.
#[test]
fn old_quarantine_that_is_lifted_is_news() {
    let mut ledger = CrashLedger::default();
    for server in 0..6 {
        ledger.merge(at(server * 2000), &record("a", &[server], 5, 0));
    }
    let later = at(10_000) + Duration::from_secs(1800);
    let mut lifted = ledger.clone();
    assert!(lifted.clear(&key("a")));
    assert!(ledger.merge(later, &lifted.record(later, &key("a")).unwrap()));
    assert_eq!(ledger.quarantine(later, &key("a")), None);
    assert_eq!(ledger.records(later).len(), 1);
}
