//! The placement of one layer: which rank holds which experts, and how long each rank works.
//!
//! The tokens of an expert are divided evenly among its copies. A rank's time in the layer is the
//! tokens of its copies times its time per token; the slowest rank decides.

/// Changes tried in a row without a better result.
const IDLE_CHANGES_MAX: u32 = 8;

/// Ranks, the least busy ones, that a change may involve beside the slowest.
const PARTNERS_MAX: usize = 8;

/// Least gain of a change, as a part of the slowest rank's time.
const LEAST_GAIN: f64 = 1e-9;

/// Changes that disturb a placement before it is improved again.
const DISTURBANCES: usize = 3;

/// What a placement is judged by.
#[derive(Clone, Copy, Debug)]
pub struct Setting<'a> {
    /// Tokens for each expert.
    pub loads: &'a [f64],
    /// Time per token of each rank; infinite for a rank that takes no part.
    pub costs: &'a [f64],
    /// Host of each rank, by number.
    pub hosts: &'a [usize],
    /// Expert slots of a rank.
    pub slots: usize,
    /// Hosts that must hold each expert, one or two.
    pub spread: usize,
    /// Experts that a rank may hold beyond those of the placement that it starts from.
    pub fresh_max: usize,
}

/// One expert loaded into a slot, in place of another or of nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// Two ranks exchange an expert.
    Swap(usize, usize, usize, usize),
    /// A rank loads an expert into a slot; a slot beyond its last is a free one.
    Load(usize, usize, u32),
}

/// The placement of one layer.
#[derive(Clone, Debug, PartialEq)]
pub struct Layer {
    ranks: Vec<Vec<u32>>,
    copies: Vec<Vec<usize>>,
    times: Vec<f64>,
    /// The placement that changes start from.
    base: Vec<Vec<u32>>,
}

/// A change and what it brings.
struct Candidate {
    change: Change,
    gain: f64,
    loaded: u64,
}

impl Candidate {
    fn worth(&self) -> f64 {
        self.gain / self.loaded as f64
    }
}

/// Weighs a rank's time, relative to the slowest one, so that the slow ranks count most.
fn weight(time: f64, slowest: f64) -> f64 {
    let square = (time / slowest) * (time / slowest);
    square * square * square * square
}

impl Layer {
    /// The placement with these experts by rank.
    pub fn new(ranks: &[Vec<u32>], setting: &Setting<'_>) -> Self {
        let mut layer = Self {
            ranks: ranks.to_vec(),
            copies: vec![Vec::new(); setting.loads.len()],
            times: vec![0.0; ranks.len()],
            base: ranks.to_vec(),
        };
        for (rank, experts) in ranks.iter().enumerate() {
            for expert in experts {
                layer.copies[*expert as usize].push(rank);
            }
        }
        layer.measure(setting);
        layer
    }

    /// Places all experts anew: copies to the hottest, then the heaviest copy to the fastest free
    /// rank.
    pub fn place(setting: &Setting<'_>) -> Option<Self> {
        let ranks: Vec<usize> = (0..setting.costs.len())
            .filter(|rank| setting.costs[*rank].is_finite())
            .collect();
        let copies = copy_counts(setting, &ranks)?;
        let mut order: Vec<usize> = (0..copies.len()).collect();
        let share = |expert: usize| setting.loads[expert] / copies[expert] as f64;
        order.sort_by(|a, b| share(*b).total_cmp(&share(*a)).then(a.cmp(b)));
        let mut placed = vec![Vec::new(); setting.costs.len()];
        let mut times = vec![0.0; setting.costs.len()];
        for expert in order {
            for _ in 0..copies[expert] {
                // The slots that are left may all be on ranks that hold the expert already.
                let Some(rank) = best_rank(setting, &ranks, &placed, &times, expert as u32) else {
                    break;
                };
                placed[rank].push(expert as u32);
                times[rank] += share(expert) * setting.costs[rank];
            }
        }
        Some(Self::new(&placed, setting))
    }

    /// The experts of each rank.
    pub fn ranks(&self) -> &[Vec<u32>] {
        &self.ranks
    }

