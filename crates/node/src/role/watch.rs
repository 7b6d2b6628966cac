//! The watch role: polls an engine, and sends it orders.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdyke_agent::watch::{Input, Output, Watch};
use eelgrassdyke_core::id::{Generation, Service, Version};
use eelgrassdyke_core::settings;
use eelgrassdyke_core::wire::rank::{EngineReport, RankOrder, RankOrderOutcome, RankOrderResult};

use super::Context;
use crate::adapter::{Adapter, EngineEndpoint, EngineResponses};
use crate::driver::Driver;
use crate::http::pool::Pool;

/// Timeout of a read from an engine on the same host.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an order; afterwards its outcome is unanswered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest response of an engine that is read: its counts and maps take some 100 kB for a large group.
const ENGINE_BYTES_MAX: usize = 4 << 20;

/// The watch role of a process.
pub struct Role {
    driver: Rc<Driver<Watch>>,
    context: Context,
    adapter: Rc<dyn Adapter>,
    engine: SocketAddr,
    service: Service,
}

impl Role {
    /// Starts the role with its core and its timer.
    pub fn start(
        core: Watch,
        settings: &settings::WatchSettings,
        adapter: Rc<dyn Adapter>,
        context: Context,
    ) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock, context.timeline.clone())),
            context,
            adapter,
            engine: settings.engine,
            service: settings.service.clone(),
        });
        let ticker = role.clone();
        monoio::spawn(
            role.driver
                .clone()
                .run(move || ticker.handle_input(Input::Tick)),
        );
        role
    }

    /// Passes an input to the core and executes its outputs.
    pub fn handle_input(self: &Rc<Self>, input: Input) {
        for output in self.driver.handle_input(input) {
            self.execute(output);
        }
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Read {
                known_map,
                reads_counts,
            } => {
                let role = self.clone();
                monoio::spawn(async move {
                    let report = role.read_engine(known_map, reads_counts).await;
                    role.handle_input(Input::ReadResult(report.map(Box::new)));
                });
            }
            Output::Order(order) => {
                let role = self.clone();
                monoio::spawn(async move {
                    let result =
                        send_order(&*role.adapter, &role.context.pool, role.engine, &order).await;
                    role.handle_input(Input::OrderResult(result));
                });
            }
            Output::Send { to, message } => self.context.outboxes.send(to, message),
        }
    }

    /// Reads the engine's report, with the expert counts if `reads_counts` is set; the experts only if its
    /// generation or active map is not `known`.
    async fn read_engine(
        &self,
        known: Option<(Generation, Version)>,
        reads_counts: bool,
    ) -> Option<EngineReport> {
        let state = self.fetch(EngineEndpoint::State).await?;
        let counts = match reads_counts {
            true => self.fetch(EngineEndpoint::Counts).await,
            false => None,
        };
        let report = self.decode_report(&state, counts.as_deref(), None)?;
        if known == Some((report.generation, report.active_map)) {
            return Some(report);
        }
        let experts = self.fetch(EngineEndpoint::Experts).await;
        self.decode_report(&state, counts.as_deref(), experts.as_deref())
    }

    async fn fetch(&self, endpoint: EngineEndpoint) -> Option<Bytes> {
        let request = self.adapter.engine_request(endpoint);
        let response =
            (self.context.pool).call_limited(self.engine, request, ENGINE_BYTES_MAX, READ_TIMEOUT);
        match response.await {
            Ok((status, body)) if status.is_success() => Some(body),
            Ok((status, _)) => {
                log::debug!("engine {}: {endpoint:?}: status {status}", self.engine);
                None
            }
            Err(error) => {
                log::debug!("engine {}: {endpoint:?}: {error}", self.engine);
                None
            }
        }
    }

    fn decode_report(
        &self,
        state: &[u8],
        counts: Option<&[u8]>,
        experts: Option<&[u8]>,
    ) -> Option<EngineReport> {
        let responses = EngineResponses {
            service: &self.service,
            address: self.engine,
            state,
            counts,
            experts,
        };
        match self.adapter.decode_engine_report(&responses) {
            Ok(report) => Some(report),
            Err(problem) => {
                log::debug!("engine {}: {problem}", self.engine);
                None
            }
        }
    }
}

/// Sends an order to an engine and waits for its outcome. It gets a connection of its own: on one that carried another
/// exchange, a second response to that would pass for the outcome.
pub async fn send_order(
    adapter: &dyn Adapter,
    pool: &Pool,
    engine: SocketAddr,
    order: &RankOrder,
) -> RankOrderResult {
    let request = adapter.encode_engine_order(order);
    let response = pool
        .call_apart(engine, request, ENGINE_BYTES_MAX, ORDER_TIMEOUT)
        .await;
    let outcome = match response {
        Ok((status, _)) => adapter.classify_order_response(status),
        Err(error) => {
            log::debug!("engine {engine}: order {}: {error}", order.number);
            RankOrderOutcome::Unanswered
        }
    };
    RankOrderResult {
        number: order.number,
        group: order.group.clone(),
        rank: order.rank,
        outcome,
    }
}
