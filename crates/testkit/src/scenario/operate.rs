//! Steps that act as operators of control: races, long runs of changes, replaced replicas.

use std::time::Instant;

use eelgrassdyke_core::digest::Sha256;
use futures_util::future::join_all;
use serde_json::{Value, json};

use super::run::{Runner, first_of};
use crate::errors::{Error, Result};
use crate::site::{POLL, Site, WAIT_MAX};

impl Runner {
    /// Submits `count` changes, each made from the version before.
    pub(super) async fn churn(&mut self, count: u64) -> Result<()> {
        for at in 0..count {
            let base = self.ledger.borrow().accepted;
            let team = format!("churn-{}", at % 50);
            let spec = json!({
                "tokens": [], "shares": {"draft": {"weight": at + 1}},
            });
            let change = json!({"patch": {"teams": {team: spec}}});
            let operation = format!("churn-{base}-{at}");
            self.submit(&operation, "control-1", base, change, false)
                .await?;
            let verdict = self.verdicts.get(&operation).cloned().unwrap_or_default();
            if verdict != json!("accepted") {
                return Err(Error::expect(
                    format!("{operation}: accepted"),
                    verdict.to_string(),
                ));
            }
        }
        Ok(())
    }

    /// Puts the teams numbered from `first` up to, not including, `end` with one change.
    pub async fn put_teams(&mut self, first: u64, end: u64) -> Result<()> {
        let mut teams = serde_json::Map::new();
        for at in first..end {
            let spec = json!({
                "tokens": [Sha256::of(format!("many-{at}").as_bytes()).to_string()],
                "shares": {"draft": {"weight": 2, "cap": 500}},
            });
            teams.insert(format!("many-{at}"), spec);
        }
        let base = self.ledger.borrow().accepted;
        let change = json!({"patch": {"teams": teams}});
        self.submit(&format!("many-{first}"), "control-1", base, change, false)
            .await
    }

    /// Submits one change and waits until it is in force in every process.
    pub async fn change_everywhere(&mut self) -> Result<()> {
        self.churn(1).await?;
        let version = self.ledger.borrow().accepted;
        self.wait_in_force(version).await
    }

    /// Submits changes of one team all at once; exactly one may be accepted.
    pub(super) async fn race(&mut self, team: &str, base: u64, count: u64) -> Result<()> {
        let controls = self.controls();
        let mut racers = Vec::new();
        for at in 0..count {
            let spec = json!({"tokens": [], "shares": {"draft": {"weight": at + 1}}});
            let submission = json!({
                "operation": format!("race-{team}-{base}-{at}"), "base": base, "author": "trial",
                "change": {"patch": {"teams": {team: spec}}},
            });
            racers.push(persist(
                &self.site,
                &controls,
                at as usize,
                submission.to_string(),
            ));
        }
        let mut accepted = 0;
        for verdict in join_all(racers).await {
            let verdict = verdict?;
            if let Some(version) = verdict["accepted"]["version"].as_u64() {
                accepted += 1;
                let mut ledger = self.ledger.borrow_mut();
                ledger.accepted = ledger.accepted.max(version);
            }
        }
        match accepted {
            1 => Ok(()),
            _ => Err(Error::Invariant(format!(
                "{accepted} of {count} racing changes accepted"
            ))),
        }
    }

    /// Gives an order until it is taken, or with `wait` until it is done.
    pub(super) async fn order(
        &mut self,
        operation: &str,
        server: &str,
        model: &str,
        wait: bool,
    ) -> Result<()> {
        let order = json!({
            "operation": operation, "server": server, "order": {"load": model},
        });
        let begun = Instant::now();
        loop {
            for name in self.controls() {
                let answer = self
                    .site
                    .operate(&name, "/v1/orders", Some(order.to_string()))
                    .await;
                let Ok((202, body)) = answer else {
                    continue;
                };
                let outcome = &body["order"]["standing"]["outcome"];
                if !wait || *outcome == json!("done") {
                    return Ok(());
                }
                if first_of(outcome).is_some_and(|o| o != "running") {
                    return Err(Error::expect(
                        format!("{operation} done"),
                        outcome.to_string(),
                    ));
                }
            }
            if begun.elapsed() > WAIT_MAX {
                return Err(Error::Wait(format!("{operation} to be taken or done")));
            }
            monoio::time::sleep(POLL).await;
        }
    }

    /// Replaces the replica of a control process that came back without its disk.
    pub(super) async fn replace(&mut self, process: &str) -> Result<()> {
        let address = self.site.address(process)?;
        let own = self.control_log(process).await?;
        let new = own["replica"].clone();
        let leader = self.wait_leader().await?;
        let log = self.control_log(&leader).await?;
        let voters = log["members"]["voters"]
            .as_object()
            .cloned()
            .unwrap_or_default();
        let old = voters
            .iter()
            .find(|(_, at)| **at == json!(address))
            .map(|(id, _)| id.clone());
        let old =
            old.ok_or_else(|| Error::Unknown(format!("voter at {address}; members {voters:?}")))?;
        self.change_members(json!({"add": new})).await?;
        self.change_members(json!({"promote": new})).await?;
        self.change_members(json!({"remove": old})).await
    }

    /// Repeats one change of the members until it is done.
    async fn change_members(&mut self, change: Value) -> Result<()> {
        let begun = Instant::now();
        loop {
            let leader = self.wait_leader().await?;
            let answer = self
                .site
                .operate(&leader, "/v1/members", Some(change.to_string()))
                .await;
            if let Ok((200, _)) = answer {
                return Ok(());
            }
            if begun.elapsed() > WAIT_MAX {
                return Err(Error::Wait(format!("{change}: {answer:?}")));
            }
            monoio::time::sleep(POLL).await;
        }
    }

    async fn control_log(&self, process: &str) -> Result<Value> {
        let (_, body) = self.site.operate(process, "/v1/status", None).await?;
        Ok(body["status"]["log"].clone())
    }

    fn controls(&self) -> Vec<String> {
        let names = self.site.processes().into_iter();
        names
            .filter(|name| name.starts_with("control") && self.site.runs(name))
            .collect()
    }
}

/// Submits through one control process after the other until there is a verdict.
async fn persist(
    site: &Site,
    controls: &[String],
    first: usize,
    submission: String,
) -> Result<Value> {
    let begun = Instant::now();
    let mut at = first;
    loop {
        let name = &controls[at % controls.len().max(1)];
        let answer = site
            .operate(name, "/v1/config", Some(submission.clone()))
            .await;
        if let Ok((_, body)) = answer {
            let verdict = &body["verdict"];
            if first_of(verdict).is_some() {
                return Ok(verdict.clone());
            }
        }
        if begun.elapsed() > WAIT_MAX {
            return Err(Error::Wait(format!("a verdict on {submission}")));
        }
        at += 1;
        monoio::time::sleep(POLL).await;
    }
}
