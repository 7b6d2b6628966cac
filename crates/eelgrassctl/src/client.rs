//! HTTP client for the control processes.
//!
//! Changes are sent to the leader. A process that is not the leader names the leader; if a process is
//! unreachable or does not know the outcome, the same request is sent to the next process. Control
//! applies a repeated change once.

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

use crate::command::ConnectionArgs;
use crate::errors::{Error, Result};
use crate::token;

/// Timeout of one request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Shortest delay between two attempts; the actual delay is random, up to twice as long.
const RETRY_DELAY_MIN_MS: u64 = 100;

/// Statuses of control processes, with the address that was queried.
pub type Statuses = Vec<(SocketAddr, Status)>;

/// Failed status queries, with the address that was queried.
pub type StatusErrors = Vec<(SocketAddr, Error)>;

/// A client for the control processes.
pub struct Client {
    control: Vec<SocketAddr>,
    bearer: HeaderValue,
    pool: Pool,
    timeout: Duration,
}

/// The configuration as reported by one control process.
#[derive(Clone, Debug)]
pub struct ReportedConfig {
    /// Version of the configuration.
    pub version: Version,
    /// The document.
    pub document: Document,
    /// Whether the process is a leader with a quorum, so that no newer version has been accepted.
    pub fresh: bool,
}

impl Client {
    /// Creates a client for the control processes named on the command line.
    pub fn new(connection: &ConnectionArgs) -> Result<Self> {
        if connection.control.is_empty() {
            let problem =
                "no control processes given; set --control ADDRESS,... or EELGRASSCTL_CONTROL";
            return Err(Error::Usage(problem.to_owned()));
        }
        let Some(file) = &connection.token_file else {
            let problem =
                "no operator token given; set --token-file FILE or EELGRASSCTL_TOKEN_FILE";
            return Err(Error::Usage(problem.to_owned()));
        };
        let bearer = format!("Bearer {}", token::read(file)?);
        let mut bearer = HeaderValue::from_str(&bearer)
            .map_err(|error| Error::invalid_file(file, error.to_string()))?;
        bearer.set_sensitive(true);
        Ok(Self {
            control: connection.control.clone(),
            bearer,
            pool: Pool::default(),
            timeout: Duration::from_secs(connection.timeout_s),
        })
    }

    /// Addresses of the control processes named on the command line.
    pub fn control(&self) -> &[SocketAddr] {
        &self.control
    }

    /// Deadline of a command that starts now.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }

