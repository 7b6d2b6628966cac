//! When the coordinator of a group plans: the first plan may come too early to gain anything.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::groups::{Authority, Groups, Output};
use eelgrassdyke_core::config::{DirectSpec, Document, EngineProfile, ExpertLayout, ServiceSpec};
use eelgrassdyke_core::id::{Generation, Incarnation, Rank, Step, Term, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{ByteRate, Bytes};
use eelgrassdyke_core::wire::rank::{
    EngineReport, ExpertCounts, RankAction, RankOrder, RankOrderOutcome, RankOrderResult,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const RANKS: u64 = 4;
const EXPERTS: usize = 16;
const EXPERTS_PER_RANK: usize = 5;
const SLOTS: u32 = 12;
const STEP: Duration = Duration::from_millis(50);

fn watch(rank: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, rank as u8 + 1], 7000))
}

fn document() -> Document {
    let mut spec: ServiceSpec = serde_json::from_str(r#"{"kind": "plain"}"#).unwrap();
    let layout = ExpertLayout {
        layers: 1,
        experts: EXPERTS as u32,
        slots: EXPERTS_PER_RANK as u32,
        max_copies_per_switch: 2,
        expert_bytes: Bytes(2_000_000_000),
        copy_rate: ByteRate(5_000_000_000),
    };
    spec.direct = Some(DirectSpec {
        connections: 100,
        engine: Some(EngineProfile {
            slots: SLOTS,
            experts: Some(layout),
            ..EngineProfile::default()
        }),
        cold_rate: None,
    });
    let mut document = Document::default();
    document.services.insert("draft".parse().unwrap(), spec);
    document
}

struct Site {
    now: Instant,
    groups: Groups,
    document: Document,
    step: u64,
    running: u32,
    /// The first of two experts that are chosen more often than the others.
    hot: usize,
    rng: ChaCha8Rng,
    last_known_orders: Vec<u64>,
    /// Whether an order to prepare a map was sent.
    has_planned: bool,
}

impl Site {
    fn new(seed: u64) -> Self {
        let mut groups = Groups::new(true);
        let now = Instant(0) + Duration::from_secs(1);
        groups.set_authority(now, Authority::All(Term(1)));
        Self {
            now,
            groups,
            document: document(),
            step: 0,
            running: SLOTS,
            hot: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_known_orders: vec![0; RANKS as usize],
            has_planned: false,
        }
    }

    /// How often the requests of a rank chose each expert in one step.
    fn selections(&mut self) -> Vec<u64> {
        let is_hot = |expert| expert == self.hot || expert == self.hot + 1;
        let means = (0..EXPERTS).map(|expert| if is_hot(expert) { 55 } else { 20 });
        let means: Vec<u64> = means.collect();
        let rng = &mut self.rng;
        let noisy = means
            .into_iter()
            .map(|mean| rng.random_range(mean / 2..=mean + mean / 2));
        noisy.collect()
    }

    fn report(&mut self, rank: u64) -> EngineReport {
        let selections = self.selections();
        let first = rank as usize * EXPERTS / RANKS as usize;
        let experts = (first..first + EXPERTS_PER_RANK).map(|expert| (expert % EXPERTS) as u32);
        EngineReport {
            service: "draft".parse().unwrap(),
            group: "g0".parse().unwrap(),
            group_size: RANKS as u32,
            rank: Rank(rank),
            address: SocketAddr::from(([10, 0, 0, rank as u8 + 1], 8000)),
            generation: Generation(1),
            open: true,
            step: Step(self.step),
            active_map: Version(0),
            prepared_map: None,
            armed_map: None,
            hold_step: None,
            slowness_permille: 1000,
            running: self.running,
            queued: 0,
            incarnation: Incarnation(1),
            last_known_order: self.last_known_orders[rank as usize],
            begun_orders: Some(0),
            is_busy: Some(false),
            experts: vec![experts.collect()],
            counts: Some(ExpertCounts {
                step: Step(self.step),
                selections,
                since: Some(Step(self.step - 1)),
            }),
        }
    }

    fn carry_out(&mut self, order: &RankOrder) {
        self.has_planned |= matches!(order.action, RankAction::Prepare { .. });
        let known = &mut self.last_known_orders[order.rank.0 as usize];
        *known = (*known).max(order.number);
        let result = RankOrderResult {
            number: order.number,
            group: order.group.clone(),
            rank: order.rank,
            outcome: RankOrderOutcome::Accepted,
        };
        let outputs = self.groups.handle_order_result(self.now, result);
        self.handle_outputs(outputs);
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            if let Output::OrderToWatch(_, order) | Output::OrderToEngine(_, order) = output {
                self.carry_out(&order);
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.step += 1;
            for rank in 0..RANKS {
                let report = self.report(rank);
                let outputs =
                    self.groups
                        .handle_report(self.now, watch(rank), report, &self.document);
                self.handle_outputs(outputs);
            }
            let outputs = self.groups.tick(self.now, &self.document);
            self.handle_outputs(outputs);
        }
    }
}

#[test]
fn uneven_load_is_planned_for() {
    for seed in 0..20 {
        let mut site = Site::new(seed);
        site.run(Duration::from_secs(10));
        assert!(site.has_planned, "seed {seed}");
    }
}

/// Guards against a group that is never planned for again, because the last plan was tried right after a change
/// of demand, when no copy was expected to be of use for long: no plan followed however long the demand held.
#[test]
fn demand_that_holds_after_quick_changes_is_planned_for() {
    for seed in 0..20 {
        let mut site = Site::new(seed);
        for change in 0..16 {
            site.hot = change % 4 * 4;
            site.run(Duration::from_millis(750));
        }
        site.hot = 0;
        site.run(Duration::from_secs(1));
        site.has_planned = false;
        site.run(Duration::from_secs(40));
        assert!(site.has_planned, "seed {seed}");
    }
}

/// Guards against the same for a plan that was tried while few requests ran, when copies were worth little.
#[test]
fn load_that_rises_is_planned_for() {
    for seed in 0..20 {
        let mut site = Site::new(seed);
        site.running = 0;
        site.run(Duration::from_secs(2));
        let was_early = std::mem::take(&mut site.has_planned);
        site.running = SLOTS;
        site.run(Duration::from_secs(40));
        assert!(was_early || site.has_planned, "seed {seed}");
    }
}
