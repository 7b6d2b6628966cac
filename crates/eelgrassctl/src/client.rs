//! Asks control processes.
//!
//! A change goes to whichever process leads: a process that doesn't lead names the leader, and one
//! that can't be reached or doesn't know is followed by the next, always with the same submission,
//! which control applies once.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::{OperatorResponse, Status};
use eelgrassdyke_core::config::Document;
use eelgrassdyke_core::id::Version;
use eelgrassdyke_node::http::client::Request;
use eelgrassdyke_node::http::pool::Pool;
use futures_util::future::join_all;
use http::{HeaderValue, StatusCode, header};
use monoio::time::Instant;
use rand::RngExt as _;

use crate::command::Connection;
use crate::errors::{Error, Result};
use crate::token;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Shortest pause between two tries; up to twice as long, at random.
const PAUSE_MS: u64 = 100;

/// What control processes say of themselves, by the address that was asked.
pub type Statuses = Vec<(SocketAddr, Status)>;

/// Why control processes did not answer, by the address that was asked.
pub type Problems = Vec<(SocketAddr, Error)>;

/// A way to the control processes.
pub struct Client {
    control: Vec<SocketAddr>,
    bearer: HeaderValue,
    pool: Pool,
    timeout: Duration,
}

/// The configuration as one control process holds it.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// The document.
    pub document: Document,
    /// Whether the process leads and reaches a quorum, so that nothing newer was accepted.
    pub fresh: bool,
}

impl Client {
    /// A client for the control processes that the command line names.
    pub fn new(connection: &Connection) -> Result<Self> {
        if connection.control.is_empty() {
            let problem =
                "give the control processes: --control ADDRESS,... or EELGRASSCTL_CONTROL";
            return Err(Error::Usage(problem.to_owned()));
        }
        let Some(file) = &connection.token_file else {
            let problem = "give the operator's token: --token-file FILE or EELGRASSCTL_TOKEN_FILE";
            return Err(Error::Usage(problem.to_owned()));
        };
        let bearer = format!("Bearer {}", token::read(file)?);
        let mut bearer = HeaderValue::from_str(&bearer)
            .map_err(|error| Error::content(file, error.to_string()))?;
        bearer.set_sensitive(true);
        Ok(Self {
            control: connection.control.clone(),
            bearer,
            pool: Pool::default(),
            timeout: Duration::from_secs(connection.timeout),
        })
    }

    /// The control processes that the command line names.
    pub fn control(&self) -> &[SocketAddr] {
        &self.control
    }

    /// When a command that starts now has to be over.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }

