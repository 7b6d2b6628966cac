//! Invalidates earlier orders where engines don't check fencing tokens.
//!
//! An order may be carried out at any later time, also after newer ones. It has no effect any more once
//! its engine has begun another order, because it names the number of orders that the engine must have
//! begun. A predecessor that sends no more orders has seen no higher numbers than the first reports of
//! its successor show. So a rank is overtaken as soon as it has begun one more order, whoever sent it.
//! That order is to prepare the active map under a version that is higher than all reported ones. It
//! copies nothing, and no earlier version can be armed after it.
//!
//! An armed rank can't prepare a map. It is disarmed first, but not while the group may start the step
//! at which the others activate the map:
//!
//! 1. Wait until the group stands before the earliest hold. All armed ranks are then armed for that
//!    step or a later one.
//! 2. Hold the group at a second rank too, where no earlier order can release it.
//! 3. Disarm and overtake the rank that holds there. If a predecessor's order to release it is carried
//!    out before that, this order is refused, and all ranks activate the map.
//! 4. From then on nothing but this controller can release the hold. Disarm and overtake the others.
//! 5. When all ranks are overtaken, release the holds.

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrassdyke_core::id::{Rank, Step, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::group::ExpertPlacement;
use eelgrassdyke_core::wire::rank::{EngineReport, RankAction};

use super::round::Round;
use super::{Controller, Output, Phase, RankEntry};

/// Limit of the exponent by which the version grows after refusals.
const VERSION_DOUBLINGS_MAX: u32 = 16;

/// The state of a controller that overtakes earlier orders.
#[derive(Clone, Debug)]
pub(super) struct Overtaking {
    pub(super) round: Round,
    /// Number of the fencing order that each rank confirmed; reports from before it are outdated.
    fencing_orders: BTreeMap<Rank, u64>,
    /// A rank is overtaken when it has prepared this version or a higher one.
    first_version: Version,
    /// The version that ranks are ordered to prepare. A rank may have had higher ones than its reports
    /// show, and then refuses it.
    version: Version,
    /// How often the version was raised.
    raises: u32,
    /// The last order to each rank.
    sent: BTreeMap<Rank, Stage>,
}

/// What a rank has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Disarm(Version),
    Prepare(Version),
    Hold(Step),
    Release(Step),
}

impl Stage {
    /// Whether both are orders of the same kind.
    fn is_like(self, other: Self) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

impl Overtaking {
    fn is_overtaken(&self, entry: &RankEntry) -> bool {
        let prepared = entry.report.prepared_map;
        entry.report.armed_map.is_none()
            && prepared.is_some_and(|version| version >= self.first_version)
    }

    /// Raises the version after a rank has refused to prepare it.
    fn raise_version(&mut self, rank: Rank) {
        if self.sent.get(&rank) == Some(&Stage::Prepare(self.version)) {
            let doublings = self.raises.min(VERSION_DOUBLINGS_MAX);
            self.version = Version(self.version.0 + (1 << doublings));
            self.raises += 1;
        }
    }
}

impl Controller {
    /// Enters [`Phase::Overtaking`] after all ranks have reported since `fencing_orders`.
    pub(super) fn start_overtaking(&mut self, fencing_orders: BTreeMap<Rank, u64>) {
        let version = self.highest_version.next();
        self.highest_version = version;
        self.phase = Phase::Overtaking(Overtaking {
            round: Round::default(),
            fencing_orders,
            first_version: version,
            version,
            raises: 0,
            sent: BTreeMap::new(),
        });
    }

    /// Reacts to the refusal of an order that should overtake earlier ones.
    pub(super) fn handle_overtaking_refusal(&mut self, rank: Rank) {
        let Phase::Overtaking(overtaking) = &mut self.phase else {
            return;
        };
        overtaking.raise_version(rank);
        self.highest_version = self.highest_version.max(overtaking.version);
    }

