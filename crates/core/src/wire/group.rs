//! Messages between the switch controller and the ranks of a group.
//!
//! The expert map of a group is versioned. A switch to a new map is prepared at all ranks, decided
//! durably, and takes effect at a step beyond the horizon that each rank has promised.

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
        /// The generation of the group that it is meant for.
        pub generation: Generation,
        /// The rank that sends or receives it.
        pub rank: Rank,
        /// The incarnation of the agent of that rank.
        #[serde(rename = "life")]
        pub incarnation: Incarnation,
        /// Fencing token of the sender; ranks refuse a lower one than they have seen.
        #[serde(rename = "fence")]
        pub fencing_token: FencingToken,
        /// The content.
        pub body: Body,
    }

    /// Content of a [`Message`].
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub enum Body {
        /// To a rank: load the weights of the map and promise a horizon.
        Prepare {
            /// The map.
            map: ExpertMap,
            /// Rate limit of the rank for loads from the weight store, in bytes per second.
            rate: ByteRate,
        },
        /// From a rank: the weights are loaded, and no step beyond `horizon` runs before the decision.
        Prepared {
            /// Version of the map.
            version: Version,
            /// The promised horizon.
            horizon: Step,
        },
        /// From a rank: the weights can't be loaded.
        Failed {
            /// Version of the map.
            version: Version,
            /// The error.
            detail: String,
        },
        /// To a rank: the decision to use the map from `first_step` on.
        Commit {
            /// Version of the map.
            version: Version,
            /// First step that uses the map.
            #[serde(rename = "at")]
            first_step: Step,
        },
        /// To a rank: the decision to keep the old map.
        Abort {
            /// Version of the aborted map.
            version: Version,
        },
        /// From a rank: the decision is in force.
        #[serde(rename = "Decided")]
        DecisionApplied {
            /// Version of the map decided on.
            version: Version,
        },
        /// From a rank that has started or waits for a decision: request for the state of the group.
        Join {
            /// State of its engine.
            engine: EngineState,
        },
        /// To a rank: response to [`Body::Join`].
        State(GroupState),
        /// From a rank: recent expert loads and step times.
        #[serde(rename = "Seen")]
        LoadReport(LoadReport),
    }

    /// State of a rank's engine, as read by its agent.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct EngineState {
        /// The generation of the group in which it was last granted steps.
        pub generation: Generation,
        /// The last step that it may run.
        #[serde(rename = "granted")]
        pub granted_step: Step,
        /// Versions of the maps whose weights are loaded; empty if the engine has restarted.
        #[serde(rename = "holds")]
        pub loaded_maps: std::collections::BTreeSet<Version>,
    }

    /// The state of a group.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct GroupState {
        /// The active map; none until the generation is open.
        #[serde(rename = "present")]
        pub active: Option<ActiveMap>,
        /// The switch in progress, if any, with its decision.
        pub pending: Option<PendingSwitch>,
        /// The highest map version that was committed or aborted.
        #[serde(rename = "decided")]
        pub decided_version: Version,
        /// Rate limit of the rank for loads from the weight store during the switch, in bytes per
        /// second.
        pub rate: ByteRate,
    }

    /// An active map.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct ActiveMap {
        /// The map.
        pub map: ExpertMap,
        /// First step that uses it.
        #[serde(rename = "from")]
        pub first_step: Step,
    }

    /// A switch in progress.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct PendingSwitch {
        /// The map being prepared.
        pub map: ExpertMap,
        /// First step that uses it, once committed.
        #[serde(rename = "at")]
        pub first_step: Option<Step>,
    }

    /// A versioned placement of experts on the ranks of a group.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct ExpertMap {
        /// Version, increasing within the group.
        pub version: Version,
        /// The experts, by layer and rank.
        pub layers: ExpertPlacement,
    }

    /// Measurements of a rank since its last report.
    #[derive(Default, Eq, Hash, PartialOrd, Ord)]
    #[serde(default)]
    pub struct LoadReport {
        /// First and last step of the report.
        pub steps: (Step, Step),
        /// Number of tokens that the rank's requests routed to each expert, by layer.
        #[serde(rename = "tokens")]
        pub expert_tokens: Vec<Vec<u64>>,
        /// Number of tokens that the rank's own experts processed.
        #[serde(rename = "worked")]
        pub processed_tokens: u64,
        /// Mean time that the rank itself was busy in a step, in microseconds.
        pub busy_us: u64,
        /// Size of the weights loaded since the last report.
        #[serde(rename = "loaded")]
        pub loaded_bytes: Bytes,
    }
}

/// The experts in the slots of each rank, indexed by layer, then rank.
pub type ExpertPlacement = Vec<Vec<Vec<u32>>>;
