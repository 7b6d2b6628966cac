//! Messages between the switch controller and the ranks of a group.
//!
//! The map of a group is versioned; a switch is prepared at all ranks, decided durably, and takes
//! effect at a step beyond every horizon that a rank has promised.

use crate::data;
use crate::id::{Generation, Group, Incarnation, Rank, Step, Version};
use crate::unit::{ByteRate, Bytes};
use crate::wire::fence::FencingToken;

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
        #[serde(rename = "life")]
        pub incarnation: Incarnation,
        /// The sender's fence; ranks refuse a lower one than seen before.
        pub fence: FencingToken,
        /// What is said.
        pub body: Body,
    }

    /// What is said about a group.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub enum Body {
        /// Load the weights of this map and promise a horizon.
        Prepare {
            /// The map.
            map: ExpertMap,
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
            #[serde(rename = "at")]
            first_step: Step,
        },
        /// The decision: keep the old map.
        Abort {
            /// Version of the map that is dropped.
            version: Version,
        },
        /// The decision is in force at the rank.
        #[serde(rename = "Decided")]
        DecisionApplied {
            /// Version decided.
            version: Version,
        },
        /// From a rank that has just started or waits for a decision: what is the state of the
        /// group?
        Join {
            /// What its engine holds.
            engine: EngineState,
        },
        /// The state of the group, to a rank that asked.
        State(GroupState),
        /// Expert loads and step times that a rank saw lately.
        #[serde(rename = "Seen")]
        LoadReport(LoadReport),
    }

    /// What a rank's engine holds, as its agent reads it.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct EngineState {
        /// The life of the group in which it last was granted steps.
        pub generation: Generation,
        /// The last step that it may run.
        #[serde(rename = "granted")]
        pub granted_step: Step,
        /// Map versions whose weights it holds; none means that the engine itself is new.
        #[serde(rename = "holds")]
        pub loaded_maps: std::collections::BTreeSet<Version>,
    }

    /// The state of a group.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct GroupState {
        /// The map in force; none while the generation is not open yet.
        #[serde(rename = "present")]
        pub active: Option<ActiveMap>,
        /// The switch in progress and its decision, if any.
        pub pending: Option<PendingSwitch>,
        /// The highest version decided either way.
        #[serde(rename = "decided")]
        pub decided_version: Version,
        /// Bytes a second that the rank may draw from the weight store for the switch.
        pub rate: ByteRate,
    }

    /// A map in force.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct ActiveMap {
        /// The map.
        pub map: ExpertMap,
        /// Its first step.
        #[serde(rename = "from")]
        pub first_step: Step,
    }

    /// A switch in progress.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct PendingSwitch {
        /// The map prepared.
        pub map: ExpertMap,
        /// Its first step, once committed.
        #[serde(rename = "at")]
        pub first_step: Option<Step>,
    }

    /// Which rank holds which experts, by layer.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct ExpertMap {
        /// Its version within the group, rising.
        pub version: Version,
        /// For each layer, for each rank, the experts in its slots.
        pub layers: ExpertPlacement,
    }

    /// What a rank saw since its last report.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct LoadReport {
        /// First and last step covered.
        pub steps: (Step, Step),
        /// Tokens that the rank's requests sent to each expert, by layer.
        #[serde(rename = "tokens")]
        pub expert_tokens: Vec<Vec<u64>>,
        /// Tokens that the rank's own experts worked on.
        #[serde(rename = "worked")]
        pub processed_tokens: u64,
        /// Mean time of the rank's own work in a step, in microseconds.
        pub busy_us: u64,
        /// Weights loaded since, in bytes.
        #[serde(rename = "loaded")]
        pub loaded_bytes: Bytes,
    }
}

/// For each layer, for each rank, the experts in its slots.
pub type ExpertPlacement = Vec<Vec<Vec<u32>>>;