    /// Sends each rank the order that its latest report calls for.
    pub(super) fn advance_overtaking(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Phase::Overtaking(overtaking) = &self.phase else {
            return;
        };
        if self.ranks.len() < self.group_size as usize
            || !self.have_reported_since(&overtaking.fencing_orders)
        {
            return;
        }
        let is_overtaken = |entry: &RankEntry| overtaking.is_overtaken(entry);
        let stages = match self.ranks.values().all(is_overtaken) {
            true => self.held_ranks(),
            false => self.ranks_to_overtake(overtaking),
        };
        if stages.is_empty() && self.ranks.values().all(is_overtaken) {
            self.phase = Phase::Settled;
            return;
        }
        let is_due = |(rank, stage): &(&Rank, &Stage)| {
            let is_next = |sent: &Stage| !sent.is_like(**stage);
            overtaking.sent.get(rank).is_some_and(is_next)
                || overtaking
                    .round
                    .is_due(now, **rank, self.options.resend_interval)
        };
        let due: BTreeMap<Rank, Stage> = stages
            .iter()
            .filter(is_due)
            .filter(|(rank, _)| self.shows_accepted_order(now, **rank))
            .map(|(rank, stage)| (*rank, *stage))
            .collect();
        let prepares = due.values().any(|stage| matches!(stage, Stage::Prepare(_)));
        let layers = prepares.then(|| self.reported_placement()).flatten();
        let layers = layers.map(Arc::new);
        for (rank, stage) in due {
            let action = match (stage, &layers) {
                (Stage::Disarm(version), _) => RankAction::Disarm { version },
                (Stage::Hold(step), _) => RankAction::Hold { step },
                (Stage::Release(step), _) => RankAction::Release { step },
                (Stage::Prepare(version), Some(layers)) => RankAction::Prepare {
                    version,
                    layers: layers.clone(),
                },
                // The reports of some ranks don't contain their experts yet.
                (Stage::Prepare(_), None) => continue,
            };
            self.send_orders(now, &[rank], |_| action.clone(), out);
            if let Phase::Overtaking(overtaking) = &mut self.phase {
                overtaking.sent.insert(rank, stage);
            }
        }
    }

    fn held_ranks(&self) -> BTreeMap<Rank, Stage> {
        self.ranks
            .iter()
            .filter_map(|(rank, entry)| Some((*rank, Stage::Release(entry.report.hold_step?))))
            .collect()
    }

    /// The ranks that are not overtaken and may be disarmed or prepare a map now.
    fn ranks_to_overtake(&self, overtaking: &Overtaking) -> BTreeMap<Rank, Stage> {
        let mut stages = BTreeMap::new();
        let first_hold = self.first_hold();
        let is_overtaken = |rank: Rank| overtaking.is_overtaken(&self.ranks[&rank]);
        let is_firm = first_hold.is_some_and(|(_, rank)| is_overtaken(rank));
        let is_held_twice = first_hold.is_some_and(|(step, _)| {
            let holds = |entry: &&RankEntry| entry.report.hold_step == Some(step);
            self.ranks.values().filter(holds).count() > 1
        });
        if let Some((step, _)) = first_hold.filter(|_| !is_held_twice)
            && self
                .ranks
                .values()
                .any(|entry| entry.report.armed_map.is_some())
        {
            let mut free = self.ranks.iter();
            let free = free.find(|(_, entry)| entry.report.hold_step.is_none());
            return free
                .map(|(rank, _)| (*rank, Stage::Hold(step)))
                .into_iter()
                .collect();
        }
        for (rank, entry) in &self.ranks {
            if overtaking.is_overtaken(entry) {
                continue;
            }
            let stage = match entry.report.armed_map {
                None => Stage::Prepare(overtaking.version),
                Some(version) if is_firm || first_hold.is_some_and(|(_, first)| first == *rank) => {
                    Stage::Disarm(version)
                }
                Some(_) => continue,
            };
            stages.insert(*rank, stage);
        }
        stages
    }

