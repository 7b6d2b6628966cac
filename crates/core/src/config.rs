//! The configuration that operators submit.
//!
//! A [`Document`] is a set of named objects: teams, services, rank groups, mounts and data centres.
//! Control stores with each object the [`Version`] of its last change, so that changes of different objects never
//! conflict. All maps are ordered, so that the canonical form and its digest are the same in every
//! process.

use std::collections::BTreeMap;

use crate::data;
use crate::digest::Sha256;
use crate::id::{DataCentre, Group, Model, Mount, Operation, Rank, Server, Service, Team, Version};
use crate::unit::{ByteRate, Bytes, MilliRequestRate, Permille, TokenRate};

mod digested;

pub use digested::DigestedDocument;

data! {
    /// The complete configuration, by object name.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Document {
        /// Teams and their shares of capacity.
        pub teams: BTreeMap<Team, TeamSpec>,
        /// Services that callers address.
        pub services: BTreeMap<Service, ServiceSpec>,
        /// Rank groups of model services.
        pub groups: BTreeMap<Group, GroupSpec>,
        /// Host names and paths of services whose servers are called directly.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub mounts: BTreeMap<Mount, MountSpec>,
        /// Data centres that operators have given an order about; the others get requests.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub data_centres: BTreeMap<DataCentre, DataCentreSpec>,
    }

    /// An operator's order about a data centre.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct DataCentreSpec {
        /// Whether its servers get no more requests.
        pub evacuated: bool,
    }

    /// A team: its credentials and its shares of capacity.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct TeamSpec {
        /// SHA-256 digests of accepted bearer tokens.
        pub tokens: Vec<Sha256>,
        /// Share by service; [`Share::default`] applies to a service that is not listed.
        #[serde(default)]
        pub shares: BTreeMap<Service, Share>,
        /// Priority of its requests to mounts, 0 first; the priority of the mount applies if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub priority: Option<u8>,
    }

    /// Share of a team in the capacity of one service.
    #[derive(Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Share {
        /// Fraction of the service's capacity that is reserved for the team, in thousandths.
        pub guaranteed: Permille,
        /// Weight in the division of the capacity that is not reserved.
        pub weight: u32,
        /// Maximum that the team may use, in thousandths of the service's capacity.
        pub cap: Permille,
    }

    /// A service that callers address.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ServiceSpec {
        /// Kind of the servers.
        pub kind: ServiceKind,
        /// Timeout of a request that sets none, in milliseconds.
        #[serde(default = "ServiceSpec::default_timeout_ms")]
        pub timeout_ms: u64,
        /// Maximum size of a request body.
        #[serde(default = "ServiceSpec::default_body_max")]
        pub body_max: Bytes,
        /// Classification rules of a plain service, first match wins; calls without a match are
        /// classified by their method.
        #[serde(default)]
        pub routes: Vec<Route>,
        /// Retry budget: retries per first attempt, in thousandths.
        #[serde(default = "ServiceSpec::default_retry_budget")]
        pub retry_budget: Permille,
        /// Whether the servers refuse an order with a lower fencing token than an earlier one.
        #[serde(default)]
        pub checks_fence: bool,
        /// How entries call the servers directly; none if agents run beside the servers.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub direct: Option<DirectSpec>,
    }

    /// How entries call the servers of a service directly.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct DirectSpec {
        /// Maximum of connections of one server, over all clients.
        pub connections: u32,
        /// Performance model of the engines; none for an application.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub engine: Option<EngineProfile>,
        /// Rate of requests that a cold server takes from all entries; none if cold servers take any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cold_rate: Option<MilliRequestRate>,
    }

    /// Performance model of an engine, as its vendor publishes it.
    #[derive(Eq)]
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct EngineProfile {
        /// Number of requests that run concurrently.
        pub slots: u32,
        /// Capacity of the KV cache, in tokens.
        pub cache_tokens: u64,
        /// Time of an empty step, in microseconds.
        #[serde(rename = "step_us")]
        pub base_step_us: u64,
        /// Time that each request adds to a step, in microseconds.
        #[serde(rename = "request_us")]
        pub per_request_us: u64,
        /// Time that 1,000 tokens of context add to a step, in microseconds.
        #[serde(rename = "context_us")]
        pub per_1k_context_us: u64,
        /// Prefill rate, in prompt tokens per second.
        #[serde(rename = "read_rate")]
        pub prefill_rate: u64,
        /// Maximum of prompt tokens that one step prefills.
        #[serde(rename = "chunk")]
        pub prefill_chunk: u32,
        /// Number of steps between two events of a stream.
        #[serde(rename = "stride")]
        pub steps_per_event: u32,
        /// Tokens of a typical prompt.
        #[serde(rename = "usual_prompt")]
        pub typical_prompt_tokens: u32,
        /// Tokens of a typical response.
        #[serde(rename = "usual_answer")]
        pub typical_response_tokens: u32,
        /// Expert layout, if the engines are ranks of groups that switch expert maps themselves.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub experts: Option<ExpertLayout>,
    }

    /// Experts of the engines of a service and the room for copies of them.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ExpertLayout {
        /// Number of layers with experts.
        pub layers: u32,
        /// Number of experts in each layer.
        pub experts: u32,
        /// Maximum of experts per layer on a rank.
        pub slots: u32,
        /// Maximum of experts per layer that a rank can copy for one switch.
        #[serde(rename = "spare")]
        pub max_copies_per_switch: u32,
        /// Size of the weights of one expert.
        pub expert_bytes: Bytes,
        /// Rate at which a rank copies weights, in bytes per second.
        pub copy_rate: ByteRate,
    }

    /// A host name and path under which callers reach services.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct MountSpec {
        /// The host name.
        pub host: String,
        /// Path prefix of whole segments, with a slash at both ends; the longest match wins.
        pub prefix: String,
        /// Whether and how requests may be retried.
        #[serde(rename = "repeat")]
        pub retry_policy: RetryPolicy,
        /// Timeout for the complete response, in milliseconds.
        pub timeout_ms: u64,
        /// Latency target for the response, or for the first event of a stream, in milliseconds.
        #[serde(rename = "target_ms")]
        pub latency_target_ms: u64,
        /// Target for the longest gap between two events of a stream, in milliseconds; zero for none.
        #[serde(default)]
        #[serde(rename = "pause_ms")]
        pub gap_target_ms: u64,
        /// Priority of its requests, 0 first.
        #[serde(default)]
        pub priority: u8,
        /// Traffic split: services and their weights.
        pub split: Vec<WeightedService>,
        /// Maximum of servers that one request may be sent to.
        #[serde(rename = "attempts")]
        pub max_attempts: u32,
        /// Whether calls without a team are accepted.
        #[serde(default)]
        pub anonymous: bool,
    }

    /// Whether and how a request may be retried.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RetryPolicy {
        /// Never: the request runs at most once.
        Never,
        /// The request may run more than once.
        Idempotent,
        /// The response is an event stream; the request runs at most once.
        Stream,
        /// The response is an event stream, which another server can resume after the last event
        /// that was passed on.
        Resumable,
    }

    /// A service and its weight in a traffic split.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct WeightedService {
        /// The service.
        pub service: Service,
        /// Its weight among the services of the mount.
        pub weight: u32,
    }

    /// A complete configuration under a number that the operator chose.
    pub struct Publication {
        /// The operator's number; the publication with the highest one is in force.
        pub number: u64,
        /// The configuration.
        pub document: Document,
        /// The text that the operator sent, returned unchanged when it is read back.
        #[serde(with = "serde_bytes")]
        pub source: Vec<u8>,
    }

    /// Kind of a service.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ServiceKind {
        /// A model engine with the completions API, which streams tokens.
        Drafting,
        /// An application that answers each call with one response.
        Plain,
    }

    /// A rule that classifies calls to a plain service.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// The method to match; any if absent.
        #[serde(default)]
        pub method: Option<String>,
        /// The path prefix to match.
        pub path: String,
        /// Whether a matching call may run more than once.
        pub idempotent: bool,
    }

    /// A rank group.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct GroupSpec {
        /// The service that the group serves.
        pub service: Service,
        /// The server of each rank.
        pub ranks: BTreeMap<Rank, Server>,
        /// Number of experts in each layer.
        pub experts: u32,
        /// Number of layers with experts.
        pub layers: u32,
        /// Expert slots per rank and layer.
        pub slots: u32,
        /// Size of the weights of one expert.
        pub expert_bytes: Bytes,
        /// Rate limit of the group for loads from the weight store, in bytes per second.
        pub store_rate: ByteRate,
        /// Cost weight of step-time skew in the planner.
        pub skew_weight: u32,
        /// Cost weight of moved bytes in the planner.
        pub move_weight: u32,
        /// Whether operators have frozen the current expert map.
        #[serde(default)]
        pub frozen: bool,
    }

    /// A configuration change submitted by an operator.
    #[serde(deny_unknown_fields)]
    pub struct Submission {
        /// Identifies the change; a resend with the same identifier gets the first verdict again.
        pub operation: Operation,
        /// Version of the configuration that the change is based on.
        pub base: Version,
        /// The change.
        pub change: Change,
        /// Author of the change, for the audit trail.
        pub author: String,
    }

    /// What a submission changes.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Change {
        /// Replaces the document; accepted only if `base` is the current version.
        #[serde(rename = "whole")]
        Replace(Document),
        /// Puts and removes objects; `base` is compared with the version of each affected object.
        Patch(Patch),
    }

    /// Objects to put (`Some`) or remove (`None`).
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Patch {
        /// Teams to put or remove.
        pub teams: BTreeMap<Team, Option<TeamSpec>>,
        /// Services to put or remove.
        pub services: BTreeMap<Service, Option<ServiceSpec>>,
        /// Groups to put or remove.
        pub groups: BTreeMap<Group, Option<GroupSpec>>,
        /// Mounts to put or remove.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub mounts: BTreeMap<Mount, Option<MountSpec>>,
        /// Data centres to put or remove.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub data_centres: BTreeMap<DataCentre, Option<DataCentreSpec>>,
    }

    /// The outcome of a submission, stored under its operation.
    #[serde(rename_all = "snake_case")]
    pub enum Verdict {
        /// The change is durable on a quorum under this version.
        Accepted {
            /// The version that contains the change.
            version: Version,
        },
        /// An affected object has changed since `base`; nothing was applied.
        Conflict {
            /// The current version of the configuration.
            #[serde(rename = "present")]
            current_version: Version,
            /// Conflicting objects, as `kind/name`.
            objects: Vec<String>,
            /// The operation that last changed the first conflicting object.
            #[serde(rename = "holder")]
            last_operation: Option<Operation>,
        },
        /// The resulting document is not valid; nothing was applied.
        Invalid {
            /// All faults.
            faults: Vec<DocumentFault>,
        },
        /// The operation identifier was used before for another change; nothing was applied.
        Reused,
    }

    /// A validation fault of a document.
    #[derive(Eq)]
    pub struct DocumentFault {
        /// Path into the document, such as `services.draft.timeout_ms`.
        pub path: String,
        /// The problem.
        pub problem: String,
        /// How to correct it.
        pub remedy: String,
    }

    /// An order to an engine.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum EngineOrder {
        /// Loads a model, adapter or version.
        Load(Model),
        /// Unloads a model, adapter or version.
        Unload(Model),
        /// Changes the engine's role, such as `prefill` or `decode`.
        Role(String),
    }
}

impl RetryPolicy {
    /// Whether a request that may have run may be retried.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

impl Default for Share {
    fn default() -> Self {
        Self {
            guaranteed: Permille(0),
            weight: 1,
            cap: Permille::ONE,
        }
    }
}

impl ServiceSpec {
    fn default_timeout_ms() -> u64 {
        30_000
    }

    fn default_body_max() -> Bytes {
        Bytes(1 << 20)
    }

    fn default_retry_budget() -> Permille {
        Permille(100)
    }
}

/// Capacity of a server, for fair queueing and flow-control credits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Tokens per second that the server can generate.
    pub tokens: TokenRate,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}
