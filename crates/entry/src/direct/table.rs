//! Look-up of the mount of a call and of the team of an API key.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use eelgrassdyke_core::config::{Document, MountSpec};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::Team;

use crate::authenticate::TokenIndex;

/// Index of the mounts and teams of one configuration.
#[derive(Clone, Debug, Default)]
pub struct MountTable {
    /// Mounts by host, then by path prefix.
    mounts_by_host: HashMap<String, BTreeMap<String, Arc<MountSpec>>>,
    tokens: Rc<TokenIndex>,
    priority_by_team: BTreeMap<Team, u8>,
}

impl MountTable {
    /// Indexes a configuration.
    pub fn new(document: &Document) -> Self {
        let mut mounts_by_host: HashMap<String, BTreeMap<String, Arc<MountSpec>>> = HashMap::new();
        for mount in document.mounts.values() {
            let prefixes = mounts_by_host
                .entry(mount.host.to_ascii_lowercase())
                .or_default();
            prefixes.insert(mount.prefix.clone(), Arc::new(mount.clone()));
        }
        let teams = document.teams.iter();
        let priority_by_team =
            teams.filter_map(|(team, spec)| Some((team.clone(), spec.priority?)));
        Self {
            mounts_by_host,
            tokens: Rc::new(TokenIndex::new(document)),
            priority_by_team: priority_by_team.collect(),
        }
    }

    /// The mount with the longest prefix of `path` on `host`.
    pub fn find_mount(&self, host: &str, path: &str) -> Option<Arc<MountSpec>> {
        let prefixes = match self.mounts_by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.mounts_by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(mount) = prefixes.get(&path[..=slash]) {
                return Some(mount.clone());
            }
            end = slash;
        }
        None
    }

    /// The team of an API key.
    pub fn team_by_key(&self, api_key: &str) -> Option<&Team> {
        self.tokens.team_by_digest(&Sha256::of(api_key.as_bytes()))
    }

    /// Priority of a team's requests on a mount; 0 is served first.
    pub fn priority(&self, mount: &MountSpec, team: Option<&Team>) -> u8 {
        let team_priority = team.and_then(|team| self.priority_by_team.get(team));
        team_priority.copied().unwrap_or(mount.priority)
    }
}
