//! Checks a whole document and names every fault with its path and remedy.

use eelgrassdyke_core::config::{Document, Fault, ServiceSpec, TeamSpec};
use eelgrassdyke_core::unit::Permille;

/// Longest deadline that a service may have, in milliseconds.
const TIMEOUT_MS_MAX: u64 = 3_600_000;

/// Every fault of `document`; empty when it is valid.
pub fn validate(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, service) in &document.services {
        check_service(name.as_str(), service, &mut faults);
    }
    for (name, team) in &document.teams {
        check_team(document, name.as_str(), team, &mut faults);
    }
    check_guarantees(document, &mut faults);
    faults
}

fn check_service(name: &str, service: &ServiceSpec, faults: &mut Vec<Fault>) {
    if service.timeout_ms == 0 || service.timeout_ms > TIMEOUT_MS_MAX {
        faults.push(fault(
            format!("services.{name}.timeout_ms"),
            format!("{} is out of range", service.timeout_ms),
            format!("give 1 to {TIMEOUT_MS_MAX} milliseconds"),
        ));
    }
    for (at, route) in service.routes.iter().enumerate() {
        if !route.path.starts_with('/') {
            faults.push(fault(
                format!("services.{name}.routes.{at}.path"),
                format!("{:?} is not a path", route.path),
                "begin it with /".to_owned(),
            ));
        }
    }
}

fn check_team(document: &Document, name: &str, team: &TeamSpec, faults: &mut Vec<Fault>) {
    for (service, share) in &team.shares {
        let path = format!("teams.{name}.shares.{service}");
        if !document.services.contains_key(service) {
            faults.push(fault(
                path.clone(),
                "no such service".to_owned(),
                "create the service or drop the share".to_owned(),
            ));
        }
        if share.cap > Permille::WHOLE || share.guaranteed > share.cap {
            faults.push(fault(
                path,
                format!("guaranteed {} and cap {}", share.guaranteed, share.cap),
                "give guaranteed at most cap and cap at most 1000".to_owned(),
            ));
        }
    }
}

/// The guaranteed parts of one service may not exceed the whole.
fn check_guarantees(document: &Document, faults: &mut Vec<Fault>) {
    for service in document.services.keys() {
        let shares = document
            .teams
            .values()
            .filter_map(|team| team.shares.get(service));
        let sum: u64 = shares.map(|share| share.guaranteed.0).sum();
        if sum > Permille::WHOLE.0 {
            faults.push(fault(
                format!("services.{service}"),
                format!("teams are guaranteed {sum} thousandths together"),
                "lower their guaranteed parts to 1000 together".to_owned(),
            ));
        }
    }
}

fn fault(path: String, problem: String, remedy: String) -> Fault {
    Fault {
        path,
        problem,
        remedy,
    }
}
