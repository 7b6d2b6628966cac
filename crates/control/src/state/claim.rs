//! Claims on idempotency keys, and the outcomes of what ran under them.
//!
//! A key runs at most once, so a key that was forgotten must never be taken for a new one. A key
//! that carries its date is forgotten when the horizon passes that date, and every key at or before
//! the horizon is refused as too old. A key without a date leaves a short digest behind for good;
//! when no more of these can be kept, new keys without a date are refused.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdyke_core::data;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::RequestId;
use eelgrassdyke_core::time::WallTime;
use eelgrassdyke_core::wire::claim::{
    ClaimAction, ClaimOutcome, ClaimRequest, ClaimResult, Holder, TeamKey,
};

/// Time after its date in which a key's claim is kept, room permitting, in milliseconds.
const WINDOW_MS: u64 = 24 * 3600 * 1000;

/// Time after its date in which a key's claim is kept in any case, in milliseconds.
const WINDOW_MIN_MS: u64 = 600 * 1000;

/// Time by which a key's date may lie ahead of control's clock, in milliseconds.
const AHEAD_MAX_MS: u64 = 60 * 1000;

/// Memory of one claim without its texts and outcome, in bytes.
const CLAIM_BYTES: u64 = 760;

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: 256 << 20,
            undated: 500_000,
        }
    }
}

data! {
    /// Bounds on what is kept; part of the state, so that every replica has the same ones.
    #[derive(Copy, Eq)]
    pub struct Limits {
        /// Memory of all claims, in bytes.
        pub bytes: u64,
        /// Keys without a date remembered for good.
        pub undated: usize,
    }

    /// Every key whose window is open.
    #[derive(Default)]
    #[serde(default)]
    pub struct Claims {
        #[serde(with = "pairs")]
        keys: BTreeMap<TeamKey, Claim>,
        by_date: BTreeSet<(WallTime, TeamKey)>,
        horizon: WallTime,
        bytes: u64,
        undated: BTreeSet<(u64, u64)>,
        open_undated: usize,
        limits: Limits,
    }

    /// The present claim on one key.
    struct Claim {
        number: u32,
        request: RequestId,
        call: Sha256,
        holder: Holder,
        outcome: Option<ClaimOutcome>,
        date: WallTime,
    }
}

impl Claims {
    /// No claims yet, under other bounds than the default ones.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Keys whose window is open.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key's window is open.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Memory of all claims, in bytes, as counted against the bound.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Keys dated up to here are too old.
    pub fn horizon(&self) -> WallTime {
        self.horizon
    }

    /// Forgets the keys whose window has closed.
    pub fn forget(&mut self, clock: WallTime) {
        self.raise_horizon(WallTime(clock.0.saturating_sub(WINDOW_MS)));
    }

    /// Applies what an entry asks of a key.
    pub fn apply(&mut self, clock: WallTime, ask: &ClaimRequest) -> ClaimResult {
        match &ask.action {
            ClaimAction::Claim {
                call_digest: call,
                holder,
                replaces,
            } => match self.keys.contains_key(&ask.team_key) {
                true => self.claim_again(ask, call, holder, *replaces),
                false => self.claim_first(clock, ask, call, holder),
            },
            ClaimAction::Settle { claim, outcome } => {
                self.settle(clock, &ask.team_key, *claim, outcome)
            }
        }
    }

    /// Claims a key that has no open claim: a new one, or one that was forgotten.
    fn claim_first(
        &mut self,
        clock: WallTime,
        ask: &ClaimRequest,
        call: &Sha256,
        holder: &Holder,
    ) -> ClaimResult {
        let name = &ask.team_key;
        if let Some(finding) = self.refusal(clock, name) {
            return finding;
        }
        if !self.make_room(clock, fixed_cost(name)) {
            return ClaimResult::TooManyOpen;
        }
        let date = name.key.date();
        let claim = Claim {
            number: 1,
            request: ask.request.clone(),
            call: *call,
            holder: holder.clone(),
            outcome: None,
            date: date.unwrap_or(clock),
        };
        self.open_undated += usize::from(date.is_none());
        self.bytes += fixed_cost(name);
        self.by_date.insert((claim.date, name.clone()));
        self.keys.insert(name.clone(), claim);
        ClaimResult::Granted {
            claim: 1,
            holder: holder.clone(),
        }
    }

    /// Why a key without an open claim can't be claimed.
    fn refusal(&self, clock: WallTime, name: &TeamKey) -> Option<ClaimResult> {
        let Some(date) = name.key.date() else {
            if self.undated.contains(&remains(name)) {
                return Some(ClaimResult::Expired);
            }
            let remembered = self.undated.len() + self.open_undated;
            return (remembered >= self.limits.undated).then_some(ClaimResult::TooManyUndated);
        };
        if date <= self.horizon {
            return Some(ClaimResult::Expired);
        }
        (date.0 > clock.0.saturating_add(AHEAD_MAX_MS)).then_some(ClaimResult::DateInFuture)
    }

