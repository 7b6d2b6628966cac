//! The planner of one group: which map comes next.
//!
//! It minimises the predicted time of a step plus a price on expert bytes moved. From the map in
//! force it goes on in single changes, each of which must shorten the slowest rank's time in its
//! layer by more than the price of the experts loaded; a plan as a whole must also gain more than the
//! hysteresis, and loads no more than the weight store gives within the budget's span.

use std::time::Duration;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{DataCentre, Group, Host, Rank};
use eelgrassdyke_core::unit::Bytes;
use eelgrassdyke_core::wire::group::ExpertPlacement;

use crate::layer::{Layer, Setting};
use crate::load::Loads;

/// Part of the step time that moving all experts once is worth at equal weights.
const WHOLE_MOVE_PRICE: f64 = 0.25;

/// Rounds of search for a first placement, shared by all slots of the group.
const SEARCH_ROUNDS: u64 = 4096;

/// Hosts that should hold each expert.
const HOST_SPREAD: usize = 2;

/// Options of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Least predicted gain of a plan, as a part of the mean step time.
    pub hysteresis: f64,
    /// Span of the weight store's rate that one plan may use.
    pub budget_span: Duration,
    /// Experts of one layer that a rank may load for one plan.
    pub fresh_max: usize,
    /// Hosts that should hold each expert.
    pub spread: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hysteresis: 0.01,
            budget_span: Duration::from_secs(30),
            fresh_max: usize::MAX,
            spread: HOST_SPREAD,
        }
    }
}

/// Where a rank runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Site {
    /// The zone.
    pub data_centre: DataCentre,
    /// The machine.
    pub host: Host,
}

/// Why a plan is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The interval has passed.
    Interval,
    /// The ranks changed, so a map is needed whatever it costs.
    Ranks,
    /// An operator wants the best map now, without hysteresis and although the group is frozen.
    Forced,
    /// An operator wants the rest of a plan that the budget cut short.
    RollForward,
}

/// A planned map.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The placement.
    pub layers: ExpertPlacement,
    /// Why it was made.
    pub reason: Reason,
    /// Predicted skew, slowest over mean, of the map in force and of the planned one.
    pub skew: (f64, f64),
    /// Weights to load.
    pub moved: Bytes,
    /// Ranks that load any.
    pub loading: u64,
    /// Experts, over all layers, that the loss of one host would leave without a copy.
    pub shortfall: u64,
    /// Whether the budget cut the plan short.
    pub cut: bool,
}

impl Plan {
    /// The event of the time line, with the reason and the predicted gain.
    pub fn event(&self, group: &Group) -> Event {
        let detail = format!(
            "{:?}: predicted skew {:.3} to {:.3}, {} bytes moved, {} experts on one host only{}",
            self.reason,
            self.skew.0,
            self.skew.1,
            self.moved,
            self.shortfall,
            if self.cut { ", cut by the budget" } else { "" },
        );
        Event::new(Code::PlanMade, detail).group(group)
    }
}

/// The planner of one group.
#[derive(Clone, Debug)]
pub struct Planner {
    options: Options,
    spec: GroupSpec,
    sites: Vec<Site>,
}

impl Planner {
    /// A planner for ranks at these sites, by rank.
    pub fn new(spec: GroupSpec, sites: Vec<Site>, options: Options) -> Self {
        Self {
            options,
            spec,
            sites,
        }
    }

    /// Takes over a changed specification.
    pub fn set_spec(&mut self, spec: GroupSpec) {
        self.spec = spec;
    }

    /// Plans the next map for the `members`; none when the present one is good enough, when the group
    /// is frozen, or when the slots can't hold every expert.
    pub fn plan(
        &self,
        loads: &Loads,
        present: Option<&ExpertPlacement>,
        members: &[Rank],
        reason: Reason,
    ) -> Option<Plan> {
        if self.spec.frozen && reason == Reason::Interval {
            return None;
        }
        let ground = self.ground(loads, members);
        let mut cut = false;
        let (before, layers) = match present {
            Some(present) if reason != Reason::Ranks => {
                let before = ground.layers(present);
                let after = self.improve(&ground, &before, reason, &mut cut);
                (before, after)
            }
            _ => {
                let after = self.place(&ground, present)?;
                (after.clone(), after)
            }
        };
        let plan = self.summary(&ground, present, &before, &layers, reason, cut);
        let gain = plan.skew.0 - plan.skew.1;
        let is_small = reason == Reason::Interval && gain < self.options.hysteresis;
        let is_empty = plan.moved == Bytes(0) && reason != Reason::Ranks;
        (!is_small && !is_empty).then_some(plan)
    }

