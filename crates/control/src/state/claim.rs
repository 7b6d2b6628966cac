//! Claims on idempotency keys, and the outcomes of what ran under them.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdyke_core::data;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::Request;
use eelgrassdyke_core::time::Wall;
use eelgrassdyke_core::wire::claim::{Ask, Finding, Holder, Name, Outcome, Step};

data! {
    /// Every key whose window is open.
    #[derive(Default)]
    #[serde(default)]
    pub struct Claims {
        #[serde(with = "pairs")]
        keys: BTreeMap<Name, Claim>,
        ends: BTreeSet<(Wall, Name)>,
    }

    /// The present claim on one key.
    struct Claim {
        number: u32,
        request: Request,
        call: Sha256,
        holder: Holder,
        outcome: Option<Outcome>,
        ends: Wall,
    }
}

impl Claims {
    /// Keys whose window is open.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key's window is open.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Forgets the keys whose window has closed.
    pub fn forget(&mut self, clock: Wall) {
        while let Some((ends, name)) = self.ends.first().cloned() {
            if ends > clock {
                return;
            }
            self.ends.remove(&(ends, name.clone()));
            self.keys.remove(&name);
        }
    }

    /// Applies what an entry asks of a key.
    pub fn apply(&mut self, clock: Wall, ask: &Ask) -> Finding {
        match &ask.step {
            Step::Claim {
                call,
                holder,
                replaces,
                window_ms,
            } => {
                let ends = Wall(clock.0.saturating_add(*window_ms));
                self.claim(ask, call, holder, *replaces, ends)
            }
            Step::Settle { claim, outcome } => self.settle(&ask.name, *claim, outcome),
        }
    }

    fn claim(
        &mut self,
        ask: &Ask,
        call: &Sha256,
        holder: &Holder,
        replaces: Option<u32>,
        ends: Wall,
    ) -> Finding {
        let Some(held) = self.keys.get_mut(&ask.name) else {
            self.ends.insert((ends, ask.name.clone()));
            let claim = Claim {
                number: 1,
                request: ask.request.clone(),
                call: *call,
                holder: holder.clone(),
                outcome: None,
                ends,
            };
            self.keys.insert(ask.name.clone(), claim);
            return Finding::Granted {
                claim: 1,
                holder: holder.clone(),
            };
        };
        if held.call != *call {
            return Finding::Other;
        }
        match &held.outcome {
            Some(Outcome::NotRun) => {}
            Some(outcome) => return Finding::Settled(outcome.clone()),
            None if replaces == Some(held.number) => {}
            // A resend of the question that was granted gets the same answer.
            None if held.request == ask.request && held.holder == *holder => {
                return Finding::Granted {
                    claim: held.number,
                    holder: holder.clone(),
                };
            }
            None => {
                let (claim, holder) = (held.number, held.holder.clone());
                return Finding::Held { claim, holder };
            }
        }
        held.number += 1;
        held.request = ask.request.clone();
        held.holder = holder.clone();
        held.outcome = None;
        Finding::Granted {
            claim: held.number,
            holder: holder.clone(),
        }
    }

    fn settle(&mut self, name: &Name, claim: u32, outcome: &Outcome) -> Finding {
        let Some(held) = self.keys.get_mut(name) else {
            return Finding::Expired;
        };
        if held.number == claim && held.outcome.is_none() {
            held.outcome = Some(outcome.clone());
        }
        match &held.outcome {
            Some(outcome) => Finding::Settled(outcome.clone()),
            None => Finding::Held {
                claim: held.number,
                holder: held.holder.clone(),
            },
        }
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
