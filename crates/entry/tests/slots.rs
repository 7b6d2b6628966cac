//! Shares of the slots of servers: all entries together keep to the slots, and use them.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::follow::ServerStatus;
use eelgrassdyke_core::id::{Incarnation, Server, Service};
use eelgrassdyke_core::limit::{LimitRecord, Share};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{MilliRequestRate, TokenRate};
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_entry::direct::{Allotment, ServerPool};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const NOW: Instant = Instant(10_000_000);

fn service() -> Service {
    "draft".parse().unwrap()
}

fn server(number: usize) -> Server {
    format!("server-{number}").parse().unwrap()
}

fn pool(servers: usize, slots: u32) -> ServerPool {
    let mut pool = ServerPool::default();
    for number in 0..servers {
        let info = ServerInfo {
            server: server(number),
            service: service(),
            agent: "none".parse().unwrap(),
            incarnation: Incarnation(1),
            address: "10.0.1.1:8000".parse().unwrap(),
            host: "host-1".parse().unwrap(),
            data_centre: "hobart".parse().unwrap(),
            state: ServerState::Up,
            is_cold: false,
            slots,
            token_rate: TokenRate(0),
            applied_orders: Vec::new(),
        };
        let status = ServerStatus {
            info,
            load: ServerLoad::default(),
            load_measured_at: NOW,
        };
        pool.update_server(NOW, &server(number), Some(&status));
    }
    pool.place_units();
    pool
}

fn units(slots: u32) -> u32 {
    (f64::from(slots) * 1.3).round() as u32
}

type Limits = BTreeMap<Server, u32>;

/// What each entry may use at each server when the entries' demands are `demands`.
fn limits_of_entries(
    pool: &ServerPool,
    units: u32,
    demands: &[Option<MilliRequestRate>],
) -> Vec<Limits> {
    let entries = 0..demands.len();
    let limits = entries.map(|index| {
        let share = Share::divide_units(demands, index, u64::from(units));
        let allotment = Allotment::exact(demands.len() as u32, share);
        pool.slot_limits(NOW, &service(), &allotment)
    });
    limits.collect()
}

fn sum_at(limits: &[Limits], server: &Server) -> u32 {
    limits.iter().map(|limits| limits[server]).sum()
}

/// Twelve entries that each used an equal part of ten slots, rounded up, sent 24 requests to a server, so
/// that engines queued requests while others were free. Demand is uneven and entries come and go.
#[test_case(4, 12, 12; "few entries")]
#[test_case(12, 72, 10; "about as many entries as slots")]
#[test_case(20, 72, 10; "more entries than slots")]
#[test_case(53, 129, 6; "far more entries than slots")]
#[test_case(53, 11, 12; "few servers")]
fn all_entries_together_keep_to_the_slots(entries: usize, servers: usize, slots: u32) {
    let pool = pool(servers, slots);
    let total = units(slots) * servers as u32;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..60 {
        let count = entries - rng.random_range(0..=entries / 4);
        let demands: Vec<_> = (0..count)
            .map(|_| match rng.random_range(0..8) {
                0 => None,
                _ => Some(MilliRequestRate(rng.random_range(0..40_000))),
            })
            .collect();
        let limits = limits_of_entries(&pool, total, &demands);
        for number in 0..servers {
            let sum = sum_at(&limits, &server(number));
            assert_eq!(sum, units(slots), "at server {number}");
        }
        for (entry, limits) in limits.iter().enumerate() {
            let used: u32 = limits.values().sum();
            assert!(used >= 1, "entry {entry} of {count} may use no slot");
        }
    }
}

/// An entry without requests must still be able to send its first one.
#[test_case(20, 72, 10)]
#[test_case(53, 11, 12)]
fn entry_without_demand_may_use_a_slot(entries: usize, servers: usize, slots: u32) {
    let pool = pool(servers, slots);
    let total = units(slots) * servers as u32;
    let mut demands = vec![Some(MilliRequestRate(0)); entries];
    demands[0] = Some(MilliRequestRate(100_000));
    let limits = limits_of_entries(&pool, total, &demands);
    for (entry, limits) in limits.iter().enumerate() {
        let used: u32 = limits.values().sum();
        assert!(used >= 1, "entry {entry} may use no slot");
    }
    // The part that is divided evenly is no larger than the entries need.
    let busy: u32 = limits[0].values().sum();
    let even = f64::max(0.05, 1.02 * entries as f64 / f64::from(total));
    assert!(
        f64::from(busy) >= (0.98 - even) * f64::from(total),
        "{busy} of {total}"
    );
}

