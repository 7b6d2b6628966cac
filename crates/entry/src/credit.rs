//! Admits a team's requests by the credits that agents grant.
//!
//! While anything queues at an agent, each of its answers says how many tokens this entry may have
//! open there for the team. The grants of a service's agents are smoothed into one bound, so that
//! work beyond it is refused here at once. No entry needs to know of another: an agent divides its
//! grant by the entries that it sees. A bound that no agent renews is dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::id::{Service, Team};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::dispatch::Credit;

/// Time after which a bound that was not renewed is dropped.
const LIFETIME: Duration = Duration::from_secs(3);

/// Weight of a new grant in the smoothed one.
const SMOOTHING: f64 = 0.2;

/// Growth of the bound with each answer of an agent where nothing queues.
const GROWTH: f64 = 1.1;

/// One team's tokens on one service.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    open: u64,
    /// Smoothed grant of one server, and until when it holds.
    grant: Option<(f64, Instant)>,
}

/// Credits of the teams that have work open or are held back.
#[derive(Clone, Debug, Default)]
pub struct Credits {
    accounts: BTreeMap<(Team, Service), Account>,
}

impl Credits {
    /// Whether `tokens` more may be opened on a service with `servers` up.
    pub fn admits(
        &self,
        now: Instant,
        account: &(Team, Service),
        servers: usize,
        tokens: u64,
    ) -> bool {
        let Some(account) = self.accounts.get(account) else {
            return true;
        };
        let Some((grant, until)) = account.grant else {
            return true;
        };
        // One request at least is always let through, to hear of new credit.
        if now >= until || account.open == 0 {
            return true;
        }
        (account.open + tokens) as f64 <= grant * servers as f64
    }

    /// Counts tokens of an attempt that starts.
    pub fn open(&mut self, account: &(Team, Service), tokens: u64) {
        self.accounts.entry(account.clone()).or_default().open += tokens;
    }

    /// Counts tokens of an attempt that ended.
    pub fn close(&mut self, now: Instant, account: &(Team, Service), tokens: u64) {
        let Some(held) = self.accounts.get_mut(account) else {
            return;
        };
        held.open = held.open.saturating_sub(tokens);
        let over = held.grant.is_none_or(|(_, until)| now >= until);
        if held.open == 0 && over {
            self.accounts.remove(account);
        }
    }

    /// Takes in what an agent of a service with `servers` up grants.
    pub fn grant(
        &mut self,
        now: Instant,
        account: &(Team, Service),
        servers: usize,
        credit: Credit,
    ) {
        let Some(held) = self.accounts.get_mut(account) else {
            return;
        };
        let present = held.grant.filter(|(_, until)| now < *until);
        held.grant = match (credit.tokens, present) {
            (None, None) => None,
            (None, Some((grant, until))) => Some((grant * GROWTH, until)),
            (Some(tokens), None) => {
                let open = held.open as f64 / servers.max(1) as f64;
                Some((open.max(tokens as f64), now + LIFETIME))
            }
            (Some(tokens), Some((grant, _))) => {
                let grant = grant + (tokens as f64 - grant) * SMOOTHING;
                Some((grant, now + LIFETIME))
            }
        };
    }

    /// Accounts held.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account is held.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