    /// Makes one call to one process.
    pub async fn call(&self, to: SocketAddr, mut request: Request) -> Result<(StatusCode, String)> {
        request
            .headers
            .insert(header::AUTHORIZATION, self.bearer.clone());
        let limit = self.timeout.min(ANSWER_TIMEOUT);
        let (status, body) = match self.pool.call(to, request, limit).await {
            Ok(answer) => answer,
            Err(error) => return Err(Error::Unreachable(format!("{to}: {error}"))),
        };
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Makes one call to one process, which answers with JSON.
    pub async fn read<T>(&self, to: SocketAddr, request: Request) -> Result<T>
    where
        T: serde::de::DeserializeOwned,
    {
        let (status, body) = self.call(to, request).await?;
        match serde_json::from_str(&body) {
            Ok(value) => Ok(value),
            Err(_) if !status.is_success() => Err(refused(to, status, &body)),
            Err(error) => Err(Error::unreadable(error)),
        }
    }

    /// Asks one control process.
    pub async fn ask(&self, to: SocketAddr, path: &str) -> Result<OperatorResponse> {
        self.read(to, Request::get(path)).await
    }

    /// Asks every control process at once.
    pub async fn ask_all(&self, path: &str) -> Vec<(SocketAddr, Result<OperatorResponse>)> {
        let calls = self.control.iter().map(|to| self.ask(*to, path));
        let answers = join_all(calls).await;
        self.control.iter().copied().zip(answers).collect()
    }

    /// The status of every control process that answers, and why the others did not.
    pub async fn statuses(&self) -> (Statuses, Problems) {
        let (mut statuses, mut errors) = (Vec::new(), Vec::new());
        for (address, answer) in self.ask_all("/v1/status").await {
            match answer {
                Ok(OperatorResponse::Status(status)) => statuses.push((address, status)),
                Ok(answer) => errors.push((address, unexpected(&answer))),
                Err(error) => errors.push((address, error)),
            }
        }
        (statuses, errors)
    }

    /// The status of every control process that answers; an error when none does.
    pub async fn some_statuses(&self) -> Result<(Statuses, Problems)> {
        let (statuses, mut errors) = self.statuses().await;
        if !statuses.is_empty() {
            return Ok((statuses, errors));
        }
        let refusal = errors
            .iter()
            .position(|(_, error)| matches!(error, Error::Refused { .. }));
        Err(errors.swap_remove(refusal.unwrap_or(0)).1)
    }

    /// Puts a change or question to the leader, resending it until it is decided or time is up.
    pub async fn decide(&self, request: &Request) -> Result<OperatorResponse> {
        let deadline = self.deadline();
        let mut turn = 0;
        let mut leader = None;
        let mut last;
        loop {
            let to = match leader.take() {
                Some(address) => address,
                None => {
                    turn += 1;
                    self.control[(turn - 1) % self.control.len()]
                }
            };
            match self.read(to, request.clone()).await {
                Ok(OperatorResponse::NotLeader { leader: named }) => {
                    last = Error::Unreachable(format!("{to} does not lead"));
                    leader = named.filter(|address| *address != to);
                }
                Ok(OperatorResponse::OutcomeUnknown) => {
                    last = Error::Unreachable(format!("{to} does not know what became of it"));
                }
                Ok(OperatorResponse::Refused { problem, remedy }) => {
                    return Err(Error::Refused {
                        process: to.to_string(),
                        problem: format!("{problem}; {remedy}"),
                    });
                }
                Ok(answer) => return Ok(answer),
                Err(error @ Error::Unreachable(_)) => last = error,
                Err(error) => return Err(error),
            }
            if Instant::now() >= deadline {
                return Err(last);
            }
            pause().await;
        }
    }

    /// The control process that leads and reaches a quorum, as far as any answers.
    async fn leader(&self) -> Option<SocketAddr> {
        let (statuses, _) = self.statuses().await;
        let leads = |(_, status): &&(SocketAddr, Status)| status.is_leader && status.is_ready;
        let newest = statuses
            .iter()
            .filter(leads)
            .max_by_key(|(_, status)| status.term);
        newest.map(|(address, _)| *address)
    }

    /// The report as the leader holds it, to whom entries send their books.
    pub async fn report(&self) -> Result<OperatorResponse> {
        match self.leader().await {
            Some(leader) => self.ask(leader, "/v1/report").await,
            None => {
                let problem = "no control process leads with a quorum, so nobody holds all books";
                Err(Error::Unreachable(problem.to_owned()))
            }
        }
    }

    /// The newest configuration that any control process holds.
    ///
    /// The leader's is preferred: it has applied everything that was ever accepted, so that an
    /// operator who applied a change sees it.
    pub async fn config(&self) -> Result<Config> {
        if let Some(leader) = self.leader().await
            && let Ok(OperatorResponse::Config { version, document }) =
                self.ask(leader, "/v1/config").await
        {
            return Ok(Config {
                version,
                document,
                fresh: true,
            });
        }
        let mut newest: Option<Config> = None;
        let mut last = Error::Unreachable("none was asked".to_owned());
        for (_, answer) in self.ask_all("/v1/config").await {
            match answer {
                Ok(OperatorResponse::Config { version, document })
                    if newest.as_ref().is_none_or(|held| held.version < version) =>
                {
                    newest = Some(Config {
                        version,
                        document,
                        fresh: false,
                    });
                }
                Ok(_) => {}
                Err(error) => last = error,
            }
        }
        newest.ok_or(last)
    }
}

/// Waits a short time, at random, so that many clients don't come back together.
pub async fn pause() {
    let span = rand::rng().random_range(PAUSE_MS..=2 * PAUSE_MS);
    monoio::time::sleep(Duration::from_millis(span)).await;
}

/// An answer of a kind that was not asked for.
pub fn unexpected(answer: &OperatorResponse) -> Error {
    Error::unreadable(format!("unexpected answer {answer:?}"))
}

/// The error in a refusal's body.
fn refused(to: SocketAddr, status: StatusCode, body: &str) -> Error {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    Error::Refused {
        process: to.to_string(),
        problem: format!("{status}: {}; {}", text("message"), text("remedy")),
    }
}
