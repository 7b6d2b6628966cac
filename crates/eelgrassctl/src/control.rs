//! `control`: changes the membership of the control log.

use eelgrassdyke_control::OperatorResponse;
use eelgrassdyke_control::log::MembershipChange;
use eelgrassdyke_core::wire::log::Members;
use eelgrassdyke_node::http::client::Request;

use crate::client::{Client, unexpected_answer};
use crate::command::MemberCommand;
use crate::errors::{Error, ExitStatus, Result};
use crate::{output, table};

/// Submits a membership change and prints the resulting members.
///
/// Control accepts a change that is already in effect, so that a resend is harmless.
pub async fn change_members(
    client: &Client,
    command: MemberCommand,
    json: bool,
) -> Result<ExitStatus> {
    let change = match command {
        MemberCommand::Add { replica } => MembershipChange::Add(replica),
        MemberCommand::Promote { replica } => MembershipChange::Promote(replica),
        MemberCommand::Remove { replica } => MembershipChange::Remove(replica),
    };
    let body = serde_json::to_vec(&change).map_err(Error::invalid_response)?;
    let members = match client
        .submit_to_leader(&Request::post("/v1/members", body))
        .await?
    {
        OperatorResponse::Members(members) => members,
        answer => return Err(unexpected_answer(&answer)),
    };
    match json {
        true => output::print_json(&members)?,
        false => print_members(&members),
    }
    Ok(ExitStatus::Success)
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