    /// Skew of a map under these loads, slowest over mean.
    pub fn skew(&self, loads: &Loads, layers: &ExpertPlacement, members: &[Rank]) -> f64 {
        let ground = self.ground(loads, members);
        ground.skew(&ground.layers(layers))
    }

    fn ground(&self, loads: &Loads, members: &[Rank]) -> Ground {
        let experts = self.spec.experts as usize;
        let mut hosts: Vec<&Host> = self.sites.iter().map(|site| &site.host).collect();
        hosts.sort();
        hosts.dedup();
        let host = |site: &Site| hosts.iter().position(|host| **host == site.host);
        let cost = |rank: usize| match members.contains(&Rank(rank as u64)) {
            true => loads.cost(Rank(rank as u64)),
            false => f64::INFINITY,
        };
        let mut table = loads.experts().to_vec();
        table.resize(self.spec.layers as usize, Vec::new());
        for row in &mut table {
            // An expert that was never seen still weighs a little, so that it is spread too.
            row.resize(experts, 0.0);
            let least = (row.iter().sum::<f64>() / experts as f64).max(1.0) * 1e-3;
            for load in row {
                *load = load.max(least);
            }
        }
        let slots = members.len() * self.spec.slots as usize;
        Ground {
            loads: table,
            costs: (0..self.sites.len()).map(cost).collect(),
            hosts: self.sites.iter().map(|s| host(s).unwrap_or(0)).collect(),
            slots: self.spec.slots as usize,
            spread: match slots >= self.options.spread * experts {
                true => self.options.spread.min(hosts.len()),
                false => 1,
            },
            fresh_max: self.options.fresh_max,
        }
    }

    /// Places every layer anew, or only those that lost an expert with the ranks that are gone.
    fn place(&self, ground: &Ground, present: Option<&ExpertPlacement>) -> Option<Vec<Layer>> {
        let mut placed = Vec::new();
        for at in 0..ground.loads.len() {
            let setting = ground.setting(at);
            let kept = present.and_then(|p| repair(p.get(at)?, &setting));
            let mut layer = match kept {
                Some(ranks) => Layer::new(&ranks, &setting),
                None => Layer::place(&setting)?,
            };
            if present.is_none() {
                layer.improve(&setting, 0.0, u64::MAX);
                layer.search(&setting, ground.search_rounds());
            }
            placed.push(layer);
        }
        Some(placed)
    }

    fn improve(
        &self,
        ground: &Ground,
        before: &[Layer],
        reason: Reason,
        cut: &mut bool,
    ) -> Vec<Layer> {
        let mut layers = before.to_vec();
        let price = self.price(ground, before, reason);
        let mut budget = self.budget(reason);
        // The layers with the most time to win go first.
        let excess = |at: usize| before[at].slowest() - before[at].mean(&ground.setting(at));
        let mut order: Vec<usize> = (0..layers.len()).collect();
        order.sort_by(|a, b| excess(*b).total_cmp(&excess(*a)).then(a.cmp(b)));
        for at in order {
            let setting = ground.setting(at);
            budget -= layers[at].improve(&setting, price, budget);
            if budget < 2 {
                *cut = true;
                break;
            }
        }
        layers
    }

    /// Time in a layer that one loaded expert must save.
    fn price(&self, ground: &Ground, layers: &[Layer], reason: Reason) -> f64 {
        if reason == Reason::Forced {
            return 0.0;
        }
        let experts = f64::from(self.spec.layers) * f64::from(self.spec.experts);
        let weight = f64::from(self.spec.move_weight) / f64::from(self.spec.skew_weight.max(1));
        ground.mean(layers) * WHOLE_MOVE_PRICE * weight / experts.max(1.0)
    }

    /// Experts that a plan may load.
    fn budget(&self, reason: Reason) -> u64 {
        if matches!(reason, Reason::Forced | Reason::RollForward) {
            return u64::MAX;
        }
        let bytes = self.spec.store_rate.0 as f64 * self.options.budget_span.as_secs_f64();
        (bytes / self.spec.expert_bytes.0.max(1) as f64) as u64
    }

