//! Refusals of requests, and whether the refused request ran.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::data;

data! {
    /// Whether a server ran a refused request.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum RunStatus {
        /// Provably did not run and will not run.
        No,
        /// Ran.
        Yes,
        /// May have run.
        Unknown,
    }

    /// Why a request was refused.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Reason {
        /// The request is malformed.
        Malformed,
        /// The request head or body exceeds its size limit.
        #[serde(rename = "large")]
        TooLarge,
        /// No team accepts the bearer token.
        Unauthenticated,
        /// The service does not exist.
        NoService,
        /// A non-idempotent request has no `Idempotency-Key`.
        NoKey,
        /// The key was used for another request.
        KeyReused,
        /// The key is older than the retention period.
        KeyExpired,
        /// An earlier request with this key is still running.
        StillRunning,
        /// An earlier request with this key may have run.
        OutcomeUnknown,
        /// The deadline has passed or can no longer be met.
        Deadline,
        /// The team has reached its cap, or exceeds its share during overload.
        #[serde(rename = "share")]
        ShareExceeded,
        /// All servers are at capacity.
        Overload,
        /// No server of the service is up.
        NoServer,
        /// The server is draining or its lease has expired.
        Draining,
        /// The dispatch was meant for an earlier incarnation of the agent.
        #[serde(rename = "incarnation")]
        WrongIncarnation,
        /// The key was sealed before the dispatch arrived.
        #[serde(rename = "sealed")]
        KeySealed,
        /// The process has no confirmed configuration yet, or its configuration is stale.
        NotReady,
        /// Control is unreachable, so the key can't be claimed.
        NoControl,
        /// The server sent an invalid response or closed the connection.
        ServerFailed,
        /// The caller closed the connection.
        CallerGone,
        /// Servers ended on a part of the prompt.
        Quarantined,
    }

    /// A refusal.
    #[derive(Copy, Eq)]
    pub struct Refusal {
        /// The reason.
        pub reason: Reason,
        /// Whether the request ran.
        #[serde(rename = "run")]
        pub run_status: RunStatus,
        /// Time after which a retry makes sense, in milliseconds; none if it never does.
        pub retry_after_ms: Option<u64>,
    }
}

impl RunStatus {
    /// The value of the `eelgrassdyke-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RunStatus {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "no" => Ok(Self::No),
            "yes" => Ok(Self::Yes),
            "unknown" => Ok(Self::Unknown),
            _ => Err(Error(text.to_owned())),
        }
    }
}

/// Result of parsing a [`RunStatus`].
pub type Result<T> = std::result::Result<T, Error>;

/// The text is not a [`RunStatus`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a run status; use no, yes or unknown")]
pub struct Error(String);

impl Reason {
    /// All reasons, in the order of the enum.
    pub const ALL: [Self; 21] = [
        Self::Malformed,
        Self::TooLarge,
        Self::Unauthenticated,
        Self::NoService,
        Self::NoKey,
        Self::KeyReused,
        Self::KeyExpired,
        Self::StillRunning,
        Self::OutcomeUnknown,
        Self::Deadline,
        Self::ShareExceeded,
        Self::Overload,
        Self::NoServer,
        Self::Draining,
        Self::WrongIncarnation,
        Self::KeySealed,
        Self::NotReady,
        Self::NoControl,
        Self::ServerFailed,
        Self::CallerGone,
        Self::Quarantined,
    ];

    /// The text used in refusals, reports and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "large",
            Self::Unauthenticated => "unauthenticated",
            Self::NoService => "no_service",
            Self::NoKey => "no_key",
            Self::KeyReused => "key_reused",
            Self::KeyExpired => "key_expired",
            Self::StillRunning => "still_running",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Deadline => "deadline",
            Self::ShareExceeded => "share",
            Self::Overload => "overload",
            Self::NoServer => "no_server",
            Self::Draining => "draining",
            Self::WrongIncarnation => "incarnation",
            Self::KeySealed => "sealed",
            Self::NotReady => "not_ready",
            Self::NoControl => "no_control",
            Self::ServerFailed => "server_failed",
            Self::CallerGone => "caller_gone",
            Self::Quarantined => "quarantined",
        }
    }

    /// Advice to the caller.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Malformed => "correct the call",
            Self::TooLarge => "send a smaller call",
            Self::Unauthenticated => "send the team's token as `Authorization: Bearer TOKEN`",
            Self::NoService => "name a configured service",
            Self::NoKey => "send an `Idempotency-Key`",
            Self::KeyReused => "use a new key for a new call",
            Self::KeyExpired => "use a new key after checking whether the first call took effect",
            Self::StillRunning => "ask again with the same key after Retry-After",
            Self::OutcomeUnknown => "check whether the call took effect before using a new key",
            Self::Deadline => "come back after Retry-After or allow more time",
            Self::ShareExceeded => "come back after Retry-After or ask for a larger share",
            Self::Overload => "come back after Retry-After",
            Self::NoServer => "come back after Retry-After",
            Self::Draining => "come back after Retry-After",
            Self::WrongIncarnation => "come back after Retry-After",
            Self::KeySealed => "ask again with the same key",
            Self::NotReady => "come back after Retry-After",
            Self::NoControl => "come back after Retry-After",
            Self::ServerFailed => "ask again with the same key",
            Self::CallerGone => "ask again with the same key",
            Self::Quarantined => {
                "come back after Retry-After or change the prompt: servers ended on a part of it"
            }
        }
    }

    /// The HTTP status of a refusal for this reason.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed | Self::NoKey => 400,
            Self::Unauthenticated => 401,
            Self::NoService => 404,
            Self::StillRunning | Self::OutcomeUnknown => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::ShareExceeded => 429,
            Self::CallerGone => 499,
            Self::ServerFailed => 502,
            Self::Overload
            | Self::NoServer
            | Self::Draining
            | Self::WrongIncarnation
            | Self::KeySealed
            | Self::NotReady
            | Self::NoControl
            | Self::Quarantined => 503,
            Self::Deadline => 504,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            run_status: RunStatus::No,
            retry_after_ms: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            reason,
            run_status: RunStatus::Unknown,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a retry makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }
}
