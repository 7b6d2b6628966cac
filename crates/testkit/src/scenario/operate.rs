//! Steps that send operators' requests to control: sequences and races of configuration changes,
//! orders, and replacement of replicas.

use std::time::Instant;

use eelgrassdyke_core::digest::Sha256;
use futures_util::future::join_all;
use serde_json::{Value, json};

use super::run::{Runner, variant_name};
use crate::errors::{Error, Result};
use crate::site::{CONDITION_TIMEOUT, Deployment, POLL_INTERVAL};

impl Runner {
    /// Submits `count` changes, each based on the previous version.
    pub(super) async fn submit_sequence(&mut self, count: u64) -> Result<()> {
        for number in 0..count {
            let base = self.observations.borrow().accepted_version;
            let team = format!("churn-{}", number % 50);
            let spec = json!({
                "tokens": [], "shares": {"draft": {"weight": number + 1}},
            });
            let change = json!({"patch": {"teams": {team: spec}}});
            let operation = format!("churn-{base}-{number}");
            self.submit(&operation, "control-1", base, change, false)
                .await?;
            let verdict = self.verdicts.get(&operation).cloned().unwrap_or_default();
            if verdict != json!("accepted") {
                return Err(Error::expectation_failed(
                    format!("{operation}: accepted"),
                    verdict.to_string(),
                ));
            }
        }
        Ok(())
    }

    /// Writes the teams numbered `first..end` with one change.
    pub async fn put_teams(&mut self, first: u64, end: u64) -> Result<()> {
        let mut teams = serde_json::Map::new();
        for number in first..end {
            let spec = json!({
                "tokens": [Sha256::of(format!("many-{number}").as_bytes()).to_string()],
                "shares": {"draft": {"weight": 2, "cap": 500}},
            });
            teams.insert(format!("many-{number}"), spec);
        }
        let base = self.observations.borrow().accepted_version;
        let change = json!({"patch": {"teams": teams}});
        self.submit(&format!("many-{first}"), "control-1", base, change, false)
            .await
    }

    /// Submits one change and waits until every running process has applied it.
    pub async fn submit_and_wait_applied(&mut self) -> Result<()> {
        self.submit_sequence(1).await?;
        let version = self.observations.borrow().accepted_version;
        self.wait_applied(version).await
    }

    /// Submits concurrent changes of one team; exactly one must be accepted.
    pub(super) async fn race_changes(&mut self, team: &str, base: u64, count: u64) -> Result<()> {
        let controls = self.running_controls();
        let mut submissions = Vec::new();
        for number in 0..count {
            let spec = json!({"tokens": [], "shares": {"draft": {"weight": number + 1}}});
            let submission = json!({
                "operation": format!("race-{team}-{base}-{number}"), "base": base, "author": "trial",
                "change": {"patch": {"teams": {team: spec}}},
            });
            submissions.push(submit_until_verdict(
                &self.deployment,
                &controls,
                number as usize,
                submission.to_string(),
            ));
        }
        let mut accepted_count = 0;
        for verdict in join_all(submissions).await {
            let verdict = verdict?;
            if let Some(version) = verdict["accepted"]["version"].as_u64() {
                accepted_count += 1;
                let mut observations = self.observations.borrow_mut();
                observations.accepted_version = observations.accepted_version.max(version);
            }
        }
        match accepted_count {
            1 => Ok(()),
            _ => Err(Error::Invariant(format!(
                "{accepted_count} of {count} concurrent changes were accepted"
            ))),
        }
    }

    /// Submits an order repeatedly until control accepts it, or with `wait` until it is done.
    pub(super) async fn submit_order(
        &mut self,
        operation: &str,
        server: &str,
        model: &str,
        wait: bool,
    ) -> Result<()> {
        let order = json!({
            "operation": operation, "server": server, "order": {"load": model},
        });
        let started = Instant::now();
        loop {
            for name in self.running_controls() {
                let response = self
                    .deployment
                    .send_operator_request(&name, "/v1/orders", Some(order.to_string()))
                    .await;
                let Ok((202, body)) = response else {
                    continue;
                };
                let outcome = &body["order"]["standing"]["outcome"];
                if !wait || *outcome == json!("done") {
                    return Ok(());
                }
                if variant_name(outcome).is_some_and(|name| name != "running") {
                    return Err(Error::expectation_failed(
                        format!("{operation} done"),
                        outcome.to_string(),
                    ));
                }
            }
            if started.elapsed() > CONDITION_TIMEOUT {
                return Err(Error::Timeout(format!(
                    "{operation} to be accepted or done"
                )));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Replaces the replica of a control process that restarted without its data.
    pub(super) async fn replace_replica(&mut self, process: &str) -> Result<()> {
        let address = self.deployment.control_address(process)?;
        let log = self.log_status(process).await?;
        let new_replica = log["replica"].clone();
        let leader = self.wait_leader().await?;
        let log = self.log_status(&leader).await?;
        let voters = log["members"]["voters"]
            .as_object()
            .cloned()
            .unwrap_or_default();
        let old_replica = voters
            .iter()
            .find(|(_, voter_address)| **voter_address == json!(address))
            .map(|(id, _)| id.clone());
        let old_replica = old_replica
            .ok_or_else(|| Error::Unknown(format!("voter at {address}; members {voters:?}")))?;
        self.change_members(json!({"add": new_replica})).await?;
        self.change_members(json!({"promote": new_replica})).await?;
        self.change_members(json!({"remove": old_replica})).await
    }

    /// Submits a membership change to the leader repeatedly until it succeeds.
    async fn change_members(&mut self, change: Value) -> Result<()> {
        let started = Instant::now();
        loop {
            let leader = self.wait_leader().await?;
            let response = self
                .deployment
                .send_operator_request(&leader, "/v1/members", Some(change.to_string()))
                .await;
            if let Ok((200, _)) = response {
                return Ok(());
            }
            if started.elapsed() > CONDITION_TIMEOUT {
                return Err(Error::Timeout(format!(
                    "the membership change {change}; last response: {response:?}"
                )));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Status of the replicated log that a control process reports.
    async fn log_status(&self, process: &str) -> Result<Value> {
        let (_, body) = self
            .deployment
            .send_operator_request(process, "/v1/status", None)
            .await?;
        Ok(body["status"]["log"].clone())
    }

    pub(super) fn running_controls(&self) -> Vec<String> {
        let names = self.deployment.system_processes().into_iter();
        names
            .filter(|name| name.starts_with("control") && self.deployment.is_running(name))
            .collect()
    }
}

/// Submits a change to the control processes in turn, from `first` on, until there is a verdict.
async fn submit_until_verdict(
    deployment: &Deployment,
    controls: &[String],
    first: usize,
    submission: String,
) -> Result<Value> {
    let started = Instant::now();
    let mut index = first;
    loop {
        let name = &controls[index % controls.len().max(1)];
        let response = deployment
            .send_operator_request(name, "/v1/config", Some(submission.clone()))
            .await;
        if let Ok((_, body)) = response {
            let verdict = &body["verdict"];
            if variant_name(verdict).is_some() {
                return Ok(verdict.clone());
            }
        }
        if started.elapsed() > CONDITION_TIMEOUT {
            return Err(Error::Timeout(format!("a verdict on {submission}")));
        }
        index += 1;
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
