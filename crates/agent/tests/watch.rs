//! Tests of the watch: which counts it sends, and how soon it reports the effect of an order.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::watch::{Input, Output, Watch};
use eelgrassdyke_core::id::{Generation, Incarnation, Rank, Step, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::rank::{
    self, EngineReport, ExpertCounts, RankAction, RankOrder, RankOrderOutcome, RankOrderResult,
};
use eelgrassdyke_core::wire::{Message, Sender};
use test_case::test_case;

const TICK: Duration = Duration::from_millis(5);

/// A watch beside a simulated engine that starts a step every tick and chooses each expert once in it.
struct World {
    now: Instant,
    watch: Watch,
    rank: Rank,
    experts: usize,
    step: u64,
    /// The map that the engine is copying, with the time at which the copies are complete.
    copying: Option<(Version, Instant)>,
    reports: Vec<(Instant, EngineReport)>,
    reads: u64,
    active_map: Version,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

impl World {
    fn new(rank: u64, experts: usize) -> Self {
        let local = Sender {
            process: "watch".parse().unwrap(),
            incarnation: Incarnation(1),
            address: address(1),
        };
        Self {
            now: Instant(1),
            watch: Watch::new(local, vec![address(2)]),
            rank: Rank(rank),
            experts,
            step: 0,
            copying: None,
            reports: Vec::new(),
            reads: 0,
            active_map: Version(0),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            self.step += 1;
            if self.now >= self.watch.next_deadline() {
                self.handle(Input::Tick);
            }
        }
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.watch.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Read { reads_counts, .. } => {
                    self.reads += 1;
                    let report = Box::new(self.report(reads_counts));
                    self.handle(Input::ReadResult(Some(report)));
                }
                Output::Order(order) => self.handle(Input::OrderResult(RankOrderResult {
                    number: order.number,
                    group: order.group,
                    rank: order.rank,
                    outcome: RankOrderOutcome::Accepted,
                })),
                Output::Send {
                    message: Message::Rank(message),
                    ..
                } => {
                    if let rank::Message::Report { report, .. } = *message {
                        self.reports.push((self.now, report));
                    }
                }
                Output::Send { .. } => {}
            }
        }
    }

    fn report(&self, reads_counts: bool) -> EngineReport {
        let copied = self.copying.filter(|(_, at)| *at <= self.now);
        EngineReport {
            service: "draft".parse().unwrap(),
            group: "g0".parse().unwrap(),
            group_size: 3,
            rank: self.rank,
            address: address(3),
            generation: Generation(1),
            open: true,
            step: Step(self.step),
            active_map: self.active_map,
            prepared_map: copied.map(|(version, _)| version),
            armed_map: None,
            hold_step: None,
            slowness_permille: 1000,
            running: 1,
            queued: 0,
            incarnation: Incarnation(0),
            last_known_order: 0,
            begun_orders: None,
            is_busy: None,
            experts: vec![vec![0]],
            counts: reads_counts.then(|| ExpertCounts {
                step: Step(self.step),
                selections: vec![self.step; self.experts],
                since: None,
            }),
        }
    }
}

/// The counts of a large layout would exceed the rate that a node may send; every rank then sends those of
/// some reads, each about the time since the read before.
#[test_case(0, 300)]
#[test_case(0, 4128)]
#[test_case(1, 4128)]
#[test_case(2, 4128)]
fn counts_stay_within_the_rate_and_cover_the_latest_steps(rank: u64, experts: usize) {
    let mut world = World::new(rank, experts);
    let run_time = Duration::from_secs(10);
    world.run(run_time);
    let counts: Vec<&ExpertCounts> = world
        .reports
        .iter()
        .filter_map(|(_, report)| report.counts.as_ref())
        .collect();
    assert!(counts.len() > 10, "{} reports with counts", counts.len());
    let bytes: usize = counts.iter().map(|counts| counts.selections.len()).sum();
    let rate = bytes as f64 / run_time.as_secs_f64();
    assert!(rate <= 13_000.0 * 1.05, "{rate} bytes per second");
    for counts in counts {
        let since = counts.since.expect("a difference of two reads");
        let steps = counts.step.0 - since.0;
        assert!(
            steps <= 21,
            "counts of {steps} steps, a read takes 20 steps"
        );
        assert!(counts.selections.iter().all(|count| *count == steps));
    }
}

