//! Messages between control and the watch processes beside the engines of a rank group.
//!
//! These engines switch expert maps themselves: each is ordered to activate a prepared map at a given
//! step, and any of them can hold the whole group before a step.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::data;
use crate::id::{
    CoordinationTerm, Generation, Group, Incarnation, Rank, Service, Step, Term, Version,
};
use crate::wire::group::ExpertPlacement;

data! {
    /// State of one engine, reported about ten times a second.
    #[derive(Eq)]
    pub struct EngineReport {
        /// The service that it serves.
        pub service: Service,
        /// The group that it belongs to.
        pub group: Group,
        /// Number of ranks of the group.
        #[serde(rename = "size")]
        pub group_size: u32,
        /// Its rank.
        pub rank: Rank,
        /// The engine's address, for orders.
        pub address: SocketAddr,
        /// The generation of the group.
        pub generation: Generation,
        /// Whether the group is open, which means that it runs.
        pub open: bool,
        /// The last step that was started.
        pub step: Step,
        /// Version of the active map; zero for the initial map of a generation.
        #[serde(rename = "map")]
        pub active_map: Version,
        /// Version of the map that is completely loaded in addition to the active one.
        #[serde(rename = "prepared")]
        pub prepared_map: Option<Version>,
        /// Version of the map that the rank will activate at a coming step.
        #[serde(rename = "armed")]
        pub armed_map: Option<Version>,
        /// The step before which it holds the group.
        #[serde(rename = "held")]
        pub hold_step: Option<Step>,
        /// Slowness of the engine, in thousandths: 1000 is the published speed, more is slower.
        #[serde(rename = "pace")]
        pub slowness_permille: u32,
        /// Number of running requests.
        pub running: u32,
        /// Number of queued requests.
        #[serde(rename = "waiting")]
        pub queued: u32,
        /// The incarnation of the watch process, to which `last_known_order` belongs.
        #[serde(rename = "life")]
        pub incarnation: Incarnation,
        /// Number of the last order whose outcome was known when the state was read.
        #[serde(rename = "after")]
        pub last_known_order: u64,
        /// Number of orders that the engine has begun since it started; none if it doesn't report it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub begun_orders: Option<u64>,
        /// Whether it is still carrying out an order, such as the copies for a map; none if it doesn't report
        /// it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub is_busy: Option<bool>,
        /// Experts of the rank in the active map, by layer; empty if they were not read, or were sent
        /// within the last second for the same generation and map.
        pub experts: Vec<Vec<u32>>,
        /// How often its requests selected each expert; none if not read.
        pub counts: Option<ExpertCounts>,
    }

    /// How often the requests of a rank selected each expert.
    #[derive(Eq)]
    pub struct ExpertCounts {
        /// The last step included.
        pub step: Step,
        /// Number of selections by expert, layer after layer.
        #[serde(rename = "chosen")]
        pub selections: Vec<u64>,
        /// The last step that is not included; none if the selections count from the start of the rank.
        #[serde(default)]
        pub since: Option<Step>,
    }

    /// An order to one engine.
    #[derive(Eq)]
    pub struct RankOrder {
        /// Number of the order, increasing within a term.
        pub number: u64,
        /// The group.
        pub group: Group,
        /// The generation of the group that it is meant for.
        pub generation: Generation,
        /// The rank.
        pub rank: Rank,
        /// The fencing token: engines refuse a lower one than they have seen.
        #[serde(rename = "token")]
        pub fencing_token: u64,
        /// The number of begun orders that the engine must have: it refuses the order if it has another.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub expected_begun_orders: Option<u64>,
        /// The action to perform.
        pub action: RankAction,
    }

    /// An action of an engine.
    #[derive(Eq)]
    pub enum RankAction {
        /// Copy the missing experts of a map.
        Prepare {
            /// Version of the map, higher than all earlier ones.
            version: Version,
            /// The experts, by layer and rank; shared by the orders to all ranks.
            layers: Arc<ExpertPlacement>,
        },
        /// Activate a prepared map at the start of a step.
        Arm {
            /// Version of the map.
            version: Version,
            /// The step.
            step: Step,
        },
        /// Cancel the activation of a map.
        Disarm {
            /// Version of the map.
            version: Version,
        },
        /// Prevent the group from starting a step.
        Hold {
            /// The step.
            step: Step,
        },
        /// Allow the group to start the step before which it was held.
        #[serde(rename = "Go")]
        Release {
            /// The step.
            step: Step,
        },
    }

    /// The outcome of one order.
    #[derive(Eq)]
    pub struct RankOrderResult {
        /// Number of the order.
        pub number: u64,
        /// The group.
        pub group: Group,
        /// The rank.
        pub rank: Rank,
        /// The outcome.
        pub outcome: RankOrderOutcome,
    }

    /// The outcome of an order to an engine.
    #[derive(Copy, Eq)]
    pub enum RankOrderOutcome {
        /// The engine has started it, or its effect is already present.
        Accepted,
        /// It does not fit the state of the engine; it had no effect.
        Refused,
        /// A higher fencing token was used before; it had no effect.
        Fenced,
        /// No response arrived: it may have been carried out or may still be.
        Unanswered,
    }

    /// An engine that is slower than published and thereby slows its whole group, or whose group is
    /// not open.
    #[derive(Eq)]
    pub struct SlowEngine {
        /// The engine's address, for calls.
        pub address: SocketAddr,
        /// Slowness of the engine, in thousandths: 1000 is the published speed, more is slower.
        #[serde(rename = "pace")]
        pub slowness_permille: u32,
        /// Whether its group has lost a rank and does not run.
        #[serde(rename = "closed")]
        pub group_closed: bool,
    }

    /// A message between control and a watch process, or between control processes.
    pub enum Message {
        /// From a watch process to control.
        Report {
            /// State of the engine.
            report: EngineReport,
            /// Whether a control process relayed it to the leader.
            relayed: bool,
            /// Address of the watch process, for orders.
            from: SocketAddr,
        },
        /// From the leader to a watch process.
        Order(RankOrder),
        /// From a watch process to the leader.
        #[serde(rename = "Done")]
        OrderResult(RankOrderResult),
        /// From the leader to the other control processes: the engines that are slow or whose group is
        /// closed.
        #[serde(rename = "Slow")]
        SlowEngines(Vec<SlowEngine>),
        /// From a control process to the leader: request to coordinate groups.
        CoordinatorPoll(CoordinatorPoll),
        /// From the leader to a control process: the groups that it coordinates, and all assignments.
        CoordinatorGrant(CoordinatorGrant),
    }

    /// A control process's request for leases on the groups that it coordinates.
    #[derive(Eq)]
    pub struct CoordinatorPoll {
        /// Number of the poll, increasing within an incarnation.
        pub poll_number: u64,
        /// The groups that it coordinates, and those that it coordinated until a moment ago.
        pub groups: Vec<GroupHolding>,
    }

    /// What a control process reports about a group that it coordinates or has coordinated.
    #[derive(Eq)]
    pub struct GroupHolding {
        /// The group.
        pub group: Group,
        /// The coordination term that it was granted last.
        pub term: CoordinationTerm,
        /// Number of ranks of the group.
        pub size: u32,
        /// The state of its lease in that term.
        pub state: LeaseState,
    }

    /// The state of a coordinator's lease on a group; once it is not valid, it never becomes valid again
    /// in the same coordination term.
    #[derive(Copy, Eq)]
    pub enum LeaseState {
        /// The process coordinates the group.
        Valid,
        /// The lease was not renewed in time.
        Lapsed,
        /// The process gave it up: an engine has seen a higher fencing token.
        Fenced,
        /// The process gave it up: no rank of the group reports to it.
        Unused,
    }

    /// Response to a poll, or a notice of changed assignments.
    #[derive(Eq)]
    pub struct CoordinatorGrant {
        /// The poll that it answers, from which the leases count; none for a notice, which grants nothing.
        pub poll_number: Option<u64>,
        /// The incarnation of the process that sent the poll.
        pub incarnation: Incarnation,
        /// The groups granted to it.
        pub grants: Vec<GroupGrant>,
        /// All assignments.
        pub assignments: Assignments,
    }

    /// A lease on a group.
    #[derive(Eq)]
    pub struct GroupGrant {
        /// The group.
        pub group: Group,
        /// The coordination term.
        pub term: CoordinationTerm,
    }

    /// The coordinators of all rank groups that the leader knows.
    #[derive(Default, Eq)]
    pub struct Assignments {
        /// Term of the leader; zero if the assignments are unknown.
        pub term: Term,
        /// Incremented by each change within a term.
        pub revision: u64,
        /// Each group with the address of its coordinator, if it has one.
        pub groups: Vec<(Group, Option<SocketAddr>)>,
    }
}

impl Message {
    /// Name of its kind, for metrics and log lines.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report { .. } => "rank_report",
            Self::Order(_) => "rank_order",
            Self::OrderResult(_) => "rank_order_result",
            Self::SlowEngines(_) => "slow_engines",
            Self::CoordinatorPoll(_) => "coordinator_poll",
            Self::CoordinatorGrant(_) => "coordinator_grant",
        }
    }
}

impl Assignments {
    /// Whether no leader has sent any assignments.
    pub fn is_unknown(&self) -> bool {
        self.term == Term(0)
    }

    /// Whether these assignments are at least as recent as `other`.
    pub fn is_current(&self, other: &Self) -> bool {
        (self.term, self.revision) >= (other.term, other.revision)
    }

    /// Address of the coordinator of a group, if it has one.
    pub fn coordinator(&self, group: &Group) -> Option<SocketAddr> {
        let mut groups = self.groups.iter();
        let (_, address) = groups.find(|(name, _)| name == group)?;
        *address
    }

    /// Whether some group has no coordinator.
    pub fn has_unassigned(&self) -> bool {
        self.groups.iter().any(|(_, address)| address.is_none())
    }
}
