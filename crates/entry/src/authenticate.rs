//! Finds the team of a bearer token.

use std::collections::BTreeMap;

use eelgrassdyke_core::config::Document;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::Team;

use crate::io::Call;

/// Teams by the digest of their tokens.
///
/// The index is ordered by digest, so a look-up tells nothing about a token but how its digest
/// compares with others.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    teams: BTreeMap<Sha256, Team>,
}

impl Tokens {
    /// Indexes the tokens of a configuration.
    pub fn new(document: &Document) -> Self {
        let mut teams = BTreeMap::new();
        for (team, spec) in &document.teams {
            for digest in &spec.tokens {
                teams.insert(*digest, team.clone());
            }
        }
        Self { teams }
    }

    /// The team whose token a call bears.
    pub fn team(&self, call: &Call) -> Option<&Team> {
        let bearer = call.header("authorization")?;
        let (scheme, token) = bearer.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        self.holder(&Sha256::of(token.trim().as_bytes()))
    }

    /// The team that holds the token with this digest.
    pub fn holder(&self, digest: &Sha256) -> Option<&Team> {
        self.teams.get(digest)
    }
}
