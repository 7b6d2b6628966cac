//! The watch role.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdyke_agent::watch::{Input, Output, Watch};
use eelgrassdyke_core::id::{Generation, Service, Version};
use eelgrassdyke_core::settings;
use eelgrassdyke_core::wire::rank::{EngineReport, RankOrder, RankOrderOutcome, RankOrderResult};

use super::Context;
use crate::adapter::{Adapter, Bodies, Part};
use crate::driver::Driver;

/// Longest wait for an engine on the same host to answer.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the answer to an order; after it the order counts as unanswered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);

/// The watch role of a process.
pub struct Role {
    driver: Rc<Driver<Watch>>,
    context: Context,
    adapter: Rc<dyn Adapter>,
    engine: SocketAddr,
    service: Service,
}

impl Role {
    /// Wraps the core and starts its alarm.
    pub fn start(
        core: Watch,
        settings: &settings::WatchSettings,
        adapter: Rc<dyn Adapter>,
        context: Context,
    ) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock)),
            context,
            adapter,
            engine: settings.engine,
            service: settings.service.clone(),
        });
        let ticker = role.clone();
        monoio::spawn(role.driver.clone().run(move || ticker.feed(Input::Tick)));
        role
    }

    /// Hands an input to the core and carries out what it decides.
    pub fn feed(self: &Rc<Self>, input: Input) {
        for output in self.driver.feed(input) {
            self.carry_out(output);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Read { known_map } => {
                let role = self.clone();
                monoio::spawn(async move {
                    let report = role.read(known_map).await;
                    role.feed(Input::ReadResult(report.map(Box::new)));
                });
            }
            Output::Order(order) => {
                let role = self.clone();
                monoio::spawn(async move {
                    let done = give(&*role.adapter, &role.context, role.engine, &order).await;
                    role.feed(Input::OrderResult(done));
                });
            }
            Output::Send { to, message } => self.context.mail.send(to, message),
        }
    }

    /// Reads what the engine says; its experts only when they are not known for its map.
    async fn read(&self, known: Option<(Generation, Version)>) -> Option<EngineReport> {
        let state = self.get(Part::State).await?;
        let counts = self.get(Part::Counts).await;
        let report = self.report(&state, counts.as_deref(), None)?;
        if known == Some((report.generation, report.active_map)) {
            return Some(report);
        }
        let experts = self.get(Part::Experts).await;
        self.report(&state, counts.as_deref(), experts.as_deref())
    }

    async fn get(&self, part: Part) -> Option<Bytes> {
        let request = self.adapter.engine_call(part);
        let answer = self.context.pool.call(self.engine, request, READ_TIMEOUT);
        match answer.await {
            Ok((status, body)) if status.is_success() => Some(body),
            Ok((status, _)) => {
                log::debug!("engine {}: {part:?}: status {status}", self.engine);
                None
            }
            Err(error) => {
                log::debug!("engine {}: {part:?}: {error}", self.engine);
                None
            }
        }
    }

    fn report(
        &self,
        state: &[u8],
        counts: Option<&[u8]>,
        experts: Option<&[u8]>,
    ) -> Option<EngineReport> {
        let bodies = Bodies {
            service: &self.service,
            address: self.engine,
            state,
            counts,
            experts,
        };
        match self.adapter.engine_report(&bodies) {
            Ok(report) => Some(report),
            Err(problem) => {
                log::debug!("engine {}: {problem}", self.engine);
                None
            }
        }
    }
}

/// Gives an engine an order and waits for what comes of it.
pub async fn give(
    adapter: &dyn Adapter,
    context: &Context,
    engine: SocketAddr,
    order: &RankOrder,
) -> RankOrderResult {
    let request = adapter.engine_order(order);
    let answer = context.pool.call(engine, request, ORDER_TIMEOUT).await;
    let outcome = match answer {
        Ok((status, _)) => adapter.engine_outcome(status),
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
