//! The durable state of a group.
//!
//! A [`Standing`] changes by [`Decision`]s alone, in the order of the replicated log. A decision that
//! no longer fits, such as one that a deposed leader had under way, leaves it unchanged, so the first
//! of two rivals in the log wins on every replica.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Generation, Incarnation, Rank, Step, Version};
use eelgrassdyke_core::wire::group::{ActiveMap, ExpertMap, PendingSwitch};

data! {
    /// A change of a group's durable state.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Decision {
        /// An agent life speaks for a rank from now on.
        Join {
            /// The rank.
            rank: Rank,
            /// The agent's life.
            life: Incarnation,
            /// Whether the rank's engine holds nothing of the group.
            fresh: bool,
        },
        /// A rank is gone.
        Leave {
            /// The rank.
            rank: Rank,
            /// The agent's life that was given up.
            life: Incarnation,
        },
        /// A new generation begins, with the ranks present and this map as the first to prepare.
        Open {
            /// The new generation.
            generation: Generation,
            /// Its ranks.
            members: BTreeSet<Rank>,
            /// Its first map; the generation waits without one.
            map: Option<ExpertMap>,
        },
        /// A switch to this map is prepared.
        Propose {
            /// The generation meant.
            generation: Generation,
            /// The next map.
            map: ExpertMap,
        },
        /// The map under preparation is used from a step on.
        Commit {
            /// The generation meant.
            generation: Generation,
            /// Version of the map.
            version: Version,
            /// Its first step.
            at: Step,
        },
        /// The map under preparation is dropped.
        Abort {
            /// The generation meant.
            generation: Generation,
            /// Version of the map.
            version: Version,
        },
    }

    /// The durable state of a group.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct Standing {
        /// The group's present life.
        pub generation: Generation,
        /// Counts the decisions about maps; the sequence of the fence that ranks compare.
        pub revision: u64,
        /// The ranks of this generation.
        pub members: BTreeSet<Rank>,
        /// The agent lives that speak for ranks.
        pub lives: BTreeMap<Rank, Incarnation>,
        /// Whether a member was lost since the generation began.
        pub broken: bool,
        /// The map in force.
        pub present: Option<ActiveMap>,
        /// The switch in progress; it stays here after its commit until the next one.
        pub pending: Option<PendingSwitch>,
        /// Highest version decided either way.
        pub decided: Version,
        /// Highest version ever used.
        pub newest: Version,
        /// Highest first step of a committed map.
        pub floor: Step,
    }
}

impl Standing {
    /// Applies a decision; false when it no longer fits and changed nothing.
    pub fn apply(&mut self, decision: &Decision) -> bool {
        match decision {
            Decision::Join { rank, life, fresh } => self.join(*rank, *life, *fresh),
            Decision::Leave { rank, life } => self.leave(*rank, *life),
            Decision::Open {
                generation,
                members,
                map,
            } => self.open(*generation, members, map.as_ref()),
            Decision::Propose { generation, map } => self.propose(*generation, map),
            Decision::Commit {
                generation,
                version,
                at,
            } => self.decide(*generation, *version, Some(*at)),
            Decision::Abort {
                generation,
                version,
            } => self.decide(*generation, *version, None),
        }
    }

    /// The map under preparation that has no decision yet.
    pub fn undecided(&self) -> Option<&ExpertMap> {
        let pending = self.pending.as_ref()?;
        pending.first_step.is_none().then_some(&pending.map)
    }

    /// The map that the group uses once every decision so far is in force.
    pub fn latest(&self) -> Option<&ExpertMap> {
        let committed = self.pending.as_ref().filter(|p| p.first_step.is_some());
        let present = self.present.as_ref().map(|p| &p.map);
        committed.map(|p| &p.map).or(present)
    }

    /// Whether the ranks that speak are other ones than the generation began with.
    pub fn needs_generation(&self) -> bool {
        let down = self.latest().is_none() && self.undecided().is_none();
        !self.lives.is_empty()
            && (self.broken || down || !self.members.iter().eq(self.lives.keys()))
    }

    fn join(&mut self, rank: Rank, life: Incarnation, fresh: bool) -> bool {
        let known = self.lives.get(&rank).copied();
        if known.is_some_and(|known| known >= life) {
            return false;
        }
        self.lives.insert(rank, life);
        self.broken |= fresh && known.is_some() && self.members.contains(&rank);
        true
    }

    fn leave(&mut self, rank: Rank, life: Incarnation) -> bool {
        if self.lives.get(&rank) != Some(&life) {
            return false;
        }
        self.lives.remove(&rank);
        self.broken |= self.members.contains(&rank);
        true
    }

    fn open(
        &mut self,
        generation: Generation,
        members: &BTreeSet<Rank>,
        map: Option<&ExpertMap>,
    ) -> bool {
        let fits = generation == self.generation.next()
            && members.iter().eq(self.lives.keys())
            && map.is_none_or(|map| map.version == self.newest.next());
        if !fits {
            return false;
        }
        self.generation = generation;
        self.revision += 1;
        self.members = members.clone();
        self.broken = false;
        self.present = None;
        self.pending = map.map(|map| PendingSwitch {
            map: map.clone(),
            first_step: None,
        });
        self.decided = self.newest;
        self.newest = map.map_or(self.newest, |map| map.version);
        true
    }

    fn propose(&mut self, generation: Generation, map: &ExpertMap) -> bool {
        let fits = generation == self.generation
            && self.latest().is_some()
            && self.undecided().is_none()
            && map.version == self.newest.next();
        if !fits {
            return false;
        }
        self.revision += 1;
        self.fold();
        self.pending = Some(PendingSwitch {
            map: map.clone(),
            first_step: None,
        });
        self.newest = map.version;
        true
    }

    fn decide(&mut self, generation: Generation, version: Version, at: Option<Step>) -> bool {
        let fits = generation == self.generation
            && self.undecided().is_some_and(|map| map.version == version);
        if !fits {
            return false;
        }
        self.revision += 1;
        self.decided = version;
        let Some(at) = at else {
            self.pending = None;
            return true;
        };
        self.floor = self.floor.max(at);
        if let Some(pending) = &mut self.pending {
            pending.first_step = Some(at);
        }
        true
    }

    /// Takes a committed switch as the map in force.
    fn fold(&mut self) {
        let Some(PendingSwitch {
            map,
            first_step: Some(from),
        }) = self.pending.take()
        else {
            return;
        };
        self.present = Some(ActiveMap {
            map,
            first_step: from,
        });
    }
}
