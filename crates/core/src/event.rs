//! Numbered events of the timeline.
//!
//! A process logs each of its decisions as one of these events. docs/EVENTS.md lists the catalogue; a
//! test compares it with the one here.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::data;
use crate::id::{Group, Incarnation, Operation, Process, RequestId, Server, Team};
use crate::time::HybridTimestamp;

/// Declares the events: number, name and description.
macro_rules! catalogue {
    ($($number:literal $name:ident $description:literal;)*) => {
        /// The kind of an event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $(#[doc = $description] $name = $number,)*
        }

        impl Code {
            /// Every kind, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// The name used in logs and filters.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }

            /// The description listed in docs/EVENTS.md.
            pub fn description(self) -> &'static str {
                match self {
                    $(Self::$name => $description,)*
                }
            }
        }

        impl TryFrom<u16> for Code {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $($number => Ok(Self::$name),)*
                    _ => Err(format!("no event has number {number}; see docs/EVENTS.md")),
                }
            }
        }
    };
}

catalogue! {
    100 ProcessStarted "A process started serving its roles.";
    101 ProcessStopping "A process began a graceful shutdown.";
    102 ProcessStopped "A process ended; the detail names the work that was cut off.";
    103 PeerUnreachable "Messages to a peer could not be sent and were dropped.";
    104 InputRefused "Malformed input from outside was refused.";
    105 TimeLineGap "Events were dropped from the ring before they were read.";
    106 LinesOmitted "Log lines of one kind were omitted because there were too many.";
    107 PeerReached "Messages to a peer are delivered again.";
    108 SettingsRead "A process re-read its settings file on request; changes take effect at the next start.";
    109 ProcessStalled "A process did not run for a time: it was suspended, or its processor was busy.";
    110 MessageSkipped "Messages that their receiver, of another build, doesn't know were skipped; the others of their batch were handled.";
    111 MessagesDropped "Messages to a peer were dropped because too many waited to be sent; the facts name the kind of which most waited.";
    200 LeaderElected "A replica became leader of the control log.";
    201 LeaderLost "A leader of the control log stepped down.";
    202 QuorumLost "A replica cannot reach a quorum; changes are refused.";
    203 SnapshotTaken "A replica compacted its log into a snapshot.";
    204 SnapshotInstalled "A replica installed a snapshot from the leader.";
    205 MembersChanged "The members of the control log changed.";
    206 DiskFailed "A replica stopped because its disk failed.";
    207 LogCut "A torn tail was truncated from the log at start.";
    208 DiskReopened "A replica resumed because its disk accepts writes again.";
    209 DiskSlow "A write to the data folder of a replica took long; votes and commits wait for it.";
    210 LeaderReady "A leader committed the first record of its term; confirmed reads and changes succeed from here on.";
    211 ElectionFailed "A replica got no majority in an election or a pre-vote and tries again.";
    212 ApplyHalted "A replica met a record of a newer build; it keeps all records, but applies none until that build runs on its data folder.";
    213 VoterLeaving "A voter whose process stops asks for a replica to take its place, or has been released.";
    214 VoterLost "A voter is known to be lost with its disk: another replica has shown itself at its address.";
    220 ConfigAccepted "A configuration change was accepted.";
    221 ConfigRefused "A configuration change was refused; nothing was applied.";
    222 ConfigApplied "A process applied a configuration version.";
    223 ConfigStale "A process received no update from control within the freshness lease.";
    224 EvacuationOrdered "An operator's order to evacuate a data centre, or to end its evacuation, was accepted.";
    225 EvacuationBegun "An entry sends nothing more to the servers of an evacuated data centre.";
    226 EvacuationEnded "An entry routes to the servers of a data centre again, with a slow start.";
    227 ConfigRead "An operator's read of the configuration was confirmed by a quorum and answered.";
    228 ConfigReadRefused "An operator's read of the configuration was refused; the facts tell what this replica waits for.";
    240 ServerUp "A server became available.";
    241 ServerDraining "A server accepts no new requests.";
    242 ServerLeft "A server announced that it has left and was removed from the directory.";
    243 ServerLost "The lease of a server expired.";
    260 OrderGiven "Control sent an order to an engine.";
    261 OrderDone "An engine executed an order.";
    262 OrderFenced "An order with an outdated fencing token was refused.";
    263 OrderFailed "An engine failed to execute an order.";
    300 RequestTaken "An entry accepted a request.";
    301 RequestRefused "An entry refused a request.";
    302 RequestDispatched "An entry dispatched an attempt.";
    303 RequestDelivered "An entry delivered a complete response.";
    304 RequestRetried "An entry retries a request with a new attempt.";
    305 RequestResumed "An entry resumes a stream on another server.";
    306 RequestCancelled "The caller cancelled a request or disconnected.";
    307 AnswerDropped "A late or unexpected response was dropped.";
    308 KeyClaimed "An idempotency key was claimed for one incarnation of an agent.";
    309 KeySealed "An idempotency key whose dispatch never reached the agent was sealed.";
    310 KeySettled "The outcome of an idempotency key was stored.";
    311 RequestQueued "An entry queued a request until a slot is free.";
    320 ServerEjected "An entry stopped routing to a failing server.";
    321 ServerReturned "An entry routes to an ejected server again, with a slow start.";
    322 EnginesSlow "An entry received a new list of engines that are slow or whose group is closed.";
    323 ServerCrashed "An entry found that a server ended while it ran requests; the facts name the prompt parts, and the fingerprints of the requests, that it was about to write on.";
    324 PartQuarantined "Requests with a prompt part on which several servers ended, or repeats of a request that ended them, are refused for a time.";
    325 PartCleared "A prompt part or request on which a server ended was found sound, or an operator lifted its quarantine.";
    326 ServerLeaving "A server said in a response that it leaves; it gets no new requests.";
    327 ServerPaused "A server turned a request away and wants no requests for a time.";
    328 ServerLimited "A server named, changed or withdrew the rate of requests that it takes from all entries.";
    340 ServerCold "A server became cold and gets a limited rate of requests, or is no longer cold.";
    341 ColdAssumed "An entry without contact to control limits the requests to every server that may have become cold, or stopped doing so.";
    400 AttemptQueued "An agent queued an attempt.";
    401 AttemptStarted "An agent forwarded an attempt to its server.";
    402 AttemptEnded "An attempt ended.";
    403 AttemptRefused "An agent refused an attempt.";
    404 BackendFailed "A server was unreachable, broke off its response or sent an invalid one.";
    500 PlanMade "A new expert map was planned.";
    501 SwitchPrepared "All ranks have loaded the weights of a new expert map.";
    502 SwitchDecided "A switch to a new expert map was committed or aborted.";
    503 SwitchStalled "A rank waits at its step horizon for the decision on a switch.";
    504 GenerationStarted "A rank group started a new generation.";
    505 MapInForce "A rank uses a new expert map.";
    506 GroupAssigned "The leader assigned a rank group to a control process, its coordinator.";
    507 GroupUnassigned "The leader withdrew a rank group from its coordinator, or can't assign it.";
    508 CoordinationGained "A control process became the coordinator of a rank group.";
    509 CoordinationLost "A control process is no longer the coordinator of a rank group.";
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code as u16
    }
}

