//! The usage report equals the counted requests, whatever happens to pages and control processes.
//!
//! Several processes report to three control processes while pages and acknowledgements are lost,
//! duplicated and reordered, control processes restart empty, and reporting processes die. The
//! reference is one map that receives every count.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::report::UsageLedger;
use eelgrassdyke_core::books::UsageReporter;
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::report::{ReportAck, ReportPage, ReportSource};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const CONTROLS: usize = 3;
const TEAMS: usize = 40;
const SEEDS: u64 = 40;

fn sender(name: &str, incarnation: u64, port: u16) -> Sender {
    Sender {
        process: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    ledgers: Vec<UsageLedger>,
    incarnations: Vec<u64>,
    reporters: Vec<UsageReporter>,
    pages: Vec<(usize, usize, ReportPage)>,
    expected: BTreeMap<String, u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant(0),
            ledgers: vec![UsageLedger::default(); CONTROLS],
            incarnations: vec![1; CONTROLS],
            reporters: Vec::new(),
            pages: Vec::new(),
            expected: BTreeMap::new(),
        };
        for at in 0..3 {
            world.reporters.push(world.new_reporter(at, 1));
        }
        world
    }

    fn control(&self, at: usize) -> Sender {
        sender(
            &format!("control-{at}"),
            self.incarnations[at],
            9000 + at as u16,
        )
    }

    fn new_reporter(&self, at: usize, incarnation: u64) -> UsageReporter {
        let controls: Vec<_> = (0..CONTROLS).map(|c| self.control(c).address).collect();
        UsageReporter::new(
            &sender(&format!("entry-{at}"), incarnation, 8000),
            ReportSource::Entry,
            &controls,
        )
    }

    /// Counts one request at a process.
    fn count(&mut self, at: usize) {
        let team = format!("team-{}", self.rng.random_range(0..TEAMS));
        let name = team.parse().unwrap();
        let row = self.reporters[at].counts_mut(&name, &"draft".parse().unwrap());
        row.received += 1;
        row.delivered += 1;
        *self.expected.entry(team).or_default() += 1;
    }

    fn send(&mut self) {
        self.now = self.now + Duration::from_millis(1100);
        for at in 0..self.reporters.len() {
            for (address, page) in self.reporters[at].due_pages(self.now, false) {
                self.pages
                    .push((at, usize::from(address.port() - 9000), page));
            }
        }
    }

    /// Delivers a random page in flight and its acknowledgement; `faults` may lose or duplicate them.
    fn deliver(&mut self, faults: bool) {
        if self.pages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.pages.len());
        let duplicate = faults && self.rng.random_bool(0.2);
        let (at, control, page) = match duplicate {
            true => self.pages[index].clone(),
            false => self.pages.swap_remove(index),
        };
        if faults && self.rng.random_bool(0.2) {
            return;
        }
        self.ledgers[control].record_page(self.now, &page);
        if faults && self.rng.random_bool(0.2) {
            return;
        }
        let ack = ReportAck {
            incarnation: page.incarnation,
            source: page.source,
            after_revision: page.after_revision,
            revision: page.revision,
        };
        let from = self.control(control);
        self.reporters[at].record_ack(&from, &ack);
    }

    /// Restarts a control process, which receives the counters of the others.
    fn restart(&mut self, control: usize) {
        self.pages.retain(|(_, to, _)| *to != control);
        // Incarnations are taken from a clock that may be set back.
        self.incarnations[control] = self.rng.random();
        self.ledgers[control] = UsageLedger::default();
        for other in 0..CONTROLS {
            if other == control {
                continue;
            }
            for page in self.ledgers[other].pages() {
                self.ledgers[control].record_page(self.now, &page);
            }
        }
    }

    /// Delivers all pages without faults.
    fn settle(&mut self) {
        for _ in 0..40 {
            self.send();
            while !self.pages.is_empty() {
                self.deliver(false);
            }
        }
    }

    fn check(&self, seed: u64) {
        for (control, ledger) in self.ledgers.iter().enumerate() {
            let mut reported = BTreeMap::new();
            for line in ledger.lines(self.now) {
                assert_eq!(line.delivered.received, line.delivered.delivered);
                reported.insert(line.team.to_string(), line.delivered.delivered);
            }
            assert_eq!(
                reported, self.expected,
                "seed {seed}, control process {control}"
            );
        }
    }
}

