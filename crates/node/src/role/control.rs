//! The control role.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_control::log::MembershipChange;
use eelgrassdyke_control::{Control, Input, OperatorResponse, Options, Output, Query};
use eelgrassdyke_core::config::Submission;
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::settings::{self, ClusterStart};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt as _;

use super::waiting::Waiting;
use super::{Context, watch};
use crate::adapter::{Adapter, Ask};
use crate::disk::{Done, Writer};
use crate::driver::Driver;
use crate::errors::Result;
use crate::http::server::{Request, Responder};
use crate::operator;

/// Announcements of a back end that may be lost or late before it counts as gone.
const LEASE_BEATS: u32 = 4;

/// The control role of a process.
pub struct Role {
    driver: Rc<Driver<Control>>,
    context: Context,
    disk: Writer,
    waiting: Waiting,
    adapter: Option<Rc<dyn Adapter>>,
    /// Requests of the adapter's platform that wait, by ticket.
    asked: RefCell<HashMap<Ticket, Request>>,
}

impl Role {
    /// Opens the data folder, starts the core on what it holds, and its alarm.
    pub fn start(
        settings: &settings::ControlSettings,
        control: &[SocketAddr],
        seed: u64,
        adapter: Option<Rc<dyn Adapter>>,
        context: Context,
    ) -> Result<Rc<Self>> {
        let (disk, recovered, done) = Writer::start(&settings.data)?;
        let options = Options {
            control_addresses: control.to_vec(),
            wall_time_origin: context.clock.wall_at_zero(),
            server_lease: Duration::from_millis(settings.heartbeat_ms) * LEASE_BEATS,
            log: log_options(settings, control, context.me.address, seed),
        };
        let mut begun = Vec::new();
        let now = context.clock.now();
        let core = Control::new(now, context.me.clone(), options, recovered, &mut begun);
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock)),
            context,
            disk,
            waiting: Waiting::default(),
            adapter,
            asked: RefCell::default(),
        });
        for output in begun {
            role.carry_out(output);
        }
        monoio::spawn(role.clone().hear_disk(done));
        let ticker = role.clone();
        monoio::spawn(role.driver.clone().run(move || ticker.feed(Input::Tick)));
        Ok(role)
    }

    /// Hands the core what the disk has done.
    async fn hear_disk(self: Rc<Self>, mut done: UnboundedReceiver<Done>) {
        while let Some(done) = done.next().await {
            self.feed(match done {
                Done::Persisted(job) => Input::Persisted { job },
                Done::Failed(problem) => Input::DiskFailed { problem },
                Done::Reopened(recovered) => {
                    self.disk.renew();
                    Input::DiskReopened { recovered }
                }
            });
        }
    }

    /// Reads something off the core.
    pub fn read<T>(&self, look: impl FnOnce(&Control) -> T) -> T {
        self.driver.read(look)
    }

    /// Hands an input to the core and carries out what it decides.
    pub fn feed(self: &Rc<Self>, input: Input) {
        for output in self.driver.feed(input) {
            self.carry_out(output);
        }
    }

    /// Passes an operator's change on.
    pub fn submit(self: &Rc<Self>, submission: Submission, responder: Responder) {
        let ticket = self.waiting.add(responder);
        self.feed(Input::Submit { ticket, submission });
    }

    /// Passes an operator's order to an engine on.
    pub fn order(self: &Rc<Self>, request: operator::Order, responder: Responder) {
        let ticket = self.waiting.add(responder);
        self.feed(Input::Order {
            ticket,
            operation: request.operation,
            server: request.server,
            order: request.order,
        });
    }

    /// Passes an operator's change of the members on.
    pub fn change_members(self: &Rc<Self>, change: MembershipChange, responder: Responder) {
        let ticket = self.waiting.add(responder);
        self.feed(Input::ChangeMembers { ticket, change });
    }

    /// Passes an operator's question on.
    pub fn ask(self: &Rc<Self>, query: Query, responder: Responder) {
        let ticket = self.waiting.add(responder);
        self.feed(Input::Query { ticket, query });
    }

    /// Passes on what an operator or a back end of the adapter's platform asks.
    pub fn take_ask(self: &Rc<Self>, ask: Ask, mut request: Request, responder: Responder) {
        let ticket = self.waiting.add(responder);
        request.body.clear();
        self.asked.borrow_mut().insert(ticket, request);
        self.feed(match ask {
            Ask::Publish(publication) => Input::Publish {
                ticket,
                publication,
            },
            Ask::Read => Input::ReadPublication { ticket },
            Ask::Announce(notice) => Input::Announce { ticket, notice },
        });
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => self.context.mail.send(to, message),
            Output::Respond { ticket, response } => self.answer(ticket, &response),
            Output::RankOrder { engine, order } => {
                let Some(adapter) = self.adapter.clone() else {
                    return;
                };
                let role = self.clone();
                monoio::spawn(async move {
                    let done = watch::give(&*adapter, &role.context, engine, &order).await;
                    role.feed(Input::RankOrderResult(done));
                });
            }
            Output::Persist(job) => self.disk.write(job),
            Output::Event(event) => self.context.timeline.note(event),
        }
    }

    fn answer(&self, ticket: Ticket, answer: &OperatorResponse) {
        let asked = self.asked.borrow_mut().remove(&ticket);
        let Some(responder) = self.waiting.take(ticket) else {
            return;
        };
        match (&self.adapter, asked) {
            (Some(adapter), Some(request)) => {
                let reply = adapter.answer(&request, answer);
                responder.answer(reply.status, reply.headers, reply.body);
            }
            _ => operator::answer(responder, answer),
        }
    }
}

fn log_options(
    settings: &settings::ControlSettings,
    control: &[SocketAddr],
    me: SocketAddr,
    seed: u64,
) -> eelgrassdyke_control::log::Options {
    let founders = match &settings.start {
        ClusterStart::Found(addresses) => addresses.clone(),
        ClusterStart::Seeds(addresses) if addresses.contains(&me) => addresses.clone(),
        ClusterStart::Seeds(_) | ClusterStart::Join => Vec::new(),
    };
    eelgrassdyke_control::log::Options {
        founders,
        seed_addresses: control.to_vec(),
        manages_members: settings.manages_members,
        timeout_seed: seed,
        ..Default::default()
    }
}
