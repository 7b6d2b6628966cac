//! The exchange of crash records and limits of servers.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use eelgrassdyke_control::crashes::{FactRelay, Source};
use eelgrassdyke_core::crash::{
    Content, ContentKey, Crash, CrashLedger, CrashRecord, FactSync, Fingerprint, RECORDS_MAX,
};
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::limit::LimitRecord;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::MilliRequestRate;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Control processes.
const PROCESSES: usize = 5;

/// Longest delivery of a crash record, in milliseconds.
const DELAY_MS_MAX: u64 = 300;

/// Entries.
const ENTRIES: usize = 20;

/// `contact_ms` of the smallest deployment: time after which the exchange must be at rest.
const REST: Duration = Duration::from_secs(3);

fn key(content: usize) -> ContentKey {
    let fingerprint = Fingerprint::of(&[&content.to_be_bytes()]);
    ("drafting".parse().unwrap(), Content::Request(fingerprint))
}

fn crash(server: usize, age_ms: u64, found_us: u64) -> Crash {
    Crash {
        server: format!("server-{server}").parse().unwrap(),
        incarnation: Incarnation(1),
        age_ms,
        is_cleared: false,
        found_us,
    }
}

fn record(content: usize, crashes: Vec<Crash>) -> CrashRecord {
    let (service, content) = key(content);
    CrashRecord {
        service,
        content,
        is_common: false,
        requests: 1,
        crashes,
    }
}

fn sync_of(records: Vec<CrashRecord>) -> FactSync {
    FactSync {
        records,
        ..FactSync::default()
    }
}

/// The records of control processes after an exchange, and what it took.
struct Exchange {
    relays: Vec<FactRelay>,
    /// When the last message was sent, in milliseconds.
    last_ms: u64,
    /// Messages among control processes.
    messages: u64,
}

/// What entries send to control processes, by the time at which it arrives, in milliseconds, and the receiver.
type Arrivals = Vec<(u64, usize, FactSync)>;

/// Lets control processes exchange what arrives from entries; each message takes one of the `delays`.
fn exchange(
    arrivals: Arrivals,
    delays_ms: RangeInclusive<u64>,
    length: Duration,
    rng: &mut ChaCha8Rng,
) -> Exchange {
    let mut relays = vec![FactRelay::default(); PROCESSES];
    let mut deliveries: BTreeMap<(u64, u64), (usize, Source, FactSync)> = BTreeMap::new();
    let mut number = 0;
    for (at_ms, to, sync) in arrivals {
        number += 1;
        deliveries.insert((at_ms, number), (to, Source::Entry, sync));
    }
    let (mut last_ms, mut messages) = (0, 0);
    for now_ms in 0..length.as_millis() as u64 {
        let now = Instant(0) + Duration::from_secs(1) + Duration::from_millis(now_ms);
        while let Some(delivery) = deliveries.first_entry()
            && delivery.key().0 <= now_ms
        {
            let (to, source, sync) = delivery.remove();
            relays[to].merge(now, &sync, source);
        }
        for (from, relay) in relays.iter_mut().enumerate() {
            let Some(due) = relay.take_due(now) else {
                continue;
            };
            last_ms = now_ms;
            for to in (0..PROCESSES).filter(|to| *to != from) {
                number += 1;
                messages += 1;
                let at_ms = now_ms + rng.random_range(delays_ms.clone());
                deliveries.insert((at_ms, number), (to, Source::Control, due.peers.clone()));
            }
        }
    }
    Exchange {
        relays,
        last_ms,
        messages,
    }
}

// More records, or more crashes of one content, than a ledger holds were dropped and passed on again for
// ever, so that control processes had no time left for their log.
#[test_case(500, 129; "many contents")]
#[test_case(1, 129; "one content")]
#[test_case(65, 1; "one record too many")]
fn exchange_of_crash_records_comes_to_rest(contents: usize, servers: usize) {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Arrivals::new();
        for index in 0..contents.max(servers) {
            let crash = crash(index % servers, 0, seed + index as u64);
            let sync = sync_of(vec![record(index % contents, vec![crash])]);
            for to in 0..PROCESSES {
                arrivals.push((rng.random_range(0..DELAY_MS_MAX), to, sync.clone()));
            }
        }
        let run = exchange(arrivals, 1..=DELAY_MS_MAX, 2 * REST, &mut rng);
        assert!(
            run.last_ms < REST.as_millis() as u64,
            "seed {seed}: a message after {} ms",
            run.last_ms
        );
        let held = |relay: &FactRelay| {
            let records = relay.ledger().records(Instant(0)).into_iter();
            let servers = |record: CrashRecord| {
                let crashes = record.crashes.into_iter();
                let servers = crashes.map(|crash| crash.server).collect::<Vec<_>>();
                (record.content, servers)
            };
            records.map(servers).collect::<Vec<_>>()
        };
        for relay in &run.relays[1..] {
            assert_eq!(held(relay), held(&run.relays[0]), "seed {seed}");
        }
    }
}