#[test]
fn every_control_process_reports_the_counted_requests() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for step in 0..600 {
            let at = world.rng.random_range(0..world.reporters.len());
            match world.rng.random_range(0..100) {
                0..50 => world.count(at),
                50..70 => world.send(),
                70..98 => world.deliver(true),
                _ => {
                    let control = world.rng.random_range(0..CONTROLS);
                    world.restart(control);
                }
            }

            // A process stops once its counters are replicated, and restarts as a new incarnation.
            if step % 200 == 199 {
                world.settle();
                world.reporters[at] = world.new_reporter(at, step + 2);
            }
        }
        world.settle();
        world.check(seed);
    }
}

#[test]
fn open_requests_of_a_dead_incarnation_are_uncertain() {
    let mut ledger = UsageLedger::default();
    let control = sender("control-0", 1, 9000);
    let mut reporter = UsageReporter::new(
        &sender("entry-1", 1, 8000),
        ReportSource::Entry,
        &[control.address],
    );
    reporter
        .counts_mut(&"salons".parse().unwrap(), &"draft".parse().unwrap())
        .received += 3;
    for (_, page) in reporter.due_pages(Instant(0), false) {
        ledger.record_page(Instant(0), &page);
    }
    let later = Instant(0) + Duration::from_secs(3600);
    assert_eq!(ledger.lines(later)[0].uncertain, 3);
}

#[test]
fn ack_for_another_source_is_ignored() {
    let control = sender("control-0", 1, 9000);
    let mut reporter = UsageReporter::new(
        &sender("both-1", 1, 8000),
        ReportSource::Agent,
        &[control.address],
    );
    reporter
        .counts_mut(&"salons".parse().unwrap(), &"draft".parse().unwrap())
        .received += 1;
    let ack = ReportAck {
        incarnation: Incarnation(1),
        source: ReportSource::Entry,
        after_revision: 0,
        revision: 9,
    };
    reporter.record_ack(&control, &ack);
    assert!(!reporter.is_replicated());
}

/// A killed entry sends no final page. The requests that it received after its last page must not
/// exceed the uncertain requests, and these must not exceed the requests of a few page intervals.
#[test]
fn last_requests_of_killed_entries_are_uncertain() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let control = sender("control-0", 1, 9000);
        let service = "draft".parse().unwrap();
        let (mut ledger, mut now) = (UsageLedger::default(), Instant(0));
        let mut expected: BTreeMap<String, u64> = BTreeMap::new();
        let mut incarnations = 0;
        for entry in 0..6 {
            let entry = sender(&format!("entry-{entry}"), rng.random(), 8000);
            let mut reporter = UsageReporter::new(&entry, ReportSource::Entry, &[control.address]);
            incarnations += 1;
            // Each team sends requests at a rate of its own; the process is killed at a random time.
            let lifetime = Duration::from_millis(rng.random_range(4000..20_000));
            let end = now + lifetime;
            while now < end {
                now = now + Duration::from_millis(10);
                for team in 0..4 {
                    if rng.random_bool(0.05 * f64::from(team + 1)) {
                        let team = format!("team-{team}");
                        let row = reporter.counts_mut(&team.parse().unwrap(), &service);
                        row.received += 1;
                        row.delivered += u64::from(rng.random_bool(0.98));
                        *expected.entry(team).or_default() += 1;
                    }
                }
                for (_, page) in reporter.due_pages(now, false) {
                    ledger.record_page(now, &page);
                    let ack = ReportAck {
                        incarnation: page.incarnation,
                        source: page.source,
                        after_revision: page.after_revision,
                        revision: page.revision,
                    };
                    reporter.record_ack(&control, &ack);
                }
            }
        }
        let later = now + Duration::from_secs(3600);
        for line in ledger.lines(later) {
            let received = expected[line.team.as_str()];
            let lost = received - line.delivered.received;
            let undelivered = line.delivered.received - line.delivered.delivered;
            assert!(
                lost <= line.uncertain,
                "seed {seed}: {lost} of {}",
                line.uncertain
            );
            // With 100 draws a second, no team sends more than 40 requests between two pages.
            let max_uncertain = undelivered + incarnations * 2 * 40;
            assert!(
                line.uncertain <= max_uncertain,
                "seed {seed}: {} of {max_uncertain}",
                line.uncertain
            );
        }
    }
}
