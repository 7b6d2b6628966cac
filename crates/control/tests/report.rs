//! The report equals what was counted, whatever becomes of pages and control processes.
//!
//! Books of several processes are driven against the ledgers of three control processes while pages
//! and answers are lost, doubled and reordered, control processes restart empty and counting processes
//! die. The naive version is one map that every count goes to.

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

fn sender(name: &str, life: u64, port: u16) -> Sender {
    Sender {
        process: name.parse().unwrap(),
        incarnation: Incarnation(life),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    ledgers: Vec<UsageLedger>,
    lives: Vec<u64>,
    books: Vec<UsageReporter>,
    pages: Vec<(usize, usize, ReportPage)>,
    counted: BTreeMap<String, u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant(0),
            ledgers: vec![UsageLedger::default(); CONTROLS],
            lives: vec![1; CONTROLS],
            books: Vec::new(),
            pages: Vec::new(),
            counted: BTreeMap::new(),
        };
        for at in 0..3 {
            world.books.push(world.empty_books(at, 1));
        }
        world
    }

    fn control(&self, at: usize) -> Sender {
        sender(&format!("control-{at}"), self.lives[at], 9000 + at as u16)
    }

    fn empty_books(&self, at: usize, life: u64) -> UsageReporter {
        let controls: Vec<_> = (0..CONTROLS).map(|c| self.control(c).address).collect();
        UsageReporter::new(
            &sender(&format!("entry-{at}"), life, 8000),
            ReportSource::Entry,
            &controls,
        )
    }

    fn count(&mut self, at: usize) {
        let team = format!("team-{}", self.rng.random_range(0..TEAMS));
        let name = team.parse().unwrap();
        let row = self.books[at].counts_mut(&name, &"draft".parse().unwrap());
        row.received += 1;
        row.delivered += 1;
        *self.counted.entry(team).or_default() += 1;
    }

    fn send(&mut self) {
        self.now = self.now + Duration::from_millis(1100);
        for at in 0..self.books.len() {
            for (address, page) in self.books[at].due_pages(self.now, false) {
                self.pages
                    .push((at, usize::from(address.port() - 9000), page));
            }
        }
    }

    /// Delivers one page in flight and its answer, as chance has it.
    fn deliver(&mut self, faults: bool) {
        if self.pages.is_empty() {
            return;
        }
        let which = self.rng.random_range(0..self.pages.len());
        let doubled = faults && self.rng.random_bool(0.2);
        let (at, control, page) = match doubled {
            true => self.pages[which].clone(),
            false => self.pages.swap_remove(which),
        };
        if faults && self.rng.random_bool(0.2) {
            return;
        }
        self.ledgers[control].record_page(self.now, &page);
        if faults && self.rng.random_bool(0.2) {
            return;
        }
        let kept = ReportAck {
            incarnation: page.incarnation,
            source: page.source,
            after_revision: page.after_revision,
            revision: page.revision,
        };
        let from = self.control(control);
        self.books[at].record_ack(&from, &kept);
    }

    /// Restarts a control process, which asks the others for their books.
    fn restart(&mut self, control: usize) {
        self.pages.retain(|(_, to, _)| *to != control);
        // Lives are numbered by a clock that may jump back.
        self.lives[control] = self.rng.random();
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
            let mut held = BTreeMap::new();
            for line in ledger.lines(self.now) {
                assert_eq!(line.delivered.received, line.delivered.delivered);
                held.insert(line.team.to_string(), line.delivered.delivered);
            }
            assert_eq!(held, self.counted, "seed {seed}, control process {control}");
        }
    }
}

