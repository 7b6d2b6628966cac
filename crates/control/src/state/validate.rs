//! Validation of a whole configuration document: each fault has a path, a problem and a remedy.

use std::collections::BTreeMap;

use eelgrassdyke_core::config::{
    DataCentreSpec, Document, DocumentFault, GroupSpec, MountSpec, ServiceKind, ServiceSpec,
    TeamSpec,
};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{DataCentre, Group, Mount, Rank, Server, Service, Team};
use eelgrassdyke_core::unit::{Bytes, Permille};

/// Longest timeout that a service or mount may have.
const TIMEOUT_MS_MAX: u64 = 3_600_000;

/// Largest request body that a service may accept.
const BODY_MAX: Bytes = Bytes(32 << 20);

/// Most faults that are listed; the others are only counted.
const FAULTS_MAX: usize = 100;

/// The faults of `document`, empty if it is valid; faults beyond the first hundred are counted in one
/// entry.
pub fn validate(document: &Document) -> Vec<DocumentFault> {
    let mut validator = Validator {
        document,
        faults: Vec::new(),
        unlisted: 0,
        token_owners: BTreeMap::new(),
        guaranteed: BTreeMap::new(),
        server_groups: BTreeMap::new(),
        mount_locations: BTreeMap::new(),
    };
    for (name, service) in &document.services {
        validator.service(name, service);
    }
    for (name, team) in &document.teams {
        validator.team(name, team);
    }
    validator.guaranteed_shares();
    for (name, group) in &document.groups {
        validator.group(name, group);
    }
    for (name, mount) in &document.mounts {
        validator.mount(name, mount);
    }
    for (name, data_centre) in &document.data_centres {
        validator.data_centre(name, *data_centre);
    }
    validator.finish()
}

/// The fault of a document that is to replace `current` and names other evacuated data centres; one
/// that names none leaves those of `current` as they are.
pub fn evacuation_fault(current: &Document, replacement: &Document) -> Option<DocumentFault> {
    let wanted = &replacement.data_centres;
    (!wanted.is_empty() && *wanted != current.data_centres).then(|| DocumentFault {
        path: "data_centres".to_owned(),
        problem: "a whole document can't change which data centres are evacuated".to_owned(),
        remedy: "leave the section out, and use `eelgrassctl evacuate` or `restore`".to_owned(),
    })
}

/// A validation in progress.
struct Validator<'a> {
    document: &'a Document,
    faults: Vec<DocumentFault>,
    /// Number of faults beyond [`FAULTS_MAX`].
    unlisted: usize,
    token_owners: BTreeMap<Sha256, &'a Team>,
    /// Sum of the guaranteed shares of each service, in thousandths.
    guaranteed: BTreeMap<&'a Service, u64>,
    server_groups: BTreeMap<&'a Server, &'a Group>,
    /// Mounts by host and prefix.
    mount_locations: BTreeMap<(&'a str, &'a str), &'a Mount>,
}

impl<'a> Validator<'a> {
    fn service(&mut self, name: &Service, service: &ServiceSpec) {
        let at = |field: &str| format!("services.{name}.{field}");
        if service.kind == ServiceKind::Plain && name.as_str().contains('/') {
            self.add(
                format!("services.{name}"),
                "the name of a plain service is the first segment of the path".to_owned(),
                "use a name without /",
            );
        }
        if service.timeout_ms == 0 || service.timeout_ms > TIMEOUT_MS_MAX {
            self.add(
                at("timeout_ms"),
                format!("{} is out of range", service.timeout_ms),
                &format!("give 1 to {TIMEOUT_MS_MAX} milliseconds"),
            );
        }
        if service.body_max > BODY_MAX {
            self.add(
                at("body_max"),
                format!("{} bytes exceed the maximum", service.body_max),
                &format!("give at most {BODY_MAX} bytes"),
            );
        }
        if service.retry_budget > Permille::ONE {
            self.add(
                at("retry_budget"),
                format!(
                    "{} thousandths exceed one retry per request",
                    service.retry_budget
                ),
                "give at most 1000",
            );
        }
        for (position, route) in service.routes.iter().enumerate() {
            if !route.path.starts_with('/') {
                self.add(
                    at(&format!("routes.{position}.path")),
                    format!("{:?} is not a path", route.path),
                    "start it with /",
                );
            }
        }
    }

    fn team(&mut self, name: &'a Team, team: &'a TeamSpec) {
        for (position, token) in team.tokens.iter().enumerate() {
            if let Some(owner) = self.token_owners.insert(*token, name) {
                self.add(
                    format!("teams.{name}.tokens.{position}"),
                    format!("team {owner} has the same token"),
                    "use each token once, in one team",
                );
            }
        }
        for (service, share) in &team.shares {
            let path = format!("teams.{name}.shares.{service}");
            if !self.document.services.contains_key(service) {
                self.add(
                    path.clone(),
                    "no such service".to_owned(),
                    "create the service or remove the share",
                );
            }
            if share.cap > Permille::ONE || share.guaranteed > share.cap {
                self.add(
                    path.clone(),
                    format!(
                        "guaranteed {} and cap {} are out of range",
                        share.guaranteed, share.cap
                    ),
                    "set guaranteed to at most cap, and cap to at most 1000",
                );
            }
            if share.weight == 0 && share.guaranteed == Permille(0) && share.cap > Permille(0) {
                self.add(
                    path,
                    "neither a guaranteed share nor a weight".to_owned(),
                    "set weight to at least 1, or cap to 0 to exclude the team",
                );
            }
            *self.guaranteed.entry(service).or_default() += share.guaranteed.0;
        }
    }

