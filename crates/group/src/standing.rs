//! The durable state of a group.
//!
//! A [`DurableState`] is changed only by [`Decision`]s, in the order of the replicated log. A decision
//! that does not apply to the current state, such as a late one of a deposed leader, has no effect.
//! Thus the first of two conflicting decisions in the log wins on every replica.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Generation, Incarnation, Rank, Step, Version};
use eelgrassdyke_core::wire::group::{ActiveMap, ExpertMap, PendingSwitch};

data! {
    /// A change of a group's durable state.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Decision {
        /// An agent incarnation joins for a rank and replaces any earlier one.
        Join {
            /// The rank.
            rank: Rank,
            /// The incarnation of the agent.
            #[serde(rename = "life")]
            incarnation: Incarnation,
            /// Whether the rank's engine has restarted and has no map loaded.
            #[serde(rename = "fresh")]
            engine_restarted: bool,
        },
        /// A rank is lost.
        Leave {
            /// The rank.
            rank: Rank,
            /// The incarnation of its agent.
            #[serde(rename = "life")]
            incarnation: Incarnation,
        },
        /// A new generation starts with the joined ranks and prepares its first map.
        Open {
            /// The new generation.
            generation: Generation,
            /// Its ranks.
            members: BTreeSet<Rank>,
            /// Its first map; without one, the generation runs no steps.
            map: Option<ExpertMap>,
        },
        /// The preparation of a switch to this map starts.
        Propose {
            /// The generation that it applies to.
            generation: Generation,
            /// The next map.
            map: ExpertMap,
        },
        /// The prepared map is used from `first_step` on.
        Commit {
            /// The generation that it applies to.
            generation: Generation,
            /// Version of the map.
            version: Version,
            /// First step that uses the map.
            #[serde(rename = "at")]
            first_step: Step,
        },
        /// The map in preparation is discarded.
        Abort {
            /// The generation that it applies to.
            generation: Generation,
            /// Version of the map.
            version: Version,
        },
    }

    /// The durable state of a group.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct DurableState {
        /// The current generation.
        pub generation: Generation,
        /// Number of decisions about generations and maps: the sequence of the fencing token that ranks
        /// compare.
        pub revision: u64,
        /// The ranks of this generation.
        pub members: BTreeSet<Rank>,
        /// The agent incarnation of each joined rank.
        #[serde(rename = "lives")]
        pub incarnations: BTreeMap<Rank, Incarnation>,
        /// Whether a member was lost since the start of the generation.
        #[serde(rename = "broken")]
        pub member_lost: bool,
        /// The active map; a committed switch replaces it only when the next one is proposed.
        #[serde(rename = "present")]
        pub active: Option<ActiveMap>,
        /// The switch in progress; it is kept after its commit until the next one is proposed.
        pub pending: Option<PendingSwitch>,
        /// Highest version that was committed or aborted.
        #[serde(rename = "decided")]
        pub decided_version: Version,
        /// Highest version that was proposed.
        #[serde(rename = "newest")]
        pub highest_version: Version,
        /// Highest first step of a committed map.
        #[serde(rename = "floor")]
        pub highest_first_step: Step,
    }
}

impl DurableState {
    /// Applies a decision. Returns false if it does not apply to the current state and had no effect.
    pub fn apply(&mut self, decision: &Decision) -> bool {
        match decision {
            Decision::Join {
                rank,
                incarnation,
                engine_restarted,
            } => self.join(*rank, *incarnation, *engine_restarted),
            Decision::Leave { rank, incarnation } => self.leave(*rank, *incarnation),
            Decision::Open {
                generation,
                members,
                map,
            } => self.open(*generation, members, map.as_ref()),
            Decision::Propose { generation, map } => self.propose(*generation, map),
            Decision::Commit {
                generation,
                version,
                first_step,
            } => self.decide(*generation, *version, Some(*first_step)),
            Decision::Abort {
                generation,
                version,
            } => self.decide(*generation, *version, None),
        }
    }

