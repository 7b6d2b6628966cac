//! `control`: the members of the control log.

use eelgrassdyke_control::OperatorResponse;
use eelgrassdyke_control::log::MembershipChange;
use eelgrassdyke_core::wire::log::Members;
use eelgrassdyke_node::http::client::Request;

use crate::client::{Client, unexpected};
use crate::command::Control;
use crate::errors::{Code, Error, Result};
use crate::{output, table};

/// Changes the members and prints what they are then.
///
/// Control takes a change that has been made already as done, so that a resend is harmless.
pub async fn change(client: &Client, change: Control, json: bool) -> Result<Code> {
    let change = match change {
        Control::Add { replica } => MembershipChange::Add(replica),
        Control::Promote { replica } => MembershipChange::Promote(replica),
        Control::Remove { replica } => MembershipChange::Remove(replica),
    };
    let body = serde_json::to_vec(&change).map_err(Error::unreadable)?;
    let members = match client.decide(&Request::post("/v1/members", body)).await? {
        OperatorResponse::Members(members) => members,
        answer => return Err(unexpected(&answer)),
    };
    match json {
        true => output::json(&members)?,
        false => print_members(&members),
    }
    Ok(Code::Done)
}

fn print_members(members: &Members) {
    let voters = members.voters.iter().map(|member| ("voter", member));
    let learners = members.learners.iter().map(|member| ("learner", member));
    let rows = voters.chain(learners).map(|(role, (replica, address))| {
        vec![replica.to_string(), address.to_string(), role.to_owned()]
    });
    let columns = [("replica", false), ("address", false), ("member", false)];
    table::print(&columns, rows);
}
