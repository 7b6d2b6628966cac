//! Claims on idempotency keys, and the outcomes of the requests that ran under them.
//!
//! A key runs at most once, so an expired key must never be treated as new. A key that contains its
//! creation time expires when the expiry horizon passes that time, and every key dated at or before
//! the horizon is refused as expired. For an expired key without a date, a short digest is kept
//! permanently; when the maximum number of these is reached, new keys without a date are refused.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdyke_core::data;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::RequestId;
use eelgrassdyke_core::time::WallTime;
use eelgrassdyke_core::wire::claim::{
    ClaimAction, ClaimOutcome, ClaimRequest, ClaimResult, Holder, TeamKey,
};

/// Time for which a claim is kept after the date of its key, if memory permits.
const RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Time for which a claim is kept after the date of its key even when memory is full.
const RETENTION_MIN_MS: u64 = 600 * 1000;

/// Most that the date of a key may be ahead of control's clock.
const FUTURE_MAX_MS: u64 = 60 * 1000;

/// Memory of one claim without its strings and outcome.
const CLAIM_OVERHEAD_BYTES: u64 = 760;

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_bytes: 256 << 20,
            max_undated_keys: 500_000,
        }
    }
}

data! {
    /// Limits on the stored claims; part of the state, so that every replica applies the same ones.
    #[derive(Copy, Eq)]
    pub struct Limits {
        /// Memory of all claims, in bytes.
        #[serde(rename = "bytes")]
        pub max_bytes: u64,
        /// Keys without a date, open and expired.
        #[serde(rename = "undated")]
        pub max_undated_keys: usize,
    }

    /// The open keys, and digests of expired keys without a date.
    #[derive(Default)]
    #[serde(default)]
    pub struct Claims {
        #[serde(with = "pairs")]
        keys: BTreeMap<TeamKey, Claim>,
        by_date: BTreeSet<(WallTime, TeamKey)>,
        horizon: WallTime,
        bytes: u64,
        #[serde(rename = "undated")]
        expired_undated: BTreeSet<(u64, u64)>,
        open_undated: usize,
        limits: Limits,
    }

    /// The latest claim on one key.
    struct Claim {
        number: u32,
        request: RequestId,
        #[serde(rename = "call")]
        call_digest: Sha256,
        holder: Holder,
        outcome: Option<ClaimOutcome>,
        date: WallTime,
    }
}

impl Claims {
    /// An empty set of claims with limits other than the default ones.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Number of open keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is open.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Memory of all claims, in bytes, as counted against [`Limits::max_bytes`].
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The expiry horizon: keys dated at or before it are expired.
    pub fn horizon(&self) -> WallTime {
        self.horizon
    }

    /// Removes the claims whose retention has ended.
    pub fn expire(&mut self, clock: WallTime) {
        self.raise_horizon(WallTime(clock.0.saturating_sub(RETENTION_MS)));
    }

    /// Applies an entry's claim request.
    pub fn apply(&mut self, clock: WallTime, request: &ClaimRequest) -> ClaimResult {
        match &request.action {
            ClaimAction::Claim {
                call_digest,
                holder,
                replaces,
            } => match self.keys.contains_key(&request.team_key) {
                true => self.claim_open_key(request, call_digest, holder, *replaces),
                false => self.claim_new_key(clock, request, call_digest, holder),
            },
            ClaimAction::Settle { claim, outcome } => {
                self.settle(clock, &request.team_key, *claim, outcome)
            }
        }
    }

    /// Claims a key that is not open: a new one, or an expired one.
    fn claim_new_key(
        &mut self,
        clock: WallTime,
        request: &ClaimRequest,
        call_digest: &Sha256,
        holder: &Holder,
    ) -> ClaimResult {
        let team_key = &request.team_key;
        if let Some(result) = self.refusal_reason(clock, team_key) {
            return result;
        }
        if !self.evict_until_fits(clock, claim_bytes(team_key)) {
            return ClaimResult::TooManyOpen;
        }
        let date = team_key.key.date();
        let claim = Claim {
            number: 1,
            request: request.request.clone(),
            call_digest: *call_digest,
            holder: holder.clone(),
            outcome: None,
            date: date.unwrap_or(clock),
        };
        self.open_undated += usize::from(date.is_none());
        self.bytes += claim_bytes(team_key);
        self.by_date.insert((claim.date, team_key.clone()));
        self.keys.insert(team_key.clone(), claim);
        ClaimResult::Granted {
            claim: 1,
            holder: holder.clone(),
        }
    }

    /// The reason why a key that is not open can't be claimed; none if it can.
    fn refusal_reason(&self, clock: WallTime, team_key: &TeamKey) -> Option<ClaimResult> {
        let Some(date) = team_key.key.date() else {
            if self.expired_undated.contains(&key_digest(team_key)) {
                return Some(ClaimResult::Expired);
            }
            let known = self.expired_undated.len() + self.open_undated;
            return (known >= self.limits.max_undated_keys).then_some(ClaimResult::TooManyUndated);
        };
        if date <= self.horizon {
            return Some(ClaimResult::Expired);
        }
        (date.0 > clock.0.saturating_add(FUTURE_MAX_MS)).then_some(ClaimResult::DateInFuture)
    }