    /// Claims a key that has an open claim.
    fn claim_again(
        &mut self,
        ask: &ClaimRequest,
        call: &Sha256,
        holder: &Holder,
        replaces: Option<u32>,
    ) -> ClaimResult {
        let Some(held) = self.keys.get_mut(&ask.team_key) else {
            return ClaimResult::Expired;
        };
        if held.call != *call {
            return ClaimResult::KeyReused;
        }
        match &held.outcome {
            Some(ClaimOutcome::NotRun) => {}
            Some(outcome) => return ClaimResult::Settled(outcome.clone()),
            None if replaces == Some(held.number) => {}
            // A resend of the question that was granted gets the same answer.
            None if held.request == ask.request && held.holder == *holder => {
                return ClaimResult::Granted {
                    claim: held.number,
                    holder: holder.clone(),
                };
            }
            None => {
                let (claim, holder) = (held.number, held.holder.clone());
                return ClaimResult::Held { claim, holder };
            }
        }
        held.number += 1;
        held.request = ask.request.clone();
        held.holder = holder.clone();
        held.outcome = None;
        ClaimResult::Granted {
            claim: held.number,
            holder: holder.clone(),
        }
    }

    fn settle(
        &mut self,
        clock: WallTime,
        name: &TeamKey,
        claim: u32,
        outcome: &ClaimOutcome,
    ) -> ClaimResult {
        // Making room may forget the very key, so it comes first.
        let fits = self.make_room(clock, outcome_cost(outcome));
        let Some(held) = self.keys.get_mut(name) else {
            return ClaimResult::Expired;
        };
        if held.number == claim && held.outcome.is_none() {
            let kept = match fits {
                true => outcome.clone(),
                false => without_answer(outcome),
            };
            self.bytes += outcome_cost(&kept);
            held.outcome = Some(kept);
        }
        match &held.outcome {
            Some(outcome) => ClaimResult::Settled(outcome.clone()),
            None => ClaimResult::Held {
                claim: held.number,
                holder: held.holder.clone(),
            },
        }
    }

    /// Forgets the oldest keys until `cost` more bytes fit; false when younger ones fill the bound.
    fn make_room(&mut self, clock: WallTime, cost: u64) -> bool {
        let youngest = WallTime(clock.0.saturating_sub(WINDOW_MIN_MS));
        while self.bytes + cost > self.limits.bytes {
            let Some((date, _)) = self.by_date.first() else {
                return false;
            };
            if *date > youngest {
                return false;
            }
            self.raise_horizon(*date);
        }
        true
    }

    /// Raises the horizon and forgets every key at or before it.
    fn raise_horizon(&mut self, horizon: WallTime) {
        self.horizon = self.horizon.max(horizon);
        while let Some((date, _)) = self.by_date.first() {
            if *date > self.horizon {
                return;
            }
            let Some((_, name)) = self.by_date.pop_first() else {
                return;
            };
            self.drop_claim(&name);
        }
    }

    fn drop_claim(&mut self, name: &TeamKey) {
        let Some(claim) = self.keys.remove(name) else {
            return;
        };
        let outcome = claim.outcome.as_ref().map_or(0, outcome_cost);
        self.bytes = self.bytes.saturating_sub(fixed_cost(name) + outcome);
        if name.key.date().is_none() {
            self.open_undated = self.open_undated.saturating_sub(1);
            self.undated.insert(remains(name));
        }
    }
}

/// What is remembered for good of a key without a date.
fn remains(name: &TeamKey) -> (u64, u64) {
    Sha256::of(format!("{}\n{}", name.team, name.key).as_bytes()).first_128_bits()
}

/// Memory of a claim without its outcome, in bytes; names are held twice.
fn fixed_cost(name: &TeamKey) -> u64 {
    let texts = name.team.as_str().len() + name.key.as_str().len();
    CLAIM_BYTES + texts as u64
}

/// Memory of an outcome, in bytes.
fn outcome_cost(outcome: &ClaimOutcome) -> u64 {
    let ClaimOutcome::Answered { head, body } = outcome else {
        return 0;
    };
    let fields = head.headers.iter();
    let texts: usize = fields.map(|(name, value)| name.len() + value.len()).sum();
    (texts + body.len()) as u64
}

/// An outcome whose answer finds no room: the key ran, and that is still known.
fn without_answer(outcome: &ClaimOutcome) -> ClaimOutcome {
    match outcome {
        ClaimOutcome::Answered { .. } | ClaimOutcome::ResponseLost => ClaimOutcome::ResponseLost,
        ClaimOutcome::NotRun => ClaimOutcome::NotRun,
    }
}

/// Serialises a map whose keys are not text as a list of pairs.
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
