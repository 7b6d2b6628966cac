//! Steps that replace processes by another build, and checks of processes of two builds.

use nix::sys::signal::Signal;
use serde_json::Value;

use super::run::Runner;
use super::step::Build;
use crate::errors::{Error, Result};

/// Events of a process that has lost something which another build sent or stored.
const LOSS_EVENTS: [&str; 3] = ["InputRefused", "MessageSkipped", "DiskFailed"];

impl Runner {
    /// Shuts a process down and starts it with a build.
    pub(super) async fn exchange(&mut self, process: &str, build: Build) -> Result<()> {
        let name = &self.resolve_process(process).await?;
        self.check_log(name)?;
        self.deployment.signal(name, Signal::SIGTERM)?;
        self.expect_clean_exit(name).await?;
        let binary = match build {
            Build::First => &self.builds.first,
            Build::Second => &self.builds.second,
        };
        self.deployment.set_binary(binary);
        self.deployment.spawn(name).await?;
        self.wait_ready(name).await
    }

    /// Checks the configuration of all control processes, and the logs of all processes.
    pub(super) async fn check_same_config(&mut self) -> Result<()> {
        let version = self.observations.borrow().accepted_version;
        self.wait_applied(version).await?;
        let mut first: Option<Value> = None;
        for name in self.running_controls() {
            let request = self
                .deployment
                .send_operator_request(&name, "/v1/config", None);
            let (_, body) = request.await?;
            let actual = body["config"]["version"].as_u64();
            if actual != Some(version) || first.as_ref().is_some_and(|first| *first != body) {
                return Err(Error::expectation_failed(
                    format!("{name}: version {version}, the same document as control-1"),
                    body.to_string(),
                ));
            }
            first.get_or_insert(body);
        }
        for name in self.deployment.system_processes() {
            if !self.deployment.is_running(&name) {
                return Err(Error::Invariant(format!("{name} has ended")));
            }
            self.check_log(&name)?;
        }
        Ok(())
    }

    fn check_log(&self, name: &str) -> Result<()> {
        let log = self.deployment.log_text(name)?;
        let is_loss = |line: &&str| LOSS_EVENTS.iter().any(|event| line.contains(event));
        match log.lines().find(is_loss) {
            Some(line) => Err(Error::Invariant(format!("{name}: {line}"))),
            None => Ok(()),
        }
    }
}