data! {
    /// The objects that an event concerns; a timeline filter matches any of them.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct Subject {
        /// The caller's own identifier of the call, if it sent one.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub call: Option<String>,
        /// The request.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub request: Option<RequestId>,
        /// The team.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub team: Option<Team>,
        /// The server.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub server: Option<Server>,
        /// The rank group.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub group: Option<Group>,
        /// The operator's change or order.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub operation: Option<Operation>,
    }

    /// An event as a protocol core reports it.
    #[derive(Eq)]
    pub struct Event {
        /// Its kind.
        pub code: Code,
        /// The objects that it concerns.
        pub subject: Subject,
        /// Details as human-readable text.
        pub detail: String,
        /// The inputs of the decision, with their age or version, and its result.
        #[serde(default, skip_serializing_if = "Facts::is_empty")]
        pub facts: Facts,
    }

    /// The value of one fact of an event.
    #[derive(Eq)]
    #[serde(untagged)]
    pub enum Fact {
        /// A count, a version, or a duration in the unit that the name of the fact ends with.
        Number(u64),
        /// Any other value.
        Text(String),
    }

    /// An event as stored in the timeline.
    #[derive(Eq)]
    pub struct EventRecord {
        /// Its time, in causal order.
        pub stamp: HybridTimestamp,
        /// The process that reported it.
        pub process: Process,
        /// The incarnation of that process.
        pub incarnation: Incarnation,
        /// Sequence number within the incarnation, from 1; a jump means that events were dropped.
        pub number: u64,
        /// The event.
        pub event: Event,
    }
}

/// The facts of an event, by name, in the order in which they were added.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts(Vec<(Cow<'static, str>, Fact)>);

impl Facts {
    /// Whether there are no facts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The name and value of each fact.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Fact)> {
        self.0.iter().map(|(name, fact)| (&**name, fact))
    }
}

/// Serialises the facts as a map.
impl Serialize for Facts {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

impl<'de> Deserialize<'de> for Facts {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let map = BTreeMap::<String, Fact>::deserialize(deserializer)?;
        let facts = map.into_iter().map(|(name, fact)| (name.into(), fact));
        Ok(Self(facts.collect()))
    }
}

impl From<u64> for Fact {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<&str> for Fact {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Fact {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

/// Converts a duration to milliseconds.
impl From<Duration> for Fact {
    fn from(duration: Duration) -> Self {
        Self::Number(duration.as_millis() as u64)
    }
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => number.fmt(f),
            Self::Text(text) => text.fmt(f),
        }
    }
}

impl Event {
    /// An event without a subject or facts.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            subject: Subject::default(),
            detail: detail.into(),
            facts: Facts::default(),
        }
    }

    /// Adds a fact.
    #[must_use]
    pub fn with_fact(mut self, name: &'static str, fact: impl Into<Fact>) -> Self {
        self.facts.0.push((name.into(), fact.into()));
        self
    }

    /// Sets the caller's own identifier of the call.
    #[must_use]
    pub fn call(mut self, id: &str) -> Self {
        self.subject.call = Some(id.to_owned());
        self
    }

    /// Sets the request.
    #[must_use]
    pub fn request(mut self, request: &RequestId) -> Self {
        self.subject.request = Some(request.clone());
        self
    }

    /// Sets the team.
    #[must_use]
    pub fn team(mut self, team: &Team) -> Self {
        self.subject.team = Some(team.clone());
        self
    }

    /// Sets the server.
    #[must_use]
    pub fn server(mut self, server: &Server) -> Self {
        self.subject.server = Some(server.clone());
        self
    }

    /// Sets the rank group.
    #[must_use]
    pub fn group(mut self, group: &Group) -> Self {
        self.subject.group = Some(group.clone());
        self
    }

    /// Sets the operation.
    #[must_use]
    pub fn operation(mut self, operation: &Operation) -> Self {
        self.subject.operation = Some(operation.clone());
        self
    }
}