// Two limits of a server, observed by two entries within the time of a message, replaced each other for ever.
#[test_case(1, 1; "host")]
#[test_case(1, 20; "data centre")]
#[test_case(30, 60; "region")]
#[test_case(1, 300; "far")]
#[test_case(100, 100; "even")]
fn exchange_of_limits_comes_to_rest(delay_ms_min: u64, delay_ms_max: u64) {
    let mut failed = Vec::new();
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Arrivals::new();
        for (observed_ms, limit) in [(0, 3000), (rng.random_range(0..=delay_ms_max), 5000)] {
            let limits = vec![LimitRecord {
                server: "server-1".parse().unwrap(),
                incarnation: Incarnation(1),
                limit: Some(MilliRequestRate(limit)),
                age_ms: 0,
            }];
            let sync = FactSync {
                limits,
                ..FactSync::default()
            };
            for to in 0..PROCESSES {
                let at_ms = observed_ms + rng.random_range(delay_ms_min..=delay_ms_max);
                arrivals.push((at_ms, to, sync.clone()));
            }
        }
        let run = exchange(arrivals, delay_ms_min..=delay_ms_max, 20 * REST, &mut rng);
        if run.last_ms >= REST.as_millis() as u64 {
            failed.push((seed, run.last_ms, run.messages));
        }
    }
    assert!(
        failed.is_empty(),
        "{} of 50 seeds; (seed, last message after ms, messages): {failed:?}",
        failed.len()
    );
}

// A process that restarted while many servers ended did not learn of content that had been quarantined before.
#[test_case(RECORDS_MAX; "full ledger")]
#[test_case(RECORDS_MAX - 1; "one place left")]
#[test_case(0; "empty ledger")]
fn restarted_process_learns_of_a_quarantine(held: usize) {
    let start = Instant(0) + Duration::from_secs(1000);
    let found_us = 1_000_000;
    let mut ledger = CrashLedger::default();
    let crashes = (1000..1006).map(|server| crash(server, (server as u64 - 1000) * 5000, found_us));
    ledger.merge(start, &record(0, crashes.collect()));
    let later = start + Duration::from_secs(60);
    let mut restarted = CrashLedger::default();
    for content in 1..=RECORDS_MAX + 20 {
        let crash = crash(content, 0, found_us + 60_000_000 + content as u64);
        let record = record(content, vec![crash]);
        ledger.merge(later, &record);
        if content > RECORDS_MAX + 20 - held {
            restarted.merge(later, &record);
        }
    }
    assert!(ledger.quarantine(later, &key(0)).is_some(), "not kept");
    let beyond = ledger.records_beyond(later, &restarted.records(later));
    restarted.merge_all(later, &beyond);
    assert!(
        restarted.quarantine(later, &key(0)).is_some(),
        "the restarted process was sent {} records",
        beyond.len()
    );
}

// Records that had expired at one process came back as news from another one.
#[test_case(2; "near")]
#[test_case(300; "far")]
fn expired_crash_records_do_not_come_back(delay_ms_max: u64) {
    const SYNC_INTERVAL_MS: u64 = 10_000;
    let mut worst = (0, 0, 0);
    for seed in 0..10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut relays = vec![FactRelay::default(); PROCESSES];
        let mut entries = vec![CrashLedger::default(); ENTRIES];
        let start = Instant(0) + Duration::from_secs(1000);
        for content in 0..RECORDS_MAX {
            let record = record(content, vec![crash(content, 0, content as u64)]);
            for relay in &mut relays {
                let late = Duration::from_millis(rng.random_range(0..=delay_ms_max));
                relay.merge(start + late, &sync_of(vec![record.clone()]), Source::Entry);
            }
            for entry in &mut entries {
                let late = Duration::from_millis(rng.random_range(0..=2 * delay_ms_max));
                entry.merge(start + late, &record);
            }
        }
        for relay in &mut relays {
            relay.take_due(start + Duration::from_secs(1));
        }
        let mut deliveries: BTreeMap<(u64, u64), (usize, usize, FactSync)> = BTreeMap::new();
        let mut number = 0;
        let offsets: Vec<u64> = (0..ENTRIES)
            .map(|_| rng.random_range(0..SYNC_INTERVAL_MS))
            .collect();
        let (mut last_ms, mut count) = (0, 0);
        for now_ms in 580_000..660_000 {
            let now = start + Duration::from_millis(now_ms);
            while let Some(delivery) = deliveries.first_entry()
                && delivery.key().0 <= now_ms
            {
                let (to, from, sync) = delivery.remove();
                if to >= PROCESSES {
                    entries[to - PROCESSES].merge_all(now, &sync.records);
                    continue;
                }
                let source = match from < PROCESSES {
                    true => Source::Control,
                    false => Source::Entry,
                };
                relays[to].merge(now, &sync, source);
                if sync.is_complete {
                    let response = relays[to].response(now, &sync);
                    number += 1;
                    let at_ms = now_ms + rng.random_range(1..=delay_ms_max);
                    deliveries.insert((at_ms, number), (from, to, response));
                }
            }
            for (index, entry) in entries.iter_mut().enumerate() {
                if now_ms % SYNC_INTERVAL_MS != offsets[index] {
                    continue;
                }
                entry.expire(now);
                let mut sync = sync_of(entry.records(now));
                sync.is_complete = true;
                number += 1;
                let at_ms = now_ms + rng.random_range(1..=delay_ms_max);
                let to = rng.random_range(0..PROCESSES);
                deliveries.insert((at_ms, number), (to, PROCESSES + index, sync));
            }
            for (from, relay) in relays.iter_mut().enumerate() {
                let Some(due) = relay.take_due(now) else {
                    continue;
                };
                last_ms = now_ms;
                for to in (0..PROCESSES + ENTRIES).filter(|to| *to != from) {
                    let sync = match to < PROCESSES {
                        true => &due.peers,
                        false => &due.followers,
                    };
                    if sync.is_empty() {
                        continue;
                    }
                    number += 1;
                    count += 1;
                    let at_ms = now_ms + rng.random_range(1..=delay_ms_max);
                    deliveries.insert((at_ms, number), (to, from, sync.clone()));
                }
            }
        }
        worst = worst.max((count, last_ms, seed));
    }
    assert_eq!(worst.0, 0, "(messages, last after ms, seed): {worst:?}");
}
