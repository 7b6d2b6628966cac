//! Admission of a team's requests by the credits that agents grant.
//!
//! While requests queue at an agent, each of its responses grants the entry a number of tokens that
//! the team may have in flight there. The grants of the agents of a service are smoothed into one
//! limit, and requests beyond it are refused at the entry. Entries need no coordination: an agent
//! divides its grant by the number of entries that it sees. A limit that no agent renews expires.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::id::{Service, Team};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::dispatch::Credit;

/// Time after which a grant that was not renewed expires.
const GRANT_TTL: Duration = Duration::from_secs(3);

/// Weight of a new grant in the smoothed grant.
const GRANT_SMOOTHING: f64 = 0.2;

/// Growth factor of the grant per response of an agent without queue.
const GRANT_GROWTH: f64 = 1.1;

/// Tokens in flight and grant of one team on one service.
#[derive(Clone, Copy, Debug, Default)]
struct TeamCredit {
    /// Expected tokens of the attempts in flight.
    open_tokens: u64,
    /// Smoothed grant per server, and when it expires.
    grant: Option<(f64, Instant)>,
}

/// Credits of the teams with attempts in flight or an unexpired grant.
#[derive(Clone, Debug, Default)]
pub struct Credits {
    accounts: BTreeMap<(Team, Service), TeamCredit>,
}

impl Credits {
    /// Whether an account may put `tokens` more in flight on a service with `server_count` servers
    /// up.
    pub fn admits(
        &self,
        now: Instant,
        account: &(Team, Service),
        server_count: usize,
        tokens: u64,
    ) -> bool {
        let Some(credit_state) = self.accounts.get(account) else {
            return true;
        };
        let Some((grant, expires_at)) = credit_state.grant else {
            return true;
        };
        // One request is always admitted, because only responses bring new grants.
        if now >= expires_at || credit_state.open_tokens == 0 {
            return true;
        }
        (credit_state.open_tokens + tokens) as f64 <= grant * server_count as f64
    }

    /// Adds the tokens of an attempt that starts.
    pub fn reserve(&mut self, account: &(Team, Service), tokens: u64) {
        self.accounts
            .entry(account.clone())
            .or_default()
            .open_tokens += tokens;
    }

    /// Subtracts the tokens of an attempt that ended.
    pub fn release(&mut self, now: Instant, account: &(Team, Service), tokens: u64) {
        let Some(credit_state) = self.accounts.get_mut(account) else {
            return;
        };
        credit_state.open_tokens = credit_state.open_tokens.saturating_sub(tokens);
        let expired = credit_state
            .grant
            .is_none_or(|(_, expires_at)| now >= expires_at);
        if credit_state.open_tokens == 0 && expired {
            self.accounts.remove(account);
        }
    }

    /// Applies the grant of one agent of a service with `server_count` servers up.
    pub fn apply_grant(
        &mut self,
        now: Instant,
        account: &(Team, Service),
        server_count: usize,
        credit: Credit,
    ) {
        let Some(credit_state) = self.accounts.get_mut(account) else {
            return;
        };
        let current = credit_state
            .grant
            .filter(|(_, expires_at)| now < *expires_at);
        credit_state.grant = match (credit.tokens, current) {
            (None, None) => None,
            (None, Some((grant, expires_at))) => Some((grant * GRANT_GROWTH, expires_at)),
            (Some(tokens), None) => {
                let open_per_server = credit_state.open_tokens as f64 / server_count.max(1) as f64;
                Some((open_per_server.max(tokens as f64), now + GRANT_TTL))
            }
            (Some(tokens), Some((grant, _))) => {
                let grant = grant + (tokens as f64 - grant) * GRANT_SMOOTHING;
                Some((grant, now + GRANT_TTL))
            }
        };
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
