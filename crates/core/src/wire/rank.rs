//! Between control and the processes beside the engines of a rank group.
//!
//! These engines switch maps by themselves: each is told a step at which it goes over to a map that
//! it has prepared, and any of them can hold the whole group before a step.

use std::net::SocketAddr;

use crate::data;
use crate::id::{Generation, Group, Incarnation, Rank, Service, Step, Version};
use crate::wire::group::ExpertPlacement;

data! {
    /// What one engine says of itself, about ten times a second.
    #[derive(Eq)]
    pub struct EngineReport {
        /// The service that it serves.
        pub service: Service,
        /// The group that it belongs to.
        pub group: Group,
        /// Ranks of the group.
        #[serde(rename = "size")]
        pub group_size: u32,
        /// Its rank.
        pub rank: Rank,
        /// Where it takes orders.
        pub address: SocketAddr,
        /// The life of the group.
        pub generation: Generation,
        /// Whether the group runs.
        pub open: bool,
        /// The last step that was begun.
        pub step: Step,
        /// The map in use; zero for the one that every life of the group begins with.
        #[serde(rename = "map")]
        pub active_map: Version,
        /// The map whose experts are all there, beside the one in use.
        #[serde(rename = "prepared")]
        pub prepared_map: Option<Version>,
        /// Whether the rank goes over to another map at a step to come.
        #[serde(rename = "armed")]
        pub armed_map: Option<Version>,
        /// The step before which it holds the group.
        #[serde(rename = "held")]
        pub hold_step: Option<Step>,
        /// Its slowness, in thousandths; 1000 is what its maker publishes.
        #[serde(rename = "pace")]
        pub slowness_permille: u32,
        /// Requests that it works on.
        pub running: u32,
        /// Requests that wait at it.
        pub waiting: u32,
        /// The life of the process beside the engine, which `after` counts in.
        #[serde(rename = "life")]
        pub incarnation: Incarnation,
        /// The last order whose outcome was known when this was read.
        #[serde(rename = "after")]
        pub last_known_order: u64,
        /// Its experts in the map in use, by layer; empty when they were not read.
        pub experts: Vec<Vec<u32>>,
        /// How often its requests chose each expert since it started; none when not read.
        pub counts: Option<ExpertCounts>,
    }

    /// How often the requests of a rank chose each expert.
    #[derive(Eq)]
    pub struct ExpertCounts {
        /// The last step that is counted.
        pub step: Step,
        /// Choices since the rank started, by expert, one layer after the other.
        pub chosen: Vec<u64>,
    }

    /// An order to one engine.
    #[derive(Eq)]
    pub struct RankOrder {
        /// Names the order; rises within one leader's office.
        pub number: u64,
        /// The group.
        pub group: Group,
        /// The life of the group that is meant.
        pub generation: Generation,
        /// The rank.
        pub rank: Rank,
        /// The fence: engines refuse a lower one than they have seen.
        #[serde(rename = "token")]
        pub fencing_token: u64,
        /// What to do.
        pub action: RankAction,
    }

    /// What an engine is to do.
    #[derive(Eq)]
    pub enum RankAction {
        /// Copy what it lacks of a map.
        Prepare {
            /// The map's version, higher than all before.
            version: Version,
            /// The experts, by layer and rank.
            layers: ExpertPlacement,
        },
        /// Go over to a prepared map as a step begins.
        Arm {
            /// The map's version.
            version: Version,
            /// The step.
            step: Step,
        },
        /// Forget that it was to go over to a map.
        Disarm {
            /// The map's version.
            version: Version,
        },
        /// Keep the group from beginning a step.
        Hold {
            /// The step.
            step: Step,
        },
        /// Let the group begin that step.
        #[serde(rename = "Go")]
        Release {
            /// The step.
            step: Step,
        },
    }

    /// What came of an order.
    #[derive(Eq)]
    pub struct RankOrderResult {
        /// The order.
        pub number: u64,
        /// The group.
        pub group: Group,
        /// The rank.
        pub rank: Rank,
        /// How it went.
        pub outcome: RankOrderOutcome,
    }

    /// How an order went.
    #[derive(Copy, Eq)]
    pub enum RankOrderOutcome {
        /// The engine has begun it, or what it asks holds already.
        Accepted,
        /// It does not fit the engine's state; nothing was done.
        Refused,
        /// A higher fence was used before; nothing was done.
        Fenced,
        /// No answer came: it may have been carried out, or may be later.
        Unanswered,
    }

    /// An engine that is slower than its maker publishes, and holds up its whole group, or whose group
    /// is not open.
    #[derive(Eq)]
    pub struct SlowEngine {
        /// Where it takes calls.
        pub address: SocketAddr,
        /// Its slowness, in thousandths.
        #[serde(rename = "pace")]
        pub slowness_permille: u32,
        /// Whether its group lost a rank and does no work.
        #[serde(rename = "closed")]
        pub group_closed: bool,
    }

    /// Messages about ranks.
    pub enum Message {
        /// From beside an engine to control.
        Report {
            /// What the engine says.
            report: EngineReport,
            /// Whether a control process passed it on to the leader.
            relayed: bool,
            /// Where orders to it go.
            from: SocketAddr,
        },
        /// From the leader to beside an engine.
        Order(RankOrder),
        /// From beside an engine to the leader.
        #[serde(rename = "Done")]
        OrderResult(RankOrderResult),
        /// From the leader to the other control processes: the engines that are slow now.
        #[serde(rename = "Slow")]
        SlowEngines(Vec<SlowEngine>),
    }
}