/// With few entries an equal part, rounded up, is nearly exact, and the results should be those of before.
#[test]
fn few_entries_use_as_many_slots_as_with_equal_parts() {
    let pool = pool(12, 12);
    let total = units(12) * 12;
    let demands = vec![Some(MilliRequestRate(10_000)); 4];
    for limits in limits_of_entries(&pool, total, &demands) {
        assert!(limits.values().all(|limit| *limit == 4), "{limits:?}");
    }
}

#[test]
fn service_with_few_units_keeps_equal_parts() {
    let pool = pool(3, 6);
    let total = units(6) * 3;
    let demands = vec![Some(MilliRequestRate(10_000)); 12];
    let equal = pool.slot_limits(NOW, &service(), &Allotment::equal(12));
    for limits in limits_of_entries(&pool, total, &demands) {
        assert_eq!(limits, equal);
    }
}

/// Few entries have units of a low limit. With an equal part of the slots each they used half of what the
/// limits allowed.
#[test_case(2000; "fewer units than slots")]
#[test_case(400; "one unit")]
#[test_case(30_000; "more units than slots")]
fn entries_with_units_of_a_limit_divide_the_slots(limit: u64) {
    let (servers, slots) = (72, 10);
    let mut pool = pool(servers, slots);
    let total = units(slots) * servers as u32;
    for number in 0..servers {
        let record = LimitRecord {
            server: server(number),
            incarnation: Incarnation(1),
            limit: Some(MilliRequestRate(limit)),
            age_ms: 0,
        };
        assert!(pool.record_limit(NOW, &record));
    }
    let demands = vec![Some(MilliRequestRate(10_000)); 14];
    let limits = limits_of_entries(&pool, total, &demands);
    for number in 0..servers {
        let server = server(number);
        assert_eq!(sum_at(&limits, &server), units(slots));
        let using = limits.iter().filter(|limits| limits[&server] > 0);
        let owners = (limit / 1000).max(1).min(u64::from(units(slots)));
        assert!(using.count() as u64 <= owners);
    }
}

/// A request that waits in an entry must find each slot that the entry's share allows.
#[test]
fn every_slot_of_the_share_is_found() {
    let (servers, entries) = (72, 20);
    let mut pool = pool(servers, 10);
    let demands = vec![Some(MilliRequestRate(10_000)); entries];
    let allotment = Allotment::exact(entries as u32, Share::divide(&demands, 7));
    let limits = pool.slot_limits(NOW, &service(), &allotment);
    let total: u32 = limits.values().sum();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut started: Limits = BTreeMap::new();
    let at = NOW + Duration::from_millis(1);
    while let Some(choice) = pool.choose_server(at, &service(), &allotment, &[], None, &mut rng) {
        pool.record_start(at, &choice.server);
        *started.entry(choice.server).or_default() += 1;
    }
    assert_eq!(started.values().sum::<u32>(), total);
    assert!(
        started
            .iter()
            .all(|(server, count)| *count == limits[server])
    );
}

/// Wrapped sums left hardly any capacity, so that requests were refused while all servers were idle.
#[test_case(Allotment::equal(1); "equal parts")]
#[test_case(Allotment::exact(1, Share::WHOLE); "exact shares")]
fn servers_with_huge_slots_add_to_the_capacity(allotment: Allotment) {
    let pool = pool(3, u32::MAX);
    let capacity = pool.capacity(NOW, &service(), &allotment);
    assert_eq!(capacity.total_slots(), u32::MAX);
    let limits = pool.slot_limits(NOW, &service(), &allotment);
    assert!(
        limits.values().all(|limit| *limit == u32::MAX),
        "{limits:?}"
    );
}

#[test]
fn servers_with_huge_slots_and_limits_add_to_the_capacity() {
    let mut pool = pool(3, u32::MAX);
    for number in 0..3 {
        let record = LimitRecord {
            server: server(number),
            incarnation: Incarnation(1),
            limit: Some(MilliRequestRate(999_999_000)),
            age_ms: 0,
        };
        pool.record_limit(NOW, &record);
    }
    let capacity = pool.capacity(NOW, &service(), &Allotment::equal(1));
    assert_eq!(capacity.total_slots(), u32::MAX);
}