#[test]
fn every_control_process_reports_what_was_counted() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for step in 0..600 {
            let at = world.rng.random_range(0..world.books.len());
            match world.rng.random_range(0..100) {
                0..50 => world.count(at),
                50..70 => world.send(),
                70..98 => world.deliver(true),
                _ => {
                    let control = world.rng.random_range(0..CONTROLS);
                    world.restart(control);
                }
            }

            // A process ends after all its books are held, and comes back as a new life.
            if step % 200 == 199 {
                world.settle();
                world.books[at] = world.empty_books(at, step + 2);
            }
        }
        world.settle();
        world.check(seed);
    }
}

#[test]
fn what_a_dead_life_had_open_is_uncertain() {
    let mut ledger = UsageLedger::default();
    let control = sender("control-0", 1, 9000);
    let mut books = UsageReporter::new(
        &sender("entry-1", 1, 8000),
        ReportSource::Entry,
        &[control.address],
    );
    books
        .counts_mut(&"salons".parse().unwrap(), &"draft".parse().unwrap())
        .received += 3;
    for (_, page) in books.due_pages(Instant(0), false) {
        ledger.record_page(Instant(0), &page);
    }
    let later = Instant(0) + Duration::from_secs(3600);
    assert_eq!(ledger.lines(later)[0].uncertain, 3);
}

#[test]
fn a_page_of_the_other_side_is_no_answer() {
    let control = sender("control-0", 1, 9000);
    let mut books = UsageReporter::new(
        &sender("both-1", 1, 8000),
        ReportSource::Agent,
        &[control.address],
    );
    books
        .counts_mut(&"salons".parse().unwrap(), &"draft".parse().unwrap())
        .received += 1;
    let kept = ReportAck {
        incarnation: Incarnation(1),
        source: ReportSource::Entry,
        after_revision: 0,
        revision: 9,
    };
    books.record_ack(&control, &kept);
    assert!(!books.is_replicated());
}

/// Entries that are killed hand nothing over any more; what they took in after their last page must be
/// within what shows as uncertain, and that within what they take in between a few pages.
#[test]
fn what_killed_entries_took_in_last_shows_as_uncertain() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let control = sender("control-0", 1, 9000);
        let service = "draft".parse().unwrap();
        let (mut ledger, mut now) = (UsageLedger::default(), Instant(0));
        let mut truth: BTreeMap<String, u64> = BTreeMap::new();
        let mut lives = 0;
        for entry in 0..6 {
            let entry = sender(&format!("entry-{entry}"), rng.random(), 8000);
            let mut books = UsageReporter::new(&entry, ReportSource::Entry, &[control.address]);
            lives += 1;
            // Each team asks at a rate of its own; the process is killed at any moment.
            let life = Duration::from_millis(rng.random_range(4000..20_000));
            let end = now + life;
            while now < end {
                now = now + Duration::from_millis(10);
                for team in 0..4 {
                    if rng.random_bool(0.05 * f64::from(team + 1)) {
                        let team = format!("team-{team}");
                        let row = books.counts_mut(&team.parse().unwrap(), &service);
                        row.received += 1;
                        row.delivered += u64::from(rng.random_bool(0.98));
                        *truth.entry(team).or_default() += 1;
                    }
                }
                for (_, page) in books.due_pages(now, false) {
                    ledger.record_page(now, &page);
                    let kept = ReportAck {
                        incarnation: page.incarnation,
                        source: page.source,
                        after_revision: page.after_revision,
                        revision: page.revision,
                    };
                    books.record_ack(&control, &kept);
                }
            }
        }
        let later = now + Duration::from_secs(3600);
        for line in ledger.lines(later) {
            let asked = truth[line.team.as_str()];
            let lost = asked - line.delivered.received;
            let never_answered = line.delivered.received - line.delivered.delivered;
            assert!(
                lost <= line.uncertain,
                "seed {seed}: {lost} of {}",
                line.uncertain
            );
            // At 100 chances a second, no team asks more than 40 times between two pages.
            let most = never_answered + lives * 2 * 40;
            assert!(
                line.uncertain <= most,
                "seed {seed}: {} of {most}",
                line.uncertain
            );
        }
    }
}
