//! Finds the mount of a call and the team that makes it.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use eelgrassdyke_core::config::{Document, MountSpec};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::Team;

use crate::authenticate::Tokens;

/// The mounts and teams of one configuration, indexed.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Mounts by prefix, by host.
    hosts: HashMap<String, BTreeMap<String, Arc<MountSpec>>>,
    tokens: Rc<Tokens>,
    priorities: BTreeMap<Team, u8>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(document: &Document) -> Self {
        let mut hosts: HashMap<String, BTreeMap<String, Arc<MountSpec>>> = HashMap::new();
        for mount in document.mounts.values() {
            let prefixes = hosts.entry(mount.host.to_ascii_lowercase()).or_default();
            prefixes.insert(mount.prefix.clone(), Arc::new(mount.clone()));
        }
        let teams = document.teams.iter();
        let priorities = teams.filter_map(|(team, spec)| Some((team.clone(), spec.priority?)));
        Self {
            hosts,
            tokens: Rc::new(Tokens::new(document)),
            priorities: priorities.collect(),
        }
    }

    /// The mount with the longest prefix of `path` on `host`.
    pub fn mount(&self, host: &str, path: &str) -> Option<Arc<MountSpec>> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
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

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.tokens.holder(&Sha256::of(key.as_bytes()))
    }

    /// Rank of a team's requests on a mount, 0 first.
    pub fn priority(&self, mount: &MountSpec, team: Option<&Team>) -> u8 {
        let own = team.and_then(|team| self.priorities.get(team));
        own.copied().unwrap_or(mount.priority)
    }
}