    /// The map in preparation, neither committed nor aborted.
    pub fn undecided_map(&self) -> Option<&ExpertMap> {
        let pending = self.pending.as_ref()?;
        pending.first_step.is_none().then_some(&pending.map)
    }

    /// The latest committed map.
    pub fn latest_map(&self) -> Option<&ExpertMap> {
        let committed = self.pending.as_ref().filter(|p| p.first_step.is_some());
        let active = self.active.as_ref().map(|p| &p.map);
        committed.map(|p| &p.map).or(active)
    }

    /// Whether a new generation must start: a member was lost, the joined ranks differ from the members,
    /// or there is neither an active map nor one in preparation.
    pub fn needs_new_generation(&self) -> bool {
        let has_no_map = self.latest_map().is_none() && self.undecided_map().is_none();
        !self.incarnations.is_empty()
            && (self.member_lost || has_no_map || !self.members.iter().eq(self.incarnations.keys()))
    }

    fn join(&mut self, rank: Rank, incarnation: Incarnation, engine_restarted: bool) -> bool {
        let previous = self.incarnations.get(&rank).copied();
        if previous.is_some_and(|previous| previous >= incarnation) {
            return false;
        }
        self.incarnations.insert(rank, incarnation);
        self.member_lost |= engine_restarted && previous.is_some() && self.members.contains(&rank);
        true
    }

    fn leave(&mut self, rank: Rank, incarnation: Incarnation) -> bool {
        if self.incarnations.get(&rank) != Some(&incarnation) {
            return false;
        }
        self.incarnations.remove(&rank);
        self.member_lost |= self.members.contains(&rank);
        true
    }

    fn open(
        &mut self,
        generation: Generation,
        members: &BTreeSet<Rank>,
        map: Option<&ExpertMap>,
    ) -> bool {
        let is_applicable = generation == self.generation.next()
            && members.iter().eq(self.incarnations.keys())
            && map.is_none_or(|map| map.version == self.highest_version.next());
        if !is_applicable {
            return false;
        }
        self.generation = generation;
        self.revision += 1;
        self.members = members.clone();
        self.member_lost = false;
        self.active = None;
        self.pending = map.map(|map| PendingSwitch {
            map: map.clone(),
            first_step: None,
        });
        self.decided_version = self.highest_version;
        self.highest_version = map.map_or(self.highest_version, |map| map.version);
        true
    }

    fn propose(&mut self, generation: Generation, map: &ExpertMap) -> bool {
        let is_applicable = generation == self.generation
            && self.latest_map().is_some()
            && self.undecided_map().is_none()
            && map.version == self.highest_version.next();
        if !is_applicable {
            return false;
        }
        self.revision += 1;
        self.activate_committed_map();
        self.pending = Some(PendingSwitch {
            map: map.clone(),
            first_step: None,
        });
        self.highest_version = map.version;
        true
    }

    /// Commits the undecided map from `first_step` on, or aborts it if there is no `first_step`.
    fn decide(
        &mut self,
        generation: Generation,
        version: Version,
        first_step: Option<Step>,
    ) -> bool {
        let is_applicable = generation == self.generation
            && self
                .undecided_map()
                .is_some_and(|map| map.version == version);
        if !is_applicable {
            return false;
        }
        self.revision += 1;
        self.decided_version = version;
        let Some(first_step) = first_step else {
            self.pending = None;
            return true;
        };
        self.highest_first_step = self.highest_first_step.max(first_step);
        if let Some(pending) = &mut self.pending {
            pending.first_step = Some(first_step);
        }
        true
    }

    /// Makes the map of a committed switch the active one.
    fn activate_committed_map(&mut self) {
        let Some(PendingSwitch {
            map,
            first_step: Some(first_step),
        }) = self.pending.take()
        else {
            return;
        };
        self.active = Some(ActiveMap { map, first_step });
    }
}