    /// The rank with the earliest hold, if the group stands before it.
    fn first_hold(&self) -> Option<(Step, Rank)> {
        let holds = self.ranks.iter();
        let holds = holds.filter_map(|(rank, entry)| Some((entry.report.hold_step?, *rank)));
        let (step, rank) = holds.min()?;
        let present = self.ranks.values().map(|entry| entry.report.step).max()?;
        (present.next() == step).then_some((step, rank))
    }

    /// The active map of all ranks; none while they are not known to use the same one.
    fn reported_placement(&self) -> Option<ExpertPlacement> {
        let mut reports = self.ranks.values().map(|entry| &entry.report);
        let first = reports.next()?;
        let layers = first.experts.len();
        let is_alike = |report: &EngineReport| {
            report.active_map == first.active_map && report.experts.len() == layers
        };
        if layers == 0 || !reports.all(is_alike) {
            return None;
        }
        Some(self.reported_experts(layers))
    }

    /// Whether the latest report of a rank shows the effect of the last order that it accepted. Where
    /// engines check fencing tokens, orders don't depend on it.
    pub(super) fn shows_accepted_order(&self, now: Instant, rank: Rank) -> bool {
        if self.options.engines_check_fencing {
            return true;
        }
        let (Some(entry), Some((number, accepted_at))) =
            (self.ranks.get(&rank), self.accepted_orders.get(&rank))
        else {
            return true;
        };
        // An order that went to the engine directly is not known to its watch process.
        entry.report.last_known_order >= *number
            || now.since(*accepted_at) >= self.options.resend_interval
    }

    /// Whether the reports show that the ranks can't be armed for this step any more, where engines don't
    /// check fencing tokens.
    pub(super) fn has_lost_switch(&self, version: Version, step: Step) -> bool {
        let has_lost_map = |entry: &RankEntry| {
            let report = &entry.report;
            let maps = [report.prepared_map, report.armed_map];
            !maps.contains(&Some(version)) || report.step >= step
        };
        !self.options.engines_check_fencing && self.ranks.values().any(has_lost_map)
    }

    /// Counts the ranks whose reports show that they are armed as confirmed, where engines don't check
    /// fencing tokens: an engine may refuse the repetition of an order whose answer was lost.
    pub(super) fn confirm_armed_ranks(&mut self) {
        if self.options.engines_check_fencing {
            return;
        }
        let Phase::Arming { version, round, .. } = &mut self.phase else {
            return;
        };
        for (rank, entry) in &self.ranks {
            if entry.report.armed_map == Some(*version) {
                let number = entry.report.last_known_order;
                round.confirmed.entry(*rank).or_insert(number);
            }
        }
    }

    /// Whether the holder's report shows that it is still armed and holds the group, so that no other
    /// controller has disarmed a rank. Where engines check fencing tokens, orders don't depend on it.
    pub(super) fn may_release(&self, holder: Rank, version: Version, step: Step) -> bool {
        if self.options.engines_check_fencing {
            return true;
        }
        let is_held = |entry: &&RankEntry| {
            entry.report.armed_map == Some(version) && entry.report.hold_step == Some(step)
        };
        self.ranks.get(&holder).filter(is_held).is_some()
    }

    /// Whether the holder's report shows that another controller has disarmed it, where engines don't
    /// check fencing tokens.
    pub(super) fn is_holder_disarmed(&self, holder: Rank, version: Version) -> bool {
        let Some(entry) = self.ranks.get(&holder) else {
            return false;
        };
        let report = &entry.report;
        let accepted = self.accepted_orders.get(&holder);
        !self.options.engines_check_fencing
            && accepted.is_none_or(|(number, _)| report.last_known_order >= *number)
            && report.armed_map != Some(version)
            && report.active_map != version
    }
}
