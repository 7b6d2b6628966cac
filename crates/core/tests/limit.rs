//! Limits of servers: exchange of reports, and shares of entries.

use std::time::Duration;

use eelgrassdyke_core::id::{Incarnation, Server};
use eelgrassdyke_core::limit::{LimitLedger, LimitRecord, Share, unit_offset};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::MilliRequestRate;
use eelgrassdyke_core::wire;
use proptest::prelude::*;
use test_case::test_case;

const LIFE: Incarnation = Incarnation(7);

fn at(milliseconds: u64) -> Instant {
    Instant(0) + Duration::from_secs(1000) + Duration::from_millis(milliseconds)
}

fn server(number: usize) -> Server {
    format!("server-{number}").parse().unwrap()
}

fn record(incarnation: Incarnation, limit: Option<u64>, age_ms: u64) -> LimitRecord {
    LimitRecord {
        server: server(1),
        incarnation,
        limit: limit.map(MilliRequestRate),
        age_ms,
    }
}

#[test]
fn older_report_that_arrives_later_does_not_bring_a_limit_back() {
    let mut ledger = LimitLedger::default();
    assert!(ledger.merge(at(0), &record(LIFE, Some(2000), 0)));
    assert!(ledger.merge(at(500), &record(LIFE, None, 0)));
    assert!(!ledger.merge(at(600), &record(LIFE, Some(2000), 300)));
    assert_eq!(ledger.limit(&server(1), LIFE), None);
    assert!(!ledger.has_limits());
}

#[test]
fn limit_holds_for_one_incarnation() {
    let mut ledger = LimitLedger::default();
    ledger.merge(at(0), &record(LIFE, Some(2000), 0));
    assert_eq!(ledger.limit(&server(1), LIFE.next()), None);
    assert!(ledger.merge(at(100), &record(LIFE.next(), Some(500), 0)));
    assert!(!ledger.merge(at(200), &record(LIFE, Some(2000), 0)));
    assert_eq!(
        ledger.limit(&server(1), LIFE.next()),
        Some(MilliRequestRate(500))
    );
}

#[test]
fn repeated_report_is_no_news() {
    let mut ledger = LimitLedger::default();
    assert!(!ledger.merge(at(0), &record(LIFE, None, 0)));
    assert!(ledger.merge(at(100), &record(LIFE, Some(2000), 0)));
    assert!(!ledger.merge(at(200), &record(LIFE, Some(2000), 0)));
    assert!(ledger.merge(at(300), &record(LIFE, Some(1000), 0)));
}

#[test]
fn pages_hold_every_server_and_fit_the_bandwidth_of_control() {
    // 13 KB/s may be spent for control on a host; at most one page is sent every 5 s.
    const BYTES_MAX: usize = 13_000 * 5;
    const SERVERS: usize = 2900;
    let mut ledger = LimitLedger::default();
    for number in 0..SERVERS {
        let record = LimitRecord {
            server: server(number),
            incarnation: Incarnation(1_791_239_588_027_600),
            limit: Some(MilliRequestRate(12_345)),
            age_ms: 0,
        };
        assert!(ledger.merge(at(0), &record));
    }
    let mut received = LimitLedger::default();
    for _ in 0..3 {
        let page = ledger.next_page(at(9000));
        assert!(wire::encode(&page).unwrap().len() <= BYTES_MAX);
        for record in page {
            received.merge(at(9000), &record);
        }
    }
    assert_eq!(received.digest(), ledger.digest());
}

#[test_case(&[Some(8000), Some(4000), Some(2000), Some(1000)]; "uneven demand")]
#[test_case(&[Some(0), Some(0), Some(0)]; "no demand")]
#[test_case(&[Some(9000), None, None]; "unknown demand")]
#[test_case(&[Some(u64::MAX), Some(1), None]; "an absurd demand")]
fn shares_cover_everything_without_overlap(demands: &[Option<u64>]) {
    let demands: Vec<_> = demands
        .iter()
        .map(|rate| rate.map(MilliRequestRate))
        .collect();
    let mut end = 0;
    for index in 0..demands.len() {
        let share = Share::divide(&demands, index);
        assert_eq!(share.start, end);
        end = share.end;
    }
    assert_eq!(end, Share::WHOLE.end);
}

proptest! {
    #[test]
    fn each_unit_of_a_limit_belongs_to_one_entry(
        demands in prop::collection::vec(prop::option::of(0..1_000_000_u64), 1..60),
        units in 1..2000_u64,
        number in 0..1000_usize,
    ) {
        let demands: Vec<_> = demands.iter().map(|rate| rate.map(MilliRequestRate)).collect();
        let offset = unit_offset(&server(number));
        let owned = (0..demands.len())
            .map(|index| Share::divide(&demands, index).count_units(units, offset));
        prop_assert_eq!(owned.sum::<u64>(), units);
    }

    #[test]
    fn narrowed_share_is_part_of_the_share(start in 0..1_000_000_u32, length in 0..1_000_000_u32, count in 0..100_u32) {
        let share = Share { start, end: (start + length).min(Share::WHOLE.end) };
        let narrowed = share.narrowed(count);
        prop_assert!(narrowed.start >= share.start && narrowed.end <= share.end);
        prop_assert!(narrowed.end >= narrowed.start);
        prop_assert!(narrowed.end - narrowed.start <= Share::WHOLE.end / count.max(1));
    }
}
