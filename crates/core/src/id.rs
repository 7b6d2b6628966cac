//! Identifiers.
//!
//! Names that operators choose (teams, services, groups, hosts) are validated text. Numbers that
//! processes issue are unique in combination with the issuer's [`Process`] name and
//! [`Incarnation`], so processes issue them without coordination.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use crate::{quantity, string_id};

/// Longest accepted name, in bytes.
pub const NAME_BYTES_MAX: usize = 128;

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is empty.
    #[error("the name is empty; give 1 to {NAME_BYTES_MAX} characters")]
    Empty,
    /// The text is longer than [`NAME_BYTES_MAX`].
    #[error("the name has {0} bytes; shorten it to at most {NAME_BYTES_MAX}")]
    TooLong(usize),
    /// The text contains a character outside the accepted set.
    #[error("the name holds {0:?}; use only letters, digits and . _ : / -")]
    InvalidCharacter(char),
    /// The text is not a request or attempt identifier.
    #[error("{0:?} is not an identifier; write it as process/incarnation/number")]
    InvalidFormat(String),
}

/// Checks that `text` is 1 to [`NAME_BYTES_MAX`] characters of `[A-Za-z0-9._:/-]`.
pub fn check_name(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > NAME_BYTES_MAX {
        return Err(Error::TooLong(text.len()));
    }
    let invalid = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"._:/-".contains(*c));
    match invalid {
        Some(c) => Err(Error::InvalidCharacter(c)),
        None => Ok(()),
    }
}

string_id! {
    /// A customer whose callers share one token set and one share of capacity.
    Team;
    /// A model service or a plain application that callers address.
    Service;
    /// A backend server that is announced by heartbeats.
    Server;
    /// A group of ranks that run steps in lock-step and share one expert map.
    Group;
    /// A host name and path under which callers reach services.
    Mount;
    /// A running process of the system, named in its settings.
    Process;
    /// A machine.
    Host;
    /// A data centre, used as a failure zone.
    DataCentre;
    /// A set of data centres with low latency between them.
    Region;
    /// A model, adapter or version that engines load.
    Model;
    /// The identifier that an operator chooses for one change or order; a resend uses the same one.
    Operation;
    /// A caller's idempotency key, unique within its team.
    IdempotencyKey;
    /// A part of a prompt that several requests may share.
    PromptPart;
}

quantity! {
    /// The incarnation of a process: greater after each restart of the same process.
    Incarnation;
    /// A version of the configuration, incremented by each accepted change, or of an expert map.
    Version;
    /// A term of the replicated log: the period of one leader.
    Term;
    /// A coordination term: the period in which one control process coordinates a rank group without a
    /// break. It increases with each assignment of a group, across leaders as well.
    CoordinationTerm;
    /// A position in the replicated log, from 1.
    Index;
    /// A position within a rank group, from 0.
    Rank;
    /// One expert of a layer, from 0.
    Expert;
    /// One layer of a model, from 0.
    Layer;
    /// One step that the ranks of a group run in lock-step.
    Step;
    /// The generation of a rank group; increases when a rank fails or is replaced.
    Generation;
    /// Correlates an input with its later output: a pending response, as numbered by the shell (the
    /// I/O layer) that holds the connection.
    Ticket;
}

/// The identifier of a replica of the control log, drawn at random when its data folder is created.
///
/// Serialised as 16 hexadecimal digits in human-readable formats, and as a number elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Replica(pub u64);

impl Serialize for Replica {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => serializer.serialize_u64(self.0),
        }
    }
}

impl<'de> Deserialize<'de> for Replica {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer).map(Self);
        }
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl fmt::Display for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Replica {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The identifier of a caller's request, issued by the entry that accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// The entry process.
    pub entry: Process,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation, from 1.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.entry, self.incarnation, self.number)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::InvalidFormat(text.to_owned());
        let (rest, number) = text.rsplit_once('/').ok_or_else(invalid)?;
        let (entry, incarnation) = rest.rsplit_once('/').ok_or_else(invalid)?;
        Ok(Self {
            entry: entry.parse()?,
            incarnation: incarnation.parse().map_err(|_| invalid())?,
            number: number.parse().map_err(|_| invalid())?,
        })
    }
}

/// The identifier of one dispatch of a request to a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Sequence number within the request, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.request, self.number)
    }
}