    /// The guaranteed shares of one service may not add up to more than 1000 thousandths.
    fn guaranteed_shares(&mut self) {
        for (service, sum) in std::mem::take(&mut self.guaranteed) {
            if sum <= Permille::ONE.0 {
                continue;
            }
            self.add(
                format!("services.{service}"),
                format!("the guaranteed shares of all teams add up to {sum} thousandths"),
                "reduce them to a total of at most 1000",
            );
        }
    }

    fn group(&mut self, name: &'a Group, group: &'a GroupSpec) {
        let at = |field: &str| format!("groups.{name}.{field}");
        let service = self.document.services.get(&group.service);
        if service.is_none_or(|service| service.kind != ServiceKind::Drafting) {
            self.add(
                at("service"),
                format!("{} is not a drafting service", group.service),
                "use a service of kind drafting",
            );
        }
        let counts = [
            ("ranks", group.ranks.len() as u64),
            ("experts", group.experts.into()),
            ("layers", group.layers.into()),
            ("slots", group.slots.into()),
            ("expert_bytes", group.expert_bytes.0),
            ("store_rate", group.store_rate.0),
        ];
        for (field, count) in counts {
            if count == 0 {
                self.add(at(field), "must not be zero".to_owned(), "give at least 1");
            }
        }
        let dense = (0..)
            .map(Rank)
            .zip(group.ranks.keys())
            .all(|(a, b)| a == *b);
        if !dense {
            self.add(
                at("ranks"),
                "the numbers of the ranks have gaps".to_owned(),
                "number them from 0 without gaps",
            );
        }
        let total_slots = group.ranks.len() as u64 * u64::from(group.slots);
        if total_slots < group.experts.into() {
            self.add(
                at("slots"),
                format!("{total_slots} slots for {} experts", group.experts),
                "increase ranks or slots until ranks times slots is at least the number of experts",
            );
        }
        if group.skew_weight == 0 && group.move_weight == 0 {
            self.add(
                at("skew_weight"),
                "skew_weight and move_weight are both 0".to_owned(),
                "set skew_weight or move_weight to at least 1",
            );
        }
        for (rank, server) in &group.ranks {
            if let Some(other) = self.server_groups.insert(server, name) {
                self.add(
                    at(&format!("ranks.{rank}")),
                    format!("server {server} already has a rank in group {other}"),
                    "use a different server for each rank",
                );
            }
        }
    }

    fn mount(&mut self, name: &'a Mount, mount: &'a MountSpec) {
        let at = |field: &str| format!("mounts.{name}.{field}");
        if !mount.prefix.starts_with('/') || !mount.prefix.ends_with('/') {
            self.add(
                at("prefix"),
                format!("{:?} is not a prefix of whole segments", mount.prefix),
                "begin and end it with /",
            );
        }
        let location = (mount.host.as_str(), mount.prefix.as_str());
        if let Some(other) = self.mount_locations.insert(location, name) {
            self.add(
                at("prefix"),
                format!("mount {other} has the same host and prefix"),
                "give each mount a host and prefix of its own",
            );
        }
        if mount.timeout_ms == 0 || mount.timeout_ms > TIMEOUT_MS_MAX {
            self.add(
                at("timeout_ms"),
                format!("{} is out of range", mount.timeout_ms),
                &format!("give 1 to {TIMEOUT_MS_MAX} milliseconds"),
            );
        }
        if mount.split.iter().all(|part| part.weight == 0) {
            self.add(
                at("split"),
                "the weights add up to 0".to_owned(),
                "give one service a weight of at least 1",
            );
        }
        for part in &mount.split {
            if !self.document.services.contains_key(&part.service) {
                self.add(
                    at("split"),
                    format!("no service {}", part.service),
                    "create the service or leave it out",
                );
            }
        }
    }

    fn data_centre(&mut self, name: &DataCentre, data_centre: DataCentreSpec) {
        if !data_centre.evacuated {
            self.add(
                format!("data_centres.{name}.evacuated"),
                "a data centre that is not evacuated has no entry".to_owned(),
                "remove the entry",
            );
        }
    }

    fn add(&mut self, path: String, problem: String, remedy: &str) {
        if self.faults.len() >= FAULTS_MAX {
            self.unlisted += 1;
            return;
        }
        self.faults.push(DocumentFault {
            path,
            problem,
            remedy: remedy.to_owned(),
        });
    }

    fn finish(mut self) -> Vec<DocumentFault> {
        if self.unlisted == 0 {
            return self.faults;
        }
        self.faults.push(DocumentFault {
            path: "document".to_owned(),
            problem: format!("{} more faults", self.unlisted),
            remedy: "correct the listed faults, then submit again".to_owned(),
        });
        self.faults
    }
}
