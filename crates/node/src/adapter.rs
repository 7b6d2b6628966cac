//! Where a process meets a platform that speaks otherwise than the product does.
//!
//! An [`Adapter`] only translates: it decodes what callers, back ends and operators of a platform
//! send into the product's types, and encodes what the product answers. It decides nothing.

use std::net::SocketAddr;

use bytes::Bytes;
use eelgrassdyke_control::{OperatorResponse, ServerNotice};
use eelgrassdyke_core::config::Publication;
use eelgrassdyke_core::id::Service;
use eelgrassdyke_core::wire::rank::{self, EngineReport};
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_entry::direct::{AttemptSpec, Call};
use http::{HeaderMap, StatusCode, Uri};

use crate::http::client;
use crate::http::server::Request;

/// Translates between a platform's protocol and the product's types.
pub trait Adapter {
    /// The call that a caller's request makes; an answer when it can't be read.
    fn call(&self, request: &Request) -> std::result::Result<Call, Box<Reply>>;

    /// Header fields of the request that an attempt sends to a back end.
    fn attempt(
        &self,
        request: &Request,
        order: &AttemptSpec,
        resume_after: Option<u64>,
    ) -> HeaderMap;

    /// What the head of a back end's answer to `request` says.
    fn verdict(&self, request: &Request, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// The number after which a caller wants a stream to go on; none for all of it.
    fn resumes_after(&self, request: &Request) -> Option<u64>;

    /// How a refusal reads to a caller.
    fn refuse(&self, request: &Request, refusal: &Refusal) -> Reply;

    /// What a request on the port for operators and back ends asks; an answer when it can't be read,
    /// and none when it is not of the platform.
    fn manage(&self, request: &Request) -> Option<std::result::Result<Ask, Box<Reply>>>;

    /// How control's answer to `request` reads.
    fn answer(&self, request: &Request, answer: &OperatorResponse) -> Reply;

    /// The call that reads a part of what an engine says.
    fn engine_call(&self, part: Part) -> client::Request;

    /// What an engine says, from the bodies of its answers.
    fn engine_report(&self, bodies: &Bodies<'_>) -> std::result::Result<EngineReport, String>;

    /// The call that gives an engine an order.
    fn engine_order(&self, order: &rank::RankOrder) -> client::Request;

    /// What the answer to an order says.
    fn engine_outcome(&self, status: StatusCode) -> rank::RankOrderOutcome;

    /// Whether a request asks if the process takes callers.
    fn is_health_check(&self, uri: &Uri) -> bool;
}

/// A part of what an engine says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Its state.
    State,
    /// How often each expert was chosen.
    Counts,
    /// The experts that it holds.
    Experts,
}

/// What an engine answered, part by part.
#[derive(Clone, Copy, Debug)]
pub struct Bodies<'a> {
    /// The engine's service.
    pub service: &'a Service,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Its state.
    pub state: &'a [u8],
    /// How often each expert was chosen.
    pub counts: Option<&'a [u8]>,
    /// The experts that it holds.
    pub experts: Option<&'a [u8]>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// An answer with a line of text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from(text.into()),
        }
    }
}

/// What the head of a back end's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answers this request.
    Answers,
    /// The request has not run.
    NotRun,
    /// Another server has the address; the request has not run.
    OtherServer,
    /// It answers another request, or is no answer of a back end.
    Foreign,
}

/// What an operator or a back end asks of control.
#[derive(Clone, Debug)]
pub enum Ask {
    /// Puts a configuration in force.
    Publish(Publication),
    /// Reads the newest configuration.
    Read,
    /// A back end says how it is.
    Announce(ServerNotice),
}
