//! The configuration that operators submit.
//!
//! A [`Document`] is a set of named objects: teams, services and rank groups. Control keeps with
//! each object the [`Version`] at which it last changed, so that operators who work on different
//! objects never collide. All maps are ordered, which makes the canonical form and its digest the
//! same on every process.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::data;
use crate::digest::{DigestSum, Sha256};
use crate::id::{Group, Model, Mount, Operation, Rank, Server, Service, Team, Version};
use crate::unit::{ByteRate, Bytes, Permille, TokenRate};

data! {
    /// The whole configuration, by object name.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Document {
        /// Customers and their shares.
        pub teams: BTreeMap<Team, TeamSpec>,
        /// What callers address.
        pub services: BTreeMap<Service, ServiceSpec>,
        /// Rank groups that serve drafting models.
        pub groups: BTreeMap<Group, GroupSpec>,
        /// Where callers reach services whose back ends are called directly.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub mounts: BTreeMap<Mount, MountSpec>,
    }

    /// A team: who may call in its name and what it is entitled to.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct TeamSpec {
        /// SHA-256 digests of accepted bearer tokens.
        pub tokens: Vec<Sha256>,
        /// Entitlement by service; a service not named here gets [`Share::default`].
        #[serde(default)]
        pub shares: BTreeMap<Service, Share>,
        /// Rank of its requests, 0 first; that of the mount when absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub priority: Option<u8>,
    }

    /// What a team is entitled to on one service.
    #[derive(Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Share {
        /// Part of the service's capacity that is always the team's, in thousandths.
        pub guaranteed: Permille,
        /// Weight in the division of what is not guaranteed.
        pub weight: u32,
        /// Most that the team may use, in thousandths of the service's capacity.
        pub cap: Permille,
    }

    /// A service that callers address.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ServiceSpec {
        /// What kind of back end serves it.
        pub kind: ServiceKind,
        /// Deadline of a request that names none, in milliseconds.
        #[serde(default = "ServiceSpec::default_timeout_ms")]
        pub timeout_ms: u64,
        /// Largest request body.
        #[serde(default = "ServiceSpec::default_body_max")]
        pub body_max: Bytes,
        /// Rules of a plain service, first match wins; unmatched calls follow their method.
        #[serde(default)]
        pub routes: Vec<Route>,
        /// Retries as a share of first tries, in thousandths.
        #[serde(default = "ServiceSpec::default_retry_budget")]
        pub retry_budget: Permille,
        /// Whether its back ends refuse an order that carries a lower fence than an earlier one.
        #[serde(default)]
        pub checks_fence: bool,
        /// How entries call its back ends without agents; none where agents stand in between.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub direct: Option<DirectSpec>,
    }

    /// How entries call the back ends of a service directly.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct DirectSpec {
        /// Connections that one back end takes from all callers together.
        pub connections: u32,
        /// What its engines need for a request; none for an application.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub engine: Option<EngineProfile>,
    }

    /// What a step of an engine takes, as its maker publishes it.
    #[derive(Eq)]
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct EngineProfile {
        /// Requests that run at once.
        pub slots: u32,
        /// Tokens that its KV cache holds.
        pub cache_tokens: u64,
        /// A step with nothing in it, in microseconds.
        #[serde(rename = "step_us")]
        pub base_step_us: u64,
        /// What each request adds to a step, in microseconds.
        #[serde(rename = "request_us")]
        pub per_request_us: u64,
        /// What 1,000 tokens of context add to a step, in microseconds.
        #[serde(rename = "context_us")]
        pub per_1k_context_us: u64,
        /// Prompt tokens read a second.
        #[serde(rename = "read_rate")]
        pub prefill_rate: u64,
        /// Prompt tokens that one step reads at most.
        #[serde(rename = "chunk")]
        pub prefill_chunk: u32,
        /// Steps between two events of a stream.
        #[serde(rename = "stride")]
        pub steps_per_event: u32,
        /// Tokens of a usual prompt.
        #[serde(rename = "usual_prompt")]
        pub typical_prompt_tokens: u32,
        /// Tokens of a usual answer.
        #[serde(rename = "usual_answer")]
        pub typical_response_tokens: u32,
        /// Experts, where the engines are ranks of groups that go over to maps by themselves.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub experts: Option<ExpertLayout>,
    }

    /// Experts of the engines of a service, and how many copies of them there may be.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ExpertLayout {
        /// Layers with experts.
        pub layers: u32,
        /// Experts in each layer.
        pub experts: u32,
        /// Experts that a rank may hold of each layer.
        pub slots: u32,
        /// Experts of a layer that a rank can copy for one switch.
        #[serde(rename = "spare")]
        pub max_copies_per_switch: u32,
        /// Size of one expert.
        pub expert_bytes: Bytes,
        /// Bytes a second that a rank copies.
        pub copy_rate: ByteRate,
    }

    /// A host name and path under which callers reach services.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct MountSpec {
        /// The host name.
        pub host: String,
        /// Beginning of the path, from slash to slash; the longest match wins.
        pub prefix: String,
        /// What may be repeated.
        #[serde(rename = "repeat")]
        pub retry_policy: RetryPolicy,
        /// Longest time until the last byte of the answer, in milliseconds.
        pub timeout_ms: u64,
        /// Time within which an answer, or its first event, is of full use, in milliseconds.
        #[serde(rename = "target_ms")]
        pub latency_target_ms: u64,
        /// Longest pause between two events for which a stream is of full use; zero for none.
        #[serde(default)]
        #[serde(rename = "pause_ms")]
        pub gap_target_ms: u64,
        /// Rank of its requests, 0 first.
        #[serde(default)]
        pub priority: u8,
        /// The services that serve it and their weights.
        pub split: Vec<WeightedService>,
        /// Servers that one request may be sent to.
        #[serde(rename = "attempts")]
        pub max_attempts: u32,
        /// Whether calls need no team.
        #[serde(default)]
        pub anonymous: bool,
    }

    /// What of a request may be repeated.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RetryPolicy {
        /// Nothing: it runs once at most.
        Never,
        /// All of it: it may run more than once.
        Idempotent,
        /// A stream of events that runs once at most.
        Stream,
        /// A stream of events that goes on at another server after the last event passed on.
        Resumable,
    }

    /// A service and its part of a mount's requests.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct WeightedService {
        /// The service.
        pub service: Service,
        /// Its weight among the services of the mount.
        pub weight: u32,
    }

    /// A whole configuration under a number that the operator chose.
    pub struct Publication {
        /// The operator's number; the highest is in force.
        pub number: u64,
        /// The configuration.
        pub document: Document,
        /// The text that the operator sent, which is what it reads back.
        #[serde(with = "serde_bytes")]
        pub source: Vec<u8>,
    }

    /// Kind of a service.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ServiceKind {
        /// A model engine that speaks the completions format and streams tokens.
        Drafting,
        /// An application that answers each call at once.
        Plain,
    }

    /// A rule that classifies calls to a plain service.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// The method matched; any when absent.
        #[serde(default)]
        pub method: Option<String>,
        /// The path prefix matched.
        pub path: String,
        /// Whether such a call may run more than once.
        pub idempotent: bool,
    }

    /// A rank group.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct GroupSpec {
        /// The service that the group serves.
        pub service: Service,
        /// The servers that hold its ranks, by rank.
        pub ranks: BTreeMap<Rank, Server>,
        /// Experts in each layer.
        pub experts: u32,
        /// Layers with experts.
        pub layers: u32,
        /// Expert slots of each rank and layer.
        pub slots: u32,
        /// Size of one expert's weights.
        pub expert_bytes: Bytes,
        /// Bytes a second that the group may draw from the weight store.
        pub store_rate: ByteRate,
        /// Price of step-time skew in the planner.
        pub skew_weight: u32,
        /// Price of moved bytes in the planner.
        pub move_weight: u32,
        /// Whether operators froze the present map.
        #[serde(default)]
        pub frozen: bool,
    }

    /// A change of configuration as an operator submits it.
    #[serde(deny_unknown_fields)]
    pub struct Submission {
        /// Names this change; a resend under the same name gets the first answer again.
        pub operation: Operation,
        /// Version of the configuration that the change was made from.
        pub base: Version,
        /// The change.
        pub change: Change,
        /// Who submits it, for the record.
        pub author: String,
    }

    /// What a submission changes.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Change {
        /// Replaces everything; compares `base` with the present version.
        Whole(Document),
        /// Puts and removes objects; compares `base` with the version of each object touched.
        Patch(Patch),
    }

    /// Objects to put (`Some`) or remove (`None`).
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Patch {
        /// Teams touched.
        pub teams: BTreeMap<Team, Option<TeamSpec>>,
        /// Services touched.
        pub services: BTreeMap<Service, Option<ServiceSpec>>,
        /// Groups touched.
        pub groups: BTreeMap<Group, Option<GroupSpec>>,
        /// Mounts touched.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub mounts: BTreeMap<Mount, Option<MountSpec>>,
    }

    /// The answer to a submission, remembered under its operation.
    #[serde(rename_all = "snake_case")]
    pub enum Verdict {
        /// The change is durable on a quorum under this version.
        Accepted {
            /// The version that holds the change.
            version: Version,
        },
        /// Something touched has changed since `base`; nothing was applied.
        Conflict {
            /// The present version of the configuration.
            #[serde(rename = "present")]
            current_version: Version,
            /// Objects in the way, as `kind/name`.
            objects: Vec<String>,
            /// The operation that last changed the first of them.
            #[serde(rename = "holder")]
            last_operation: Option<Operation>,
        },
        /// The resulting document is not valid; nothing was applied.
        Invalid {
            /// Every fault found.
            faults: Vec<DocumentFault>,
        },
        /// The operation was used before for another change; nothing was applied.
        Reused,
    }

    /// One fault of a document.
    #[derive(Eq)]
    pub struct DocumentFault {
        /// Where, as a path into the document: `services.draft.timeout_ms`.
        pub path: String,
        /// What is wrong.
        pub problem: String,
        /// What to do about it.
        pub remedy: String,
    }

    /// A model, adapter or version that an engine is told to load, or a role to take.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum EngineOrder {
        /// Loads a model, adapter or version.
        Load(Model),
        /// Unloads it.
        Unload(Model),
        /// Changes the engine's role, such as `prefill` or `decode`.
        Role(String),
    }
}

