//! Messages between the switch controller and the ranks of a group.
//!
//! The map of a group is versioned; a switch is prepared at all ranks, decided durably, and takes
//! effect at a step beyond every horizon that a rank has promised.

use crate::data;
use crate::id::{Generation, Group, Incarnation, Rank, Step, Version};
use crate::unit::{ByteRate, Bytes};
use crate::wire::fence::Fence;

data! {
    /// A message about one group.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Message {
        /// The group.
        pub group: Group,
        /// The life of the group that is meant.
        pub generation: Generation,
        /// The rank that speaks or is spoken to.
        pub rank: Rank,
        /// The life of that rank's agent.
        pub life: Incarnation,
        /// The sender's fence; ranks refuse a lower one than seen before.
        pub fence: Fence,
        /// What is said.
        pub body: Body,
    }

    /// What is said about a group.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub enum Body {
        /// Load the weights of this map and promise a horizon.
        Prepare {
            /// The map.
            map: Map,
            /// Bytes a second that the rank may draw from the weight store meanwhile.
            rate: ByteRate,
        },
        /// Weights loaded; no step beyond `horizon` without the decision.
        Prepared {
            /// Version of the map.
            version: Version,
            /// The promised horizon.
            horizon: Step,
        },
        /// The weights can't be loaded.
        Failed {
            /// Version of the map.
            version: Version,
            /// What happened.
            detail: String,
        },
        /// The decision: use the map from step `at` on.
        Commit {
            /// Version of the map.
            version: Version,
            /// First step under it.
            at: Step,
        },
        /// The decision: keep the old map.
        Abort {
            /// Version of the map that is dropped.
            version: Version,
        },
        /// The decision is in force at the rank.
        Decided {
            /// Version decided.
            version: Version,
        },
        /// From a rank that has just started or waits for a decision: what is the state of the
        /// group?
        Join {
            /// What its engine holds.
            engine: Engine,
        },
        /// The state of the group, to a rank that asked.
        State(State),
        /// Expert loads and step times that a rank saw lately.
        Seen(Seen),
    }

    /// What a rank's engine holds, as its agent reads it.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct Engine {
        /// The life of the group in which it last was granted steps.
        pub generation: Generation,
        /// The last step that it may run.
        pub granted: Step,
        /// Map versions whose weights it holds; none means that the engine itself is new.
        pub holds: std::collections::BTreeSet<Version>,
    }

    /// The state of a group.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct State {
        /// The map in force; none while the generation is not open yet.
        pub present: Option<Placed>,
        /// The switch in progress and its decision, if any.
        pub pending: Option<Pending>,
        /// The highest version decided either way.
        pub decided: Version,
        /// Bytes a second that the rank may draw from the weight store for the switch.
        pub rate: ByteRate,
    }

    /// A map in force.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Placed {
        /// The map.
        pub map: Map,
        /// Its first step.
        pub from: Step,
    }

    /// A switch in progress.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Pending {
        /// The map prepared.
        pub map: Map,
        /// Its first step, once committed.
        pub at: Option<Step>,
    }

    /// Which rank holds which experts, by layer.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Map {
        /// Its version within the group, rising.
        pub version: Version,
        /// For each layer, for each rank, the experts in its slots.
        pub layers: Layers,
    }

    /// What a rank saw since its last report.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct Seen {
        /// First and last step covered.
        pub steps: (Step, Step),
        /// Tokens that the rank's requests sent to each expert, by layer.
        pub tokens: Vec<Vec<u64>>,
        /// Tokens that the rank's own experts worked on.
        pub worked: u64,
        /// Mean time of the rank's own work in a step, in microseconds.
        pub busy_us: u64,
        /// Weights loaded since, in bytes.
        pub loaded: Bytes,
    }
}

/// For each layer, for each rank, the experts in its slots.
pub type Layers = Vec<Vec<Vec<u32>>>;
