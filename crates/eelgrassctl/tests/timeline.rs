//! The time line is in causal order whatever the hosts' clocks say, and marks what is missing.

use std::collections::BTreeMap;

use eelgrassctl::command::Timeline;
use eelgrassctl::timeline::html;
use eelgrassctl::timeline::merge::{Entry, Merge};
use eelgrassdyke_core::event::{Code, Event, EventRecord};
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::time::{HybridClock, HybridTimestamp, WallTime};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A process with a clock of its own, which may be wrong and may jump.
#[derive(Default)]
struct Process {
    name: String,
    hybrid: HybridClock,
    skew_ms: i64,
    number: u64,
    /// Events that have happened before the next one, by process and number.
    past: BTreeMap<String, u64>,
}

impl Process {
    fn new(at: usize, skew_ms: i64) -> Self {
        Self {
            name: format!("p{at}"),
            skew_ms,
            ..Self::default()
        }
    }

    fn wall(&self, now_ms: u64) -> WallTime {
        WallTime(now_ms.saturating_add_signed(self.skew_ms))
    }

    fn note(&mut self, now_ms: u64) -> (EventRecord, BTreeMap<String, u64>) {
        self.number += 1;
        let record = EventRecord {
            stamp: self.hybrid.tick(self.wall(now_ms)),
            process: self.name.parse().unwrap(),
            incarnation: Incarnation(1),
            number: self.number,
            event: Event::new(Code::PeerUnreachable, ""),
        };
        let past = self.past.clone();
        self.past.insert(self.name.clone(), self.number);
        (record, past)
    }

    fn send(&mut self, now_ms: u64) -> (HybridTimestamp, BTreeMap<String, u64>) {
        (self.hybrid.tick(self.wall(now_ms)), self.past.clone())
    }

    fn receive(&mut self, now_ms: u64, (stamp, past): (HybridTimestamp, BTreeMap<String, u64>)) {
        self.hybrid.receive(self.wall(now_ms), stamp);
        for (process, number) in past {
            let held = self.past.entry(process).or_default();
            *held = number.max(*held);
        }
    }
}

/// A step of a run: who acts, whether it notes an event or sends, to whom, and how far clocks jump.
type Step = (usize, bool, usize, i64);

fn run(skews: &[i64], steps: &[Step]) -> Vec<(EventRecord, BTreeMap<String, u64>)> {
    let mut processes: Vec<Process> = skews
        .iter()
        .enumerate()
        .map(|(at, skew)| Process::new(at, *skew))
        .collect();
    let mut records = Vec::new();
    for (at, (actor, notes, peer, jump)) in steps.iter().enumerate() {
        let now = 1_000_000 + at as u64 / 3;
        let count = processes.len();
        let actor = &mut processes[actor % count];
        actor.skew_ms += jump;
        if *notes {
            records.push(actor.note(now));
            continue;
        }
        let message = actor.send(now);
        processes[peer % count].receive(now, message);
    }
    records
}

#[test]
fn causes_stand_before_effects_under_clock_skew() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let skews = proptest::collection::vec(-5_000..5_000i64, 2..5);
    let step = (0..8usize, any::<bool>(), 0..8usize, -50..50i64);
    let steps = proptest::collection::vec(step, 1..120);
    let outcome = TestRunner::new_with_rng(config, rng).run(&(skews, steps), |(skews, steps)| {
        let records = run(&skews, &steps);
        let pasts: BTreeMap<(String, u64), BTreeMap<String, u64>> = records
            .iter()
            .map(|(record, past)| ((record.process.to_string(), record.number), past.clone()))
            .collect();
        let shuffled = records.iter().rev().map(|(record, _)| record.clone());
        let merge = Merge::of(shuffled.collect(), &BTreeMap::new());
        let mut seen: BTreeMap<String, u64> = BTreeMap::new();
        for entry in &merge.entries {
            let Entry::Event(record) = entry else {
                return Err(TestCaseError::fail(
                    "nothing is missing, but a gap is marked",
                ));
            };
            let key = (record.process.to_string(), record.number);
            for (process, number) in &pasts[&key] {
                let held = seen.get(process).copied().unwrap_or(0);
                prop_assert!(held >= *number, "{key:?} stands before {process}/{number}");
            }
            seen.insert(key.0, key.1);
        }
        prop_assert_eq!(merge.entries.len(), records.len());
        Ok(())
    });
    outcome.unwrap();
}

fn record(process: &str, life: u64, number: u64) -> EventRecord {
    EventRecord {
        stamp: HybridTimestamp {
            wall: WallTime(life * 1000 + number),
            count: 0,
        },
        process: process.parse().unwrap(),
        incarnation: Incarnation(life),
        number,
        event: Event::new(Code::ProcessStarted, "").team(&"hobart".parse().unwrap()),
    }
}

fn gaps(merge: &Merge) -> Vec<(u64, u64, u64)> {
    let gap = |entry: &Entry| match entry {
        Entry::Gap(gap) => Some((gap.incarnation.0, gap.first, gap.last)),
        Entry::Event(_) => None,
    };
    merge.entries.iter().filter_map(gap).collect()
}

#[test]
fn numbers_that_are_missing_in_one_life_are_marked() {
    let records = vec![
        record("a", 1, 3),
        record("a", 1, 4),
        record("a", 1, 9),
        record("a", 2, 1),
        record("b", 1, 1),
        record("b", 1, 1),
    ];
    let merge = Merge::of(records, &BTreeMap::new());
    assert_eq!(gaps(&merge), [(1, 1, 2), (1, 5, 8)]);
    assert_eq!(merge.entries.len(), 7);
}

#[test]
fn what_was_read_before_is_no_gap() {
    let marks = BTreeMap::from([("a".parse().unwrap(), (Incarnation(1), 8))]);
    let merge = Merge::of(vec![record("a", 1, 9), record("a", 2, 2)], &marks);
    assert_eq!(gaps(&merge), [(2, 1, 1)]);
}

#[test]
fn filters_keep_what_fits_and_every_gap() {
    let wanted = Timeline {
        team: Some("hobart".parse().unwrap()),
        ..Timeline::default()
    };
    let other = Timeline {
        team: Some("launceston".parse().unwrap()),
        ..Timeline::default()
    };
    let merge = Merge::of(vec![record("a", 1, 2)], &BTreeMap::new());
    assert_eq!(merge.clone().matching(&wanted).len(), 2);
    assert_eq!(merge.matching(&other).len(), 1);
}

#[test]
fn the_page_has_a_lane_for_each_process_and_escapes_details() {
    let mut shown = record("a", 1, 1);
    shown.event.detail = "<script>".to_owned();
    let merge = Merge::of(vec![shown, record("b", 1, 2)], &BTreeMap::new());
    let page = html::render(&merge.entries, &["c: down".to_owned()]);
    assert!(page.contains("<th>a</th><th>b</th>"));
    assert!(page.contains("&lt;script&gt;") && !page.contains("<script"));
    assert!(page.contains("Missing: c: down") && page.contains("events 1 to 1 are missing"));
}