    /// Sends one request to one process and returns the status and body of the response.
    pub async fn send_request(
        &self,
        to: SocketAddr,
        mut request: Request,
    ) -> Result<(StatusCode, String)> {
        request
            .headers
            .insert(header::AUTHORIZATION, self.bearer.clone());
        let timeout = self.timeout.min(RESPONSE_TIMEOUT);
        let (status, body) = match self.pool.call(to, request, timeout).await {
            Ok(response) => response,
            Err(error) => return Err(Error::Unreachable(format!("{to}: {error}"))),
        };
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Sends one request to one process and decodes the JSON response.
    pub async fn request_json<T>(&self, to: SocketAddr, request: Request) -> Result<T>
    where
        T: serde::de::DeserializeOwned,
    {
        let (status, body) = self.send_request(to, request).await?;
        match serde_json::from_str(&body) {
            Ok(value) => Ok(value),
            Err(_) if !status.is_success() => Err(refusal_error(to, status, &body)),
            Err(error) => Err(Error::invalid_response(error)),
        }
    }

    /// Addresses of the control processes.
    pub fn control_addresses(&self) -> &[SocketAddr] {
        &self.control
    }

    /// Queries one control process.
    pub async fn query(&self, to: SocketAddr, path: &str) -> Result<OperatorResponse> {
        self.request_json(to, Request::get(path)).await
    }

    /// Queries all control processes concurrently.
    pub async fn query_all(&self, path: &str) -> Vec<(SocketAddr, Result<OperatorResponse>)> {
        let queries = self.control.iter().map(|to| self.query(*to, path));
        let answers = join_all(queries).await;
        self.control.iter().copied().zip(answers).collect()
    }

    /// Statuses of the control processes that answer, and the errors of the others.
    pub async fn statuses(&self) -> (Statuses, StatusErrors) {
        let (mut statuses, mut errors) = (Vec::new(), Vec::new());
        for (address, answer) in self.query_all("/v1/status").await {
            match answer {
                Ok(OperatorResponse::Status(status)) => statuses.push((address, status)),
                Ok(answer) => errors.push((address, unexpected_answer(&answer))),
                Err(error) => errors.push((address, error)),
            }
        }
        (statuses, errors)
    }

    /// Like [`Client::statuses`], but fails if no control process answers.
    ///
    /// If some processes refused the request, the error is a refusal.
    pub async fn require_statuses(&self) -> Result<(Statuses, StatusErrors)> {
        let (statuses, mut errors) = self.statuses().await;
        if !statuses.is_empty() {
            return Ok((statuses, errors));
        }
        let refusal = errors
            .iter()
            .position(|(_, error)| matches!(error, Error::Refused { .. }));
        Err(errors.swap_remove(refusal.unwrap_or(0)).1)
    }

    /// Sends a request to the leader and resends it until it is decided or the deadline passes.
    pub async fn submit_to_leader(&self, request: &Request) -> Result<OperatorResponse> {
        let deadline = self.deadline();
        let mut next = 0;
        let mut leader = None;
        let mut last_error;
        loop {
            let to = match leader.take() {
                Some(address) => address,
                None => {
                    next += 1;
                    self.control[(next - 1) % self.control.len()]
                }
            };
            match self.request_json(to, request.clone()).await {
                Ok(OperatorResponse::NotLeader { leader: named }) => {
                    last_error = Error::Unreachable(format!("{to} is not the leader"));
                    leader = named.filter(|address| *address != to);
                }
                Ok(OperatorResponse::OutcomeUnknown) => {
                    last_error = Error::Unreachable(format!(
                        "{to} does not know the outcome of the request"
                    ));
                }
                Ok(OperatorResponse::Refused { problem, remedy }) => {
                    return Err(Error::Refused {
                        process: to.to_string(),
                        problem: format!("{problem}; {remedy}"),
                    });
                }
                Ok(answer) => return Ok(answer),
                Err(error @ Error::Unreachable(_)) => last_error = error,
                Err(error) => return Err(error),
            }
            if Instant::now() >= deadline {
                return Err(last_error);
            }
            sleep_with_jitter().await;
        }
    }

    /// The leader with a quorum; the one of the highest term if several processes claim to lead.
    async fn leader(&self) -> Option<SocketAddr> {
        let (statuses, _) = self.statuses().await;
        let is_leader = |(_, status): &&(SocketAddr, Status)| status.is_leader && status.is_ready;
        let newest = statuses
            .iter()
            .filter(is_leader)
            .max_by_key(|(_, status)| status.term);
        newest.map(|(address, _)| *address)
    }

    /// The usage report of the leader, to which the other processes send their usage pages.
    pub async fn report(&self) -> Result<OperatorResponse> {
        match self.leader().await {
            Some(leader) => self.query(leader, "/v1/report").await,
            None => {
                let problem = "no leader has a quorum, so no complete usage report exists";
                Err(Error::Unreachable(problem.to_owned()))
            }
        }
    }

    /// The newest configuration that any control process has.
    ///
    /// The leader is asked first: it has applied every accepted change, so that operators see their own
    /// changes.
    pub async fn newest_config(&self) -> Result<ReportedConfig> {
        if let Some(leader) = self.leader().await
            && let Ok(OperatorResponse::Config { version, document }) =
                self.query(leader, "/v1/config").await
        {
            return Ok(ReportedConfig {
                version,
                document,
                fresh: true,
            });
        }
        let mut newest: Option<ReportedConfig> = None;
        let mut last_error = Error::Unreachable("no control process was queried".to_owned());
        for (_, answer) in self.query_all("/v1/config").await {
            match answer {
                Ok(OperatorResponse::Config { version, document })
                    if newest
                        .as_ref()
                        .is_none_or(|newest| newest.version < version) =>
                {
                    newest = Some(ReportedConfig {
                        version,
                        document,
                        fresh: false,
                    });
                }
                Ok(_) => {}
                Err(error) => last_error = error,
            }
        }
        newest.ok_or(last_error)
    }
}

/// Waits for a short random time, so that clients do not retry at the same moment.
pub async fn sleep_with_jitter() {
    let delay_ms = rand::rng().random_range(RETRY_DELAY_MIN_MS..=2 * RETRY_DELAY_MIN_MS);
    monoio::time::sleep(Duration::from_millis(delay_ms)).await;
}

/// The error for an answer that does not fit the request.
pub fn unexpected_answer(answer: &OperatorResponse) -> Error {
    Error::invalid_response(format!("unexpected answer {answer:?}"))
}

/// Decodes the error from the body of a refusal.
fn refusal_error(to: SocketAddr, status: StatusCode, body: &str) -> Error {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    Error::Refused {
        process: to.to_string(),
        problem: format!("{status}: {}; {}", text("message"), text("remedy")),
    }
}
