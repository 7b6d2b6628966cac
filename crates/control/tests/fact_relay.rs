//! The exchange of records of crashes among control processes.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_control::crashes::{FactRelay, Source};
use eelgrassdyke_core::crash::{Content, Crash, CrashRecord, FactSync, Fingerprint};
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::time::Instant;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Control processes.
const PROCESSES: usize = 5;

/// Longest delivery of a message, in milliseconds.
const DELAY_MS_MAX: u64 = 300;

/// `contact_ms` of the smallest deployment: time after which the exchange must be at rest.
const REST: Duration = Duration::from_secs(3);

fn record(content: usize, server: usize, found_us: u64) -> CrashRecord {
    CrashRecord {
        service: "drafting".parse().unwrap(),
        content: Content::Request(Fingerprint::of(&[&content.to_be_bytes()])),
        is_common: false,
        requests: 1,
        crashes: vec![Crash {
            server: format!("server-{server}").parse().unwrap(),
            incarnation: Incarnation(1),
            age_ms: 0,
            is_cleared: false,
            found_us,
        }],
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
        let mut relays = vec![FactRelay::default(); PROCESSES];
        let mut deliveries: BTreeMap<(u64, u64), (usize, Source, FactSync)> = BTreeMap::new();
        let mut number = 0;
        let mut send = |deliveries: &mut BTreeMap<_, _>, at_ms: u64, to, source, sync| {
            number += 1;
            deliveries.insert((at_ms, number), (to, source, sync));
        };
        for index in 0..contents.max(servers) {
            let records = vec![record(
                index % contents,
                index % servers,
                seed + index as u64,
            )];
            let sync = FactSync {
                records,
                ..FactSync::default()
            };
            for to in 0..PROCESSES {
                let at_ms = rng.random_range(0..DELAY_MS_MAX);
                send(&mut deliveries, at_ms, to, Source::Entry, sync.clone());
            }
        }
        let mut last_ms = 0;
        for now_ms in 0..2 * REST.as_millis() as u64 {
            let now = Instant(0) + Duration::from_secs(1) + Duration::from_millis(now_ms);
            while let Some(entry) = deliveries.first_entry()
                && entry.key().0 <= now_ms
            {
                let (to, source, sync) = entry.remove();
                relays[to].merge(now, &sync, source);
            }
            for (from, relay) in relays.iter_mut().enumerate() {
                let Some(due) = relay.take_due(now) else {
                    continue;
                };
                last_ms = now_ms;
                for to in (0..PROCESSES).filter(|to| *to != from) {
                    let at_ms = now_ms + rng.random_range(1..=DELAY_MS_MAX);
                    send(
                        &mut deliveries,
                        at_ms,
                        to,
                        Source::Control,
                        due.peers.clone(),
                    );
                }
            }
        }
        assert!(
            last_ms < REST.as_millis() as u64,
            "seed {seed}: a message after {last_ms} ms"
        );
        let held = |relay: &FactRelay| {
            let records = relay.ledger().records(Instant(0)).into_iter();
            let crashes = records.map(|record| (record.content, record.crashes.len()));
            crashes.collect::<Vec<_>>()
        };
        for relay in &relays[1..] {
            assert_eq!(held(relay), held(&relays[0]), "seed {seed}");
        }
    }
}