    /// Time of the slowest rank.
    pub fn slowest(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max)
    }

    /// Mean time of the ranks that take part.
    pub fn mean(&self, setting: &Setting<'_>) -> f64 {
        let taking = setting.costs.iter().filter(|cost| cost.is_finite()).count();
        self.times.iter().sum::<f64>() / taking.max(1) as f64
    }

    /// Experts that fewer hosts hold than wanted, one or two.
    pub fn shortfall(&self, hosts: &[usize], wanted: usize) -> u64 {
        let lacks = |copies: &&Vec<usize>| host_count(copies.iter().copied(), hosts) < wanted;
        self.copies.iter().filter(lacks).count() as u64
    }

    /// Makes the changes whose gain, in time of the slowest rank, most exceeds `price` for each
    /// expert loaded; gives the experts loaded.
    ///
    /// One change seldom shortens the slowest rank's time when several are as slow, so changes are
    /// tried in a row by what they take off all slow ranks, and the best beginning of the row stays.
    pub fn improve(&mut self, setting: &Setting<'_>, price: f64, budget: u64) -> u64 {
        let slowest = self.slowest();
        let mut trial = self.clone();
        let mut best = (slowest * LEAST_GAIN, 0, None);
        let mut spent = 0;
        let mut idle = 0;
        while idle < IDLE_CHANGES_MAX {
            let Some(candidate) = trial.next_change(setting, budget - spent) else {
                break;
            };
            trial.apply(candidate.change, setting);
            spent += candidate.loaded;
            idle += 1;
            let value = slowest - trial.slowest() - price * spent as f64;
            if value > best.0 {
                best = (value, spent, Some(trial.clone()));
                idle = 0;
            }
        }
        if let Some(layer) = best.2 {
            *self = layer;
        }
        best.1
    }

    /// Improves again from `rounds` disturbed placements and keeps the best.
    pub fn search(&mut self, setting: &Setting<'_>, rounds: u64) {
        let mut state = 0;
        for _ in 0..rounds {
            let mut trial = self.clone();
            for _ in 0..DISTURBANCES {
                trial.disturb(setting, &mut state);
            }
            trial.improve(setting, 0.0, u64::MAX);
            if trial.slowest() < self.slowest() {
                *self = trial;
            }
        }
    }

    /// Makes a change drawn from `state`, if it is allowed.
    fn disturb(&mut self, setting: &Setting<'_>, state: &mut u64) {
        let (a, b) = (draw(state, self.ranks.len()), draw(state, self.ranks.len()));
        if a == b || self.ranks[a].is_empty() || self.ranks[b].is_empty() {
            return;
        }
        let (i, j) = (
            draw(state, self.ranks[a].len()),
            draw(state, self.ranks[b].len()),
        );
        let (first, second) = (self.ranks[a][i], self.ranks[b][j]);
        if self.ranks[b].contains(&first) {
            return;
        }
        let change = match self.copies[second as usize].len() > 1 && draw(state, 2) == 0 {
            true => Change::Load(b, j, first),
            false if self.ranks[a].contains(&second) => return,
            false => Change::Swap(a, i, b, j),
        };
        if self.is_spread_after(setting, change) && self.is_fresh_after(setting, change) {
            self.apply(change, setting);
        }
    }

    /// The change of the slowest rank's experts that evens the times most for each expert loaded.
    fn next_change(&self, setting: &Setting<'_>, budget: u64) -> Option<Candidate> {
        let slowest = self.slowest();
        let heavy = self.times.iter().position(|time| *time == slowest)?;
        let mut best: Option<Candidate> = None;
        let mut offer = |candidate: Option<Candidate>| {
            let Some(candidate) = candidate else {
                return;
            };
            let least = best.as_ref().map_or(LEAST_GAIN, Candidate::worth);
            let is_better = candidate.loaded <= budget && candidate.worth() > least;
            let allowed = self.is_spread_after(setting, candidate.change)
                && self.is_fresh_after(setting, candidate.change);
            if is_better && allowed {
                best = Some(candidate);
            }
        };
        for rank in self.partners(setting, heavy) {
            for (slot, expert) in self.ranks[heavy].iter().enumerate() {
                if self.ranks[rank].contains(expert) {
                    continue;
                }
                for other in 0..self.ranks[rank].len() {
                    offer(self.swap(setting, (heavy, slot), (rank, other)));
                    offer(self.load(setting, rank, other, *expert));
                }
                if self.ranks[rank].len() < setting.slots {
                    offer(self.load(setting, rank, self.ranks[rank].len(), *expert));
                }
            }
        }
        best
    }

    /// The least busy ranks besides `heavy`.
    fn partners(&self, setting: &Setting<'_>, heavy: usize) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.ranks.len())
            .filter(|rank| *rank != heavy && setting.costs[*rank].is_finite())
            .collect();
        ranks.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]).then(a.cmp(b)));
        ranks.truncate(PARTNERS_MAX);
        ranks
    }

    fn swap(
        &self,
        setting: &Setting<'_>,
        (heavy, slot): (usize, usize),
        (rank, other): (usize, usize),
    ) -> Option<Candidate> {
        let (a, b) = (self.ranks[heavy][slot], self.ranks[rank][other]);
        let delta = self.share(setting, a) - self.share(setting, b);
        if delta <= 0.0 || self.ranks[heavy].contains(&b) {
            return None;
        }
        let first = self.times[heavy] - delta * setting.costs[heavy];
        let second = self.times[rank] + delta * setting.costs[rank];
        let slowest = self.times[heavy];
        let gain = 1.0 + weight(self.times[rank], slowest)
            - weight(first, slowest)
            - weight(second, slowest);
        if gain <= 0.0 {
            return None;
        }
        Some(Candidate {
            change: Change::Swap(heavy, slot, rank, other),
            gain,
            loaded: 2,
        })
    }

    /// One more copy of `expert` on `rank`, in place of what the slot holds.
    fn load(
        &self,
        setting: &Setting<'_>,
        rank: usize,
        slot: usize,
        expert: u32,
    ) -> Option<Candidate> {
        let old = self.ranks[rank].get(slot).copied();
        if old.is_some_and(|old| self.copies[old as usize].len() < 2) {
            return None;
        }
        let slowest = self.slowest();
        let gain = |rank: usize, added: f64| {
            let time = self.times[rank];
            weight(time, slowest) - weight(time + added * setting.costs[rank], slowest)
        };
        let holders = &self.copies[expert as usize];
        let share = setting.loads[expert as usize] / (holders.len() + 1) as f64;
        let less = share - self.share(setting, expert);
        let old_holders = old.map_or(&[][..], |old| &self.copies[old as usize][..]);
        let old_share = old.map_or(0.0, |old| self.share(setting, old));
        let more = old_share / old_holders.len().saturating_sub(1).max(1) as f64;
        let mut sum = gain(rank, share - old_share);
        for holder in holders {
            let shared = if old_holders.contains(holder) {
                more
            } else {
                0.0
            };
            sum += gain(*holder, less + shared);
        }
        for holder in old_holders {
            if *holder != rank && !holders.contains(holder) {
                sum += gain(*holder, more);
            }
        }
        Some(Candidate {
            change: Change::Load(rank, slot, expert),
            gain: sum,
            loaded: 1,
        })
    }

    fn share(&self, setting: &Setting<'_>, expert: u32) -> f64 {
        let copies = self.copies[expert as usize].len().max(1);
        setting.loads[expert as usize] / copies as f64
    }

    /// Whether each expert that loses a copy is still on enough hosts, or on as many as before.
    fn is_spread_after(&self, setting: &Setting<'_>, change: Change) -> bool {
        match change {
            Change::Swap(a, i, b, j) => {
                let (first, second) = (self.ranks[a][i], self.ranks[b][j]);
                self.keeps_spread(setting, first, a, Some(b))
                    && self.keeps_spread(setting, second, b, Some(a))
            }
            Change::Load(rank, slot, _) => match self.ranks[rank].get(slot) {
                Some(old) => self.keeps_spread(setting, *old, rank, None),
                None => true,
            },
        }
    }

    /// Whether no rank holds more new experts after a change than allowed.
    fn is_fresh_after(&self, setting: &Setting<'_>, change: Change) -> bool {
        match change {
            Change::Swap(a, i, b, j) => {
                let (first, second) = (self.ranks[a][i], self.ranks[b][j]);
                self.stays_fresh(setting, a, i, second) && self.stays_fresh(setting, b, j, first)
            }
            Change::Load(rank, slot, expert) => self.stays_fresh(setting, rank, slot, expert),
        }
    }

    fn stays_fresh(&self, setting: &Setting<'_>, rank: usize, slot: usize, expert: u32) -> bool {
        let is_new = |expert: &u32| !self.base[rank].contains(expert);
        if !is_new(&expert) {
            return true;
        }
        let others = self.ranks[rank].iter().enumerate();
        let held = others.filter(|(at, expert)| *at != slot && is_new(expert));
        held.count() < setting.fresh_max
    }

    fn keeps_spread(
        &self,
        setting: &Setting<'_>,
        expert: u32,
        without: usize,
        with: Option<usize>,
    ) -> bool {
        let copies = &self.copies[expert as usize];
        let before = host_count(copies.iter().copied(), setting.hosts);
        let kept = copies.iter().copied().filter(|rank| *rank != without);
        host_count(kept.chain(with), setting.hosts) >= before.min(setting.spread)
    }

    fn apply(&mut self, change: Change, setting: &Setting<'_>) {
        match change {
            Change::Swap(a, i, b, j) => {
                let (first, second) = (self.ranks[a][i], self.ranks[b][j]);
                self.ranks[a][i] = second;
                self.ranks[b][j] = first;
                self.copies[first as usize].retain(|rank| *rank != a);
                self.copies[first as usize].push(b);
                self.copies[second as usize].retain(|rank| *rank != b);
                self.copies[second as usize].push(a);
            }
            Change::Load(rank, slot, expert) => {
                if slot < self.ranks[rank].len() {
                    let old = std::mem::replace(&mut self.ranks[rank][slot], expert);
                    self.copies[old as usize].retain(|holder| *holder != rank);
                } else {
                    self.ranks[rank].push(expert);
                }
                self.copies[expert as usize].push(rank);
            }
        }
        self.measure(setting);
    }

    fn measure(&mut self, setting: &Setting<'_>) {
        for rank in 0..self.ranks.len() {
            let shares = self.ranks[rank].iter().map(|e| self.share(setting, *e));
            let tokens: f64 = shares.sum();
            self.times[rank] = match tokens > 0.0 {
                true => tokens * setting.costs[rank],
                false => 0.0,
            };
        }
    }
}