    fn summary(
        &self,
        ground: &Ground,
        present: Option<&ExpertPlacement>,
        before: &[Layer],
        after: &[Layer],
        reason: Reason,
        cut: bool,
    ) -> Plan {
        let layers: ExpertPlacement = after.iter().map(|layer| layer.ranks().to_vec()).collect();
        let loads = loaded(present, &layers);
        let spread = self.options.spread;
        Plan {
            skew: (ground.skew(before), ground.skew(after)),
            moved: Bytes(loads.iter().sum::<u64>() * self.spec.expert_bytes.0),
            loading: loads.iter().filter(|count| **count > 0).count() as u64,
            shortfall: after
                .iter()
                .map(|layer| layer.shortfall(&ground.hosts, spread))
                .sum(),
            layers,
            reason,
            cut,
        }
    }
}

/// Experts that each rank must load to go from one placement to the next.
pub fn loaded(present: Option<&ExpertPlacement>, next: &ExpertPlacement) -> Vec<u64> {
    let mut counts = vec![0; next.first().map_or(0, Vec::len)];
    for (at, layer) in next.iter().enumerate() {
        for (rank, experts) in layer.iter().enumerate() {
            let held = present.and_then(|p| p.get(at)?.get(rank));
            let is_new = |expert: &&u32| held.is_none_or(|held| !held.contains(expert));
            counts[rank] += experts.iter().filter(is_new).count() as u64;
        }
    }
    counts
}

/// Everything that the layers are judged by.
struct Ground {
    loads: Vec<Vec<f64>>,
    costs: Vec<f64>,
    hosts: Vec<usize>,
    slots: usize,
    spread: usize,
    fresh_max: usize,
}

impl Ground {
    /// Rounds of search for each layer; a large group gets none.
    fn search_rounds(&self) -> u64 {
        let slots = self.costs.len() * self.slots * self.loads.len();
        SEARCH_ROUNDS / slots.max(1) as u64
    }

    fn setting(&self, at: usize) -> Setting<'_> {
        Setting {
            loads: &self.loads[at],
            costs: &self.costs,
            hosts: &self.hosts,
            slots: self.slots,
            spread: self.spread,
            fresh_max: self.fresh_max,
        }
    }

    fn layers(&self, layers: &ExpertPlacement) -> Vec<Layer> {
        let layer = |(at, ranks): (usize, &Vec<Vec<u32>>)| Layer::new(ranks, &self.setting(at));
        layers.iter().enumerate().map(layer).collect()
    }

    fn mean(&self, layers: &[Layer]) -> f64 {
        let means = layers.iter().enumerate();
        means.map(|(at, l)| l.mean(&self.setting(at))).sum()
    }

    fn skew(&self, layers: &[Layer]) -> f64 {
        let slowest: f64 = layers.iter().map(Layer::slowest).sum();
        slowest / self.mean(layers).max(f64::MIN_POSITIVE)
    }
}

/// Keeps what the remaining ranks hold and puts each lost expert into the fastest free slot or in
/// place of a second copy; none when that can't be done.
fn repair(ranks: &[Vec<u32>], setting: &Setting<'_>) -> Option<Vec<Vec<u32>>> {
    let mut kept: Vec<Vec<u32>> = ranks.to_vec();
    kept.resize(setting.costs.len(), Vec::new());
    for (rank, cost) in setting.costs.iter().enumerate() {
        if !cost.is_finite() {
            kept[rank].clear();
        }
    }
    for expert in 0..setting.loads.len() as u32 {
        if kept.iter().any(|held| held.contains(&expert)) {
            continue;
        }
        let count = |expert: u32| kept.iter().filter(|held| held.contains(&expert)).count();
        let mut best: Option<(f64, usize, Option<usize>)> = None;
        for (rank, cost) in setting.costs.iter().enumerate() {
            if !cost.is_finite() {
                continue;
            }
            let slot = match kept[rank].len() < setting.slots {
                true => None,
                false => match kept[rank].iter().position(|held| count(*held) > 1) {
                    Some(slot) => Some(slot),
                    None => continue,
                },
            };
            let load = |e: &u32| setting.loads[*e as usize] / count(*e) as f64;
            let time = kept[rank].iter().map(load).sum::<f64>() * cost;
            if best.is_none_or(|(least, ..)| time < least) {
                best = Some((time, rank, slot));
            }
        }
        let (_, rank, slot) = best?;
        match slot {
            Some(slot) => kept[rank][slot] = expert,
            None => kept[rank].push(expert),
        }
    }
    Some(kept)
}
