//! Between control and the processes beside the engines of a rank group.
//!
//! These engines switch maps by themselves: each is told a step at which it goes over to a map that
//! it has prepared, and any of them can hold the whole group before a step.

use std::net::SocketAddr;

use crate::data;
use crate::id::{Generation, Group, Incarnation, Rank, Service, Step, Version};
use crate::wire::group::Layers;

data! {
    /// What one engine says of itself, about ten times a second.
    #[derive(Eq)]
    pub struct Report {
        /// The service that it serves.
        pub service: Service,
        /// The group that it belongs to.
        pub group: Group,
        /// Ranks of the group.
        pub size: u32,
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
        pub map: Version,
        /// The map whose experts are all there, beside the one in use.
        pub prepared: Option<Version>,
        /// Whether the rank goes over to another map at a step to come.
        pub armed: Option<Version>,
        /// The step before which it holds the group.
        pub held: Option<Step>,
        /// Its slowness, in thousandths; 1000 is what its maker publishes.
        pub pace: u32,
        /// Requests that it works on.
        pub running: u32,
        /// Requests that wait at it.
        pub waiting: u32,
        /// The life of the process beside the engine, which `after` counts in.
        pub life: Incarnation,
        /// The last order whose outcome was known when this was read.
        pub after: u64,
        /// Its experts in the map in use, by layer; empty when they were not read.
        pub experts: Vec<Vec<u32>>,
        /// How often its requests chose each expert since it started; none when not read.
        pub counts: Option<Counts>,
    }

    /// How often the requests of a rank chose each expert.
    #[derive(Eq)]
    pub struct Counts {
        /// The last step that is counted.
        pub step: Step,
        /// Choices since the rank started, by expert, one layer after the other.
        pub chosen: Vec<u64>,
    }

    /// An order to one engine.
    #[derive(Eq)]
    pub struct Order {
        /// Names the order; rises within one leader's office.
        pub number: u64,
        /// The group.
        pub group: Group,
        /// The life of the group that is meant.
        pub generation: Generation,
        /// The rank.
        pub rank: Rank,
        /// The fence: engines refuse a lower one than they have seen.
        pub token: u64,
        /// What to do.
        pub action: Action,
    }

    /// What an engine is to do.
    #[derive(Eq)]
    pub enum Action {
        /// Copy what it lacks of a map.
        Prepare {
            /// The map's version, higher than all before.
            version: Version,
            /// The experts, by layer and rank.
            layers: Layers,
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
        Go {
            /// The step.
            step: Step,
        },
    }

    /// What came of an order.
    #[derive(Eq)]
    pub struct Done {
        /// The order.
        pub number: u64,
        /// The group.
        pub group: Group,
        /// The rank.
        pub rank: Rank,
        /// How it went.
        pub outcome: Outcome,
    }

    /// How an order went.
    #[derive(Copy, Eq)]
    pub enum Outcome {
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
    pub struct Slow {
        /// Where it takes calls.
        pub address: SocketAddr,
        /// Its slowness, in thousandths.
        pub pace: u32,
        /// Whether its group lost a rank and does no work.
        pub closed: bool,
    }

    /// Messages about ranks.
    pub enum Message {
        /// From beside an engine to control.
        Report {
            /// What the engine says.
            report: Report,
            /// Whether a control process passed it on to the leader.
            relayed: bool,
            /// Where orders to it go.
            from: SocketAddr,
        },
        /// From the leader to beside an engine.
        Order(Order),
        /// From beside an engine to the leader.
        Done(Done),
        /// From the leader to the other control processes: the engines that are slow now.
        Slow(Vec<Slow>),
    }
}
