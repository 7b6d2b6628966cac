//! Messages between the switch controller and the ranks of a group.
//!
//! The map of a group is versioned; a switch is prepared at all ranks, decided durably, and takes
//! effect at a step beyond every horizon that a rank has promised.

use crate::data;
use crate::id::{Generation, Group, Rank, Step, Version};
use crate::unit::Bytes;
use crate::wire::fence::Fence;

data! {
    /// A message about one group.
    pub struct Message {
        /// The group.
        pub group: Group,
        /// The life of the group that is meant.
        pub generation: Generation,
        /// The rank that speaks or is spoken to.
        pub rank: Rank,
        /// The sender's fence; ranks refuse a lower one than seen before.
        pub fence: Fence,
        /// What is said.
        pub body: Body,
    }

    /// What is said about a group.
    pub enum Body {
        /// Load the weights of this map and promise a horizon.
        Prepare(Map),
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
        /// From a rank whose agent or engine started: what is the state of the group?
        Join {
            /// Map versions whose weights it holds.
            holds: Vec<Version>,
        },
        /// The state of the group, to a rank that joined.
        State {
            /// The map in force.
            map: Map,
            /// The switch in progress and its decision, if any.
            pending: Option<Pending>,
            /// The step to start from.
            from: Step,
        },
        /// Expert loads and step times that a rank saw lately.
        Seen(Seen),
    }

    /// A switch in progress.
    pub struct Pending {
        /// The map prepared.
        pub map: Map,
        /// Its first step, once committed.
        pub at: Option<Step>,
    }

    /// Which rank holds which experts, by layer.
    #[derive(Eq)]
    pub struct Map {
        /// Its version within the group, rising.
        pub version: Version,
        /// For each layer, for each rank, the experts in its slots.
        pub layers: Vec<Vec<Vec<u32>>>,
    }

    /// What a rank saw since its last report.
    #[derive(Default)]
    pub struct Seen {
        /// First and last step covered.
        pub steps: (Step, Step),
        /// Tokens routed to each expert, by layer.
        pub tokens: Vec<Vec<u64>>,
        /// Mean time of the rank's own work in a step, in microseconds.
        pub busy_us: u64,
        /// Weights loaded since, in bytes.
        pub loaded: Bytes,
    }
}