impl RetryPolicy {
    /// Whether a request that may have run may be sent again.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

impl Default for Share {
    fn default() -> Self {
        Self {
            guaranteed: Permille(0),
            weight: 1,
            cap: Permille::WHOLE,
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

impl Document {
    /// Puts each `Some` of `patch`, removes each `None`; gives the patch that takes it back.
    pub fn apply(&mut self, patch: &Patch) -> Patch {
        self.merge(patch, &mut DigestSum::default())
    }

    /// Applies `patch` and brings `sum`, the sum of the objects' digests, up to date.
    fn merge(&mut self, patch: &Patch, sum: &mut DigestSum) -> Patch {
        Patch {
            teams: merge("teams", &mut self.teams, &patch.teams, sum),
            services: merge("services", &mut self.services, &patch.services, sum),
            groups: merge("groups", &mut self.groups, &patch.groups, sum),
            mounts: merge("mounts", &mut self.mounts, &patch.mounts, sum),
        }
    }
}

impl Patch {
    /// Objects touched.
    pub fn len(&self) -> usize {
        self.teams.len() + self.services.len() + self.groups.len() + self.mounts.len()
    }

    /// Whether nothing is touched.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A document together with its digest, which follows each change at the cost of the change.
///
/// The document is shared, so that a snapshot for a follower costs no copy; it is copied when it
/// changes while such a snapshot is still held.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Arc<Document>", into = "Arc<Document>")]
pub struct DigestedDocument {
    document: Arc<Document>,
    sum: DigestSum,
}

impl DigestedDocument {
    /// The document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The document's digest.
    pub fn digest(&self) -> Sha256 {
        self.sum.digest()
    }

    /// Puts each `Some` of `patch`, removes each `None`; gives the patch that takes it back.
    pub fn apply(&mut self, patch: &Patch) -> Patch {
        let document = Arc::make_mut(&mut self.document);
        document.merge(patch, &mut self.sum)
    }
}

impl From<Arc<Document>> for DigestedDocument {
    fn from(document: Arc<Document>) -> Self {
        let mut sum = DigestSum::default();
        add_all("teams", &document.teams, &mut sum);
        add_all("services", &document.services, &mut sum);
        add_all("groups", &document.groups, &mut sum);
        add_all("mounts", &document.mounts, &mut sum);
        Self { document, sum }
    }
}

impl From<DigestedDocument> for Arc<Document> {
    fn from(tracked: DigestedDocument) -> Self {
        tracked.document
    }
}

fn add_all<K: Display, V: Serialize>(kind: &str, objects: &BTreeMap<K, V>, sum: &mut DigestSum) {
    for (name, object) in objects {
        sum.add(&object_digest(kind, name, object));
    }
}

/// Puts each `Some` of `changes` into `objects`, removes each `None`, and gives what was there.
fn merge<K, V>(
    kind: &str,
    objects: &mut BTreeMap<K, V>,
    changes: &BTreeMap<K, Option<V>>,
    sum: &mut DigestSum,
) -> BTreeMap<K, Option<V>>
where
    K: Ord + Clone + Display,
    V: Clone + Serialize,
{
    let mut before = BTreeMap::new();
    for (name, change) in changes {
        let old = match change {
            Some(object) => objects.insert(name.clone(), object.clone()),
            None => objects.remove(name),
        };
        if let Some(object) = &old {
            sum.remove(&object_digest(kind, name, object));
        }
        if let Some(object) = change {
            sum.add(&object_digest(kind, name, object));
        }
        before.insert(name.clone(), old);
    }
    before
}

/// The digest of one object's canonical form.
fn object_digest(kind: &str, name: &impl Display, object: &impl Serialize) -> Sha256 {
    let mut text = format!("{kind}/{name}\n").into_bytes();
    // Ordered maps make the serialised form canonical, and it holds no type that can fail.
    text.extend(serde_json::to_vec(object).unwrap_or_default());
    Sha256::of(&text)
}

/// A share that the fair queue and the credits work with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Tokens a second that a server can generate.
    pub tokens: TokenRate,
    /// Requests that it runs at once.
    pub slots: u32,
}
