//! The merged timeline is in causal order despite clock skew, and marks missing events.

use std::collections::BTreeMap;

use eelgrassctl::command::TimelineArgs;
use eelgrassctl::timeline::html;
use eelgrassctl::timeline::merge::{MergedTimeline, TimelineEntry};
use eelgrassdyke_core::event::{Code, Event, EventRecord};
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::time::{HybridClock, HybridTimestamp, WallTime};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A simulated process whose clock may be skewed and may jump.
#[derive(Default)]
struct Process {
    name: String,
    hybrid: HybridClock,
    skew_ms: i64,
    number: u64,
    /// Number of the last event of each process that happened before the next event.
    causal_past: BTreeMap<String, u64>,
}

impl Process {
    fn new(index: usize, skew_ms: i64) -> Self {
        Self {
            name: format!("p{index}"),
            skew_ms,
            ..Self::default()
        }
    }

    fn wall(&self, now_ms: u64) -> WallTime {
        WallTime(now_ms.saturating_add_signed(self.skew_ms))
    }

    fn record_event(&mut self, now_ms: u64) -> (EventRecord, BTreeMap<String, u64>) {
        self.number += 1;
        let record = EventRecord {
            stamp: self.hybrid.tick(self.wall(now_ms)),
            process: self.name.parse().unwrap(),
            incarnation: Incarnation(1),
            number: self.number,
            event: Event::new(Code::PeerUnreachable, ""),
        };
        let past = self.causal_past.clone();
        self.causal_past.insert(self.name.clone(), self.number);
        (record, past)
    }

    fn send(&mut self, now_ms: u64) -> (HybridTimestamp, BTreeMap<String, u64>) {
        (
            self.hybrid.tick(self.wall(now_ms)),
            self.causal_past.clone(),
        )
    }

    fn receive(&mut self, now_ms: u64, (stamp, past): (HybridTimestamp, BTreeMap<String, u64>)) {
        self.hybrid.receive(self.wall(now_ms), stamp);
        for (process, number) in past {
            let last = self.causal_past.entry(process).or_default();
            *last = number.max(*last);
        }
    }
}

/// A step of a run: the acting process, whether it records an event instead of sending a message, the
/// receiver, and the jump of the acting process's clock in milliseconds.
type Step = (usize, bool, usize, i64);

fn simulate(skews_ms: &[i64], steps: &[Step]) -> Vec<(EventRecord, BTreeMap<String, u64>)> {
    let mut processes: Vec<Process> = skews_ms
        .iter()
        .enumerate()
        .map(|(index, skew_ms)| Process::new(index, *skew_ms))
        .collect();
    let mut records = Vec::new();
    for (index, (actor, records_event, receiver, jump_ms)) in steps.iter().enumerate() {
        let now_ms = 1_000_000 + index as u64 / 3;
        let count = processes.len();
        let actor = &mut processes[actor % count];
        actor.skew_ms += jump_ms;
        if *records_event {
            records.push(actor.record_event(now_ms));
            continue;
        }
        let message = actor.send(now_ms);
        processes[receiver % count].receive(now_ms, message);
    }
    records
}

#[test]
fn causes_precede_effects_under_clock_skew() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let skews_ms = proptest::collection::vec(-5_000..5_000i64, 2..5);
    let step = (0..8usize, any::<bool>(), 0..8usize, -50..50i64);
    let steps = proptest::collection::vec(step, 1..120);
    let outcome =
        TestRunner::new_with_rng(config, rng).run(&(skews_ms, steps), |(skews_ms, steps)| {
            let records = simulate(&skews_ms, &steps);
            let causal_pasts: BTreeMap<(String, u64), BTreeMap<String, u64>> = records
                .iter()
                .map(|(record, past)| ((record.process.to_string(), record.number), past.clone()))
                .collect();
            let reversed = records.iter().rev().map(|(record, _)| record.clone());
            let timeline = MergedTimeline::from_records(reversed.collect(), &BTreeMap::new());
            let mut last_numbers: BTreeMap<String, u64> = BTreeMap::new();
            for entry in &timeline.entries {
                let TimelineEntry::Event(record) = entry else {
                    return Err(TestCaseError::fail(
                        "a gap is marked although no event is missing",
                    ));
                };
                let key = (record.process.to_string(), record.number);
                for (process, number) in &causal_pasts[&key] {
                    let last = last_numbers.get(process).copied().unwrap_or(0);
                    prop_assert!(
                        last >= *number,
                        "{key:?} precedes its cause {process}/{number}"
                    );
                }
                last_numbers.insert(key.0, key.1);
            }
            prop_assert_eq!(timeline.entries.len(), records.len());
            Ok(())
        });
    outcome.unwrap();
}

fn record(process: &str, incarnation: u64, number: u64) -> EventRecord {
    EventRecord {
        stamp: HybridTimestamp {
            wall: WallTime(incarnation * 1000 + number),
            count: 0,
        },
        process: process.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        number,
        event: Event::new(Code::ProcessStarted, "").team(&"hobart".parse().unwrap()),
    }
}

fn gaps(timeline: &MergedTimeline) -> Vec<(u64, u64, u64)> {
    let gap = |entry: &TimelineEntry| match entry {
        TimelineEntry::Gap(gap) => Some((gap.incarnation.0, gap.first, gap.last)),
        TimelineEntry::Event(_) => None,
    };
    timeline.entries.iter().filter_map(gap).collect()
}

#[test]
fn missing_events_of_an_incarnation_are_marked_as_gaps() {
    let records = vec![
        record("a", 1, 3),
        record("a", 1, 4),
        record("a", 1, 9),
        record("a", 2, 1),
        record("b", 1, 1),
        record("b", 1, 1),
    ];
    let timeline = MergedTimeline::from_records(records, &BTreeMap::new());
    assert_eq!(gaps(&timeline), [(1, 1, 2), (1, 5, 8)]);
    assert_eq!(timeline.entries.len(), 7);
}

#[test]
fn events_read_earlier_are_not_a_gap() {
    let positions = BTreeMap::from([("a".parse().unwrap(), (Incarnation(1), 8))]);
    let timeline =
        MergedTimeline::from_records(vec![record("a", 1, 9), record("a", 2, 2)], &positions);
    assert_eq!(gaps(&timeline), [(2, 1, 1)]);
}

#[test]
fn filters_keep_matching_events_and_all_gaps() {
    let matching = TimelineArgs {
        team: Some("hobart".parse().unwrap()),
        ..TimelineArgs::default()
    };
    let non_matching = TimelineArgs {
        team: Some("launceston".parse().unwrap()),
        ..TimelineArgs::default()
    };
    let timeline = MergedTimeline::from_records(vec![record("a", 1, 2)], &BTreeMap::new());
    assert_eq!(timeline.clone().filtered(&matching).len(), 2);
    assert_eq!(timeline.filtered(&non_matching).len(), 1);
}

#[test]
fn the_html_page_has_a_lane_per_process_and_escapes_details() {
    let mut event_record = record("a", 1, 1);
    event_record.event.detail = "<script>".to_owned();
    let timeline =
        MergedTimeline::from_records(vec![event_record, record("b", 1, 2)], &BTreeMap::new());
    let page = html::render(&timeline.entries, &["c: down".to_owned()]);
    assert!(page.contains("<th>a</th><th>b</th>"));
    assert!(page.contains("&lt;script&gt;") && !page.contains("<script"));
    assert!(page.contains("Missing: c: down") && page.contains("events 1 to 1 are missing"));
}