    /// Claims a key that is open.
    fn claim_open_key(
        &mut self,
        request: &ClaimRequest,
        call_digest: &Sha256,
        holder: &Holder,
        replaces: Option<u32>,
    ) -> ClaimResult {
        let Some(existing) = self.keys.get_mut(&request.team_key) else {
            return ClaimResult::Expired;
        };
        if existing.call_digest != *call_digest {
            return ClaimResult::KeyReused;
        }
        match &existing.outcome {
            Some(ClaimOutcome::NotRun) => {}
            Some(outcome) => return ClaimResult::Settled(outcome.clone()),
            None if replaces == Some(existing.number) => {}
            // A resend of the granted request gets the same response.
            None if existing.request == request.request && existing.holder == *holder => {
                return ClaimResult::Granted {
                    claim: existing.number,
                    holder: holder.clone(),
                };
            }
            None => {
                let (claim, holder) = (existing.number, existing.holder.clone());
                return ClaimResult::Held { claim, holder };
            }
        }
        existing.number += 1;
        existing.request = request.request.clone();
        existing.holder = holder.clone();
        existing.outcome = None;
        ClaimResult::Granted {
            claim: existing.number,
            holder: holder.clone(),
        }
    }

    fn settle(
        &mut self,
        clock: WallTime,
        team_key: &TeamKey,
        claim: u32,
        outcome: &ClaimOutcome,
    ) -> ClaimResult {
        // Eviction may remove this very key, so it comes before the lookup.
        let fits = self.evict_until_fits(clock, outcome_bytes(outcome));
        let Some(existing) = self.keys.get_mut(team_key) else {
            return ClaimResult::Expired;
        };
        if existing.number == claim && existing.outcome.is_none() {
            let stored = match fits {
                true => outcome.clone(),
                false => without_response(outcome),
            };
            self.bytes += outcome_bytes(&stored);
            existing.outcome = Some(stored);
        }
        match &existing.outcome {
            Some(outcome) => ClaimResult::Settled(outcome.clone()),
            None => ClaimResult::Held {
                claim: existing.number,
                holder: existing.holder.clone(),
            },
        }
    }

    /// Evicts the oldest claims until `bytes` more fit; false if the rest is too recent to evict.
    fn evict_until_fits(&mut self, clock: WallTime, bytes: u64) -> bool {
        let latest_evictable = WallTime(clock.0.saturating_sub(RETENTION_MIN_MS));
        while self.bytes + bytes > self.limits.max_bytes {
            let Some((date, _)) = self.by_date.first() else {
                return false;
            };
            if *date > latest_evictable {
                return false;
            }
            self.raise_horizon(*date);
        }
        true
    }

    /// Raises the horizon and removes the claim of every key dated at or before it.
    fn raise_horizon(&mut self, horizon: WallTime) {
        self.horizon = self.horizon.max(horizon);
        while let Some((date, _)) = self.by_date.first() {
            if *date > self.horizon {
                return;
            }
            let Some((_, team_key)) = self.by_date.pop_first() else {
                return;
            };
            self.remove_claim(&team_key);
        }
    }

    fn remove_claim(&mut self, team_key: &TeamKey) {
        let Some(claim) = self.keys.remove(team_key) else {
            return;
        };
        let outcome = claim.outcome.as_ref().map_or(0, outcome_bytes);
        self.bytes = self.bytes.saturating_sub(claim_bytes(team_key) + outcome);
        if team_key.key.date().is_none() {
            self.open_undated = self.open_undated.saturating_sub(1);
            self.expired_undated.insert(key_digest(team_key));
        }
    }
}

/// The digest that is kept of an expired key without a date.
fn key_digest(team_key: &TeamKey) -> (u64, u64) {
    Sha256::of(format!("{}\n{}", team_key.team, team_key.key).as_bytes()).first_128_bits()
}

/// Memory of a claim without its outcome, in bytes; its key is stored in two collections.
fn claim_bytes(team_key: &TeamKey) -> u64 {
    let key_bytes = team_key.team.as_str().len() + team_key.key.as_str().len();
    CLAIM_OVERHEAD_BYTES + key_bytes as u64
}

/// Memory of an outcome, in bytes.
fn outcome_bytes(outcome: &ClaimOutcome) -> u64 {
    let ClaimOutcome::Answered { head, body } = outcome else {
        return 0;
    };
    let headers = head.headers.iter();
    let header_bytes: usize = headers
        .map(|(field, value)| field.len() + value.len())
        .sum();
    (header_bytes + body.len()) as u64
}

/// The outcome without its response, for a response that does not fit in memory; that the request ran
/// stays known.
fn without_response(outcome: &ClaimOutcome) -> ClaimOutcome {
    match outcome {
        ClaimOutcome::Answered { .. } | ClaimOutcome::ResponseLost => ClaimOutcome::ResponseLost,
        ClaimOutcome::NotRun => ClaimOutcome::NotRun,
    }
}

/// Serialises a map whose keys are not strings as a list of pairs.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<K, V, S>(map: &BTreeMap<K, V>, serializer: S) -> Result<S::Ok, S::Error>
    where
        K: Serialize,
        V: Serialize,
        S: Serializer,
    {
        serializer.collect_seq(map)
    }

    pub fn deserialize<'de, K, V, D>(deserializer: D) -> Result<BTreeMap<K, V>, D::Error>
    where
        K: Deserialize<'de> + Ord,
        V: Deserialize<'de>,
        D: Deserializer<'de>,
    {
        let pairs = Vec::<(K, V)>::deserialize(deserializer)?;
        Ok(pairs.into_iter().collect())
    }
}