#[test]
fn the_end_of_the_copies_is_reported_at_once() {
    let mut world = World::new(0, 300);
    world.run(Duration::from_millis(500));
    let copied_at = world.now + Duration::from_millis(333);
    world.copying = Some((Version(1), copied_at));
    let order = RankOrder {
        number: 1,
        group: "g0".parse().unwrap(),
        generation: Generation(1),
        rank: world.rank,
        fencing_token: 1,
        expected_begun_orders: None,
        action: RankAction::Prepare {
            version: Version(1),
            layers: vec![vec![vec![0]]].into(),
        },
    };
    let from = Sender {
        process: "control".parse().unwrap(),
        incarnation: Incarnation(1),
        address: address(2),
    };
    let message = Message::Rank(Box::new(rank::Message::Order(order)));
    world.handle(Input::Message { from, message });
    let before = world.reports.len();
    world.run(Duration::from_millis(600));
    let shows_copies = |(_, report): &&(Instant, EngineReport)| report.prepared_map.is_some();
    let (at, _) = world.reports.iter().find(shows_copies).unwrap();
    let delay = at.since(copied_at);
    assert!(delay <= Duration::from_millis(30), "after {delay:?}");
    // Reads that show nothing new are not reported, and reads are frequent only until the copies are
    // complete.
    let reports = world.reports.len() - before;
    assert!(reports <= 9, "{reports} reports");
    let reads = world.reads;
    world.run(Duration::from_secs(1));
    let reads = world.reads - reads;
    assert!(reads <= 11, "{reads} reads");
}

/// The coordinator of a group may have changed, or not be known yet, when an order is carried out. Only the
/// sender of the order waits for its result.
#[test]
fn the_result_of_an_order_goes_to_its_sender() {
    let mut world = World::new(0, 4);
    world.run(Duration::from_millis(200));
    let coordinator = Sender {
        process: "control-7".parse().unwrap(),
        incarnation: Incarnation(1),
        address: address(7),
    };
    let order = RankOrder {
        number: 5,
        group: "g0".parse().unwrap(),
        generation: Generation(1),
        rank: Rank(0),
        fencing_token: 1,
        expected_begun_orders: None,
        action: RankAction::Release { step: Step(1) },
    };
    let result = RankOrderResult {
        number: order.number,
        group: order.group.clone(),
        rank: order.rank,
        outcome: RankOrderOutcome::Accepted,
    };
    let mut out = Vec::new();
    let input = Input::Message {
        from: coordinator,
        message: Message::Rank(Box::new(rank::Message::Order(order))),
    };
    world.watch.handle(world.now, input, &mut out);
    out.clear();
    let input = Input::OrderResult(result);
    world.watch.handle(world.now, input, &mut out);
    let receivers = out.iter().filter_map(|output| match output {
        Output::Send {
            to,
            message: Message::Rank(message),
        } if matches!(**message, rank::Message::OrderResult(_)) => Some(*to),
        _ => None,
    });
    assert_eq!(receivers.collect::<Vec<_>>(), [address(7)]);
}

/// The experts are most of a report. A coordinator that is new, or that lost a message, must still get them
/// within a second, and after a change of the map at once.
#[test]
fn experts_are_sent_after_a_change_and_within_a_second() {
    let mut world = World::new(0, 300);
    world.run(Duration::from_millis(2500));
    world.active_map = Version(1);
    world.run(Duration::from_millis(2500));
    let mut last_sent: Option<(Instant, Version)> = None;
    let mut sent = 0;
    for (at, report) in &world.reports {
        let is_changed = last_sent.is_none_or(|(_, version)| version != report.active_map);
        if is_changed {
            assert!(!report.experts.is_empty(), "no experts after a change");
        }
        if !report.experts.is_empty() {
            assert_eq!(report.experts, [[0]]);
            last_sent = Some((*at, report.active_map));
            sent += 1;
        }
        let (sent_at, _) = last_sent.expect("the first report has the experts");
        let age = at.since(sent_at);
        assert!(age < Duration::from_secs(1), "not sent for {age:?}");
    }
    assert!(world.reports.len() >= 45, "{} reports", world.reports.len());
    assert!(sent <= 7, "sent {sent} times in 5 s");
}

#[test]
fn rank_far_out_of_range_is_reported_like_others() {
    let mut world = World::new(u64::MAX, 10_000);
    world.run(Duration::from_secs(10));
    let reports = world.reports.iter();
    assert!(
        reports
            .filter(|(_, report)| report.counts.is_some())
            .count()
            > 1
    );
}
