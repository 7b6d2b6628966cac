//! Updates from control: the configuration and the servers.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::Server;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::follow::DirectoryUpdate;

use crate::authenticate::TokenIndex;
use crate::entry::Entry;
use crate::evacuation::Evacuation;
use crate::io::Output;

impl Entry {
    pub(crate) fn apply_config(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.token_index = TokenIndex::new(self.follower.document());
        let detail = format!("version {}", self.follower.version());
        out.push(Output::Event(Event::new(Code::ConfigApplied, detail)));
        let evacuation = Evacuation::new(self.follower.document());
        let version = self.follower.version();
        let changes = self.router.set_evacuation(evacuation, version);
        if !changes.is_empty() {
            out.extend(changes.into_iter().map(Output::Event));
            self.apply_directory(now, None);
        }
    }

    /// Updates the router with the servers that changed, or with all after a directory snapshot.
    pub(crate) fn apply_directory(&mut self, now: Instant, changed: Option<Vec<Server>>) {
        let servers = self.follower.servers();
        let changed = changed.unwrap_or_else(|| {
            let mut all = self.router.server_names();
            all.extend(servers.keys().cloned());
            all
        });
        for server in changed {
            let status = servers.get(&server);
            let data_centre = &self.options.data_centre;
            self.router.update_server(now, &server, status, data_centre);
        }
    }
}

/// The servers that a directory update changes; `None` for a snapshot, which replaces all.
pub(crate) fn changed_servers(directory: &DirectoryUpdate) -> Option<Vec<Server>> {
    directory.base_revision?;
    let mut changed: Vec<Server> = directory.removed.clone();
    for (info, _) in &directory.servers {
        changed.push(info.server.clone());
    }
    for load in &directory.loads {
        changed.push(load.server.clone());
    }
    Some(changed)
}
