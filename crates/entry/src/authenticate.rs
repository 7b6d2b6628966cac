//! Authentication of callers by bearer token.

use std::collections::BTreeMap;

use eelgrassdyke_core::config::Document;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::Team;

use crate::io::Call;

/// Index of teams by the digest of their tokens.
///
/// The look-up compares digests, so its timing reveals nothing about a token except how its digest
/// compares with the others.
#[derive(Clone, Debug, Default)]
pub struct TokenIndex {
    team_by_digest: BTreeMap<Sha256, Team>,
}

impl TokenIndex {
    /// Indexes the tokens of a configuration.
    pub fn new(document: &Document) -> Self {
        let mut team_by_digest = BTreeMap::new();
        for (team, spec) in &document.teams {
            for digest in &spec.tokens {
                team_by_digest.insert(*digest, team.clone());
            }
        }
        Self { team_by_digest }
    }

    /// The team whose bearer token a call carries.
    pub fn authenticate(&self, call: &Call) -> Option<&Team> {
        let credentials = call.header("authorization")?;
        let (scheme, token) = credentials.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        self.team_by_digest(&Sha256::of(token.trim().as_bytes()))
    }

    /// The team with the token of this digest.
    pub fn team_by_digest(&self, digest: &Sha256) -> Option<&Team> {
        self.team_by_digest.get(digest)
    }
}
