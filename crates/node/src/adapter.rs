//! Interface for serving a platform that has a protocol of its own.
//!
//! An [`Adapter`] only translates: it decodes requests and responses of the platform's callers,
//! backend servers and operators into the types of this project, and encodes answers to them. It
//! makes no decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdyke_control::{OperatorResponse, ServerNotice};
use eelgrassdyke_core::config::Publication;
use eelgrassdyke_core::id::{DataCentre, Service};
use eelgrassdyke_core::wire::rank::{self, EngineReport};
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_entry::direct::{AttemptSpec, Call, ServerSignal};
use http::{HeaderMap, StatusCode, Uri};

use crate::http::client;
use crate::http::server::Request;

/// Translates between a platform's protocol and the product's types.
pub trait Adapter {
    /// Decodes a caller's request; an invalid one yields the response to send.
    fn decode_call(&self, request: &Request) -> std::result::Result<Call, Box<Response>>;

    /// Time for which the sender of a caller's request waits, if its header fields state it.
    fn time_left(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Header fields of the request that an attempt sends to a backend server.
    fn attempt_headers(
        &self,
        request: &Request,
        spec: &AttemptSpec,
        resume_after: Option<u64>,
    ) -> HeaderMap;

    /// Classifies a backend server's response to `request` by its head; `on_reused` if the connection
    /// carried other requests before, so that the response may belong to one of them.
    fn classify_response(
        &self,
        request: &Request,
        status: StatusCode,
        headers: &HeaderMap,
        on_reused: bool,
    ) -> ResponseClass;

    /// What a backend server says about itself in the head of a response.
    fn server_signal(&self, status: StatusCode, headers: &HeaderMap) -> ServerSignal;

    /// Id of the event after which the caller resumes a stream; none for a stream from its start.
    fn resume_after(&self, request: &Request) -> Option<u64>;

    /// Encodes a refusal for the caller.
    fn encode_refusal(&self, request: &Request, refusal: &Refusal) -> Response;

    /// Decodes a request on the port for operators and backend servers; an invalid one yields the
    /// response to send. None if the request is not part of the platform's protocol.
    fn decode_management_request(
        &self,
        request: &Request,
    ) -> Option<std::result::Result<ManagementRequest, Box<Response>>>;

    /// Encodes control's answer to `request`.
    fn encode_answer(&self, request: &Request, answer: &OperatorResponse) -> Response;

    /// The request that reads an endpoint of an engine.
    fn engine_request(&self, endpoint: EngineEndpoint) -> client::Request;

    /// Decodes the report of an engine from the bodies of its responses.
    fn decode_engine_report(
        &self,
        responses: &EngineResponses<'_>,
    ) -> std::result::Result<EngineReport, String>;

    /// The request that sends an order to an engine.
    fn encode_engine_order(&self, order: &rank::RankOrder) -> client::Request;

    /// The outcome that an engine's response to an order states.
    fn classify_order_response(&self, status: StatusCode) -> rank::RankOrderOutcome;

    /// Whether a request is the platform's readiness check.
    fn is_health_check(&self, uri: &Uri) -> bool;
}

/// An endpoint of an engine that reports about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEndpoint {
    /// The state of the engine.
    State,
    /// How often each expert was selected.
    Counts,
    /// The experts that the engine holds.
    Experts,
}

/// The response bodies of an engine's endpoints.
#[derive(Clone, Copy, Debug)]
pub struct EngineResponses<'a> {
    /// The engine's service.
    pub service: &'a Service,
    /// The engine's address.
    pub address: SocketAddr,
    /// Body of [`EngineEndpoint::State`].
    pub state: &'a [u8],
    /// Body of [`EngineEndpoint::Counts`]; none if it could not be read.
    pub counts: Option<&'a [u8]>,
    /// Body of [`EngineEndpoint::Experts`]; none if it was not read.
    pub experts: Option<&'a [u8]>,
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// A response with a text body and no header fields.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from(text.into()),
        }
    }
}

/// Classification of a backend server's response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The response belongs to this request.
    Valid,
    /// The server states that it has not run the request.
    NotRun,
    /// The address belongs to another server, so the request has not run.
    OtherServer,
    /// The response does not prove that a backend server sent it.
    Unverified,
    /// The response belongs to another request, or may do so.
    OtherRequest,
}

/// A request of an operator or a backend server to control.
#[derive(Clone, Debug)]
pub enum ManagementRequest {
    /// Publishes a configuration.
    Publish(Publication),
    /// Orders to evacuate a data centre, or to end its evacuation. The order has no version, so one whose
    /// sender has closed the connection is dropped: it may have been withdrawn since.
    Evacuate {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether to evacuate it.
        evacuated: bool,
    },
    /// Reads the published configuration.
    ReadPublication,
    /// Reports the state of a backend server.
    Announce(ServerNotice),
}