/// Copies of each expert: the spread first, then one more to the hottest until the slots are full.
fn copy_counts(setting: &Setting<'_>, ranks: &[usize]) -> Option<Vec<usize>> {
    let experts = setting.loads.len();
    let mut free = (ranks.len() * setting.slots).checked_sub(experts)?;
    let mut copies = vec![1; experts];
    if setting.spread > 1 && free >= experts {
        copies = vec![2; experts];
        free -= experts;
    }
    while free > 0 {
        let share = |expert: usize| setting.loads[expert] / copies[expert] as f64;
        let hottest = (0..experts)
            .filter(|expert| copies[*expert] < ranks.len())
            .max_by(|a, b| share(*a).total_cmp(&share(*b)).then(b.cmp(a)))?;
        copies[hottest] += 1;
        free -= 1;
    }
    Some(copies)
}

/// The rank with a free slot that finishes soonest with the expert; a new host goes first while the
/// expert lacks hosts.
fn best_rank(
    setting: &Setting<'_>,
    ranks: &[usize],
    placed: &[Vec<u32>],
    times: &[f64],
    expert: u32,
) -> Option<usize> {
    let holders: Vec<usize> = ranks
        .iter()
        .copied()
        .filter(|rank| placed[*rank].contains(&expert))
        .collect();
    let lacks_host = host_count(holders.iter().copied(), setting.hosts) < setting.spread;
    let repeats = |rank: usize| {
        holders
            .iter()
            .any(|h| setting.hosts[*h] == setting.hosts[rank])
    };
    let load = setting.loads[expert as usize];
    ranks
        .iter()
        .copied()
        .filter(|rank| placed[*rank].len() < setting.slots && !holders.contains(rank))
        .min_by(|a, b| {
            let key = |rank: usize| {
                let repeated = lacks_host && repeats(rank);
                (repeated, times[rank] + load * setting.costs[rank] * 1e-6)
            };
            let (a, b) = (key(*a), key(*b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
}

/// Hosts of the ranks, counted up to two.
fn host_count(mut ranks: impl Iterator<Item = usize>, hosts: &[usize]) -> usize {
    let Some(first) = ranks.next() else {
        return 0;
    };
    match ranks.any(|rank| hosts[rank] != hosts[first]) {
        true => 2,
        false => 1,
    }
}

/// The next number below `bound` of a fixed sequence.
fn draw(state: &mut u64, bound: usize) -> usize {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mixed = (*state ^ (*state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((mixed ^ (mixed >> 31)) % bound.max(1) as u64) as usize
}
