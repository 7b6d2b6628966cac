//! The control role: runs a replica of the log on its data folder.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_control::log::{MembershipChange, founder_id};
use eelgrassdyke_control::{
    Control, EvacuationOrder, Input, OperatorResponse, Options, Output, Query,
};
use eelgrassdyke_core::config::Submission;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::settings::{self, ClusterStart};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt as _;

use super::waiting::PendingResponses;
use super::{Context, watch};
use crate::adapter::{Adapter, ManagementRequest};
use crate::disk::{DiskEvent, Writer};
use crate::driver::Driver;
use crate::errors::Result;
use crate::http::server::{Request, Responder};
use crate::operator;

/// Heartbeats of a backend server that may be lost or late before its lease expires.
const LEASE_HEARTBEATS: u32 = 4;

/// The control role of a process.
pub struct Role {
    driver: Rc<Driver<Control>>,
    context: Context,
    disk: Writer,
    pending: PendingResponses,
    adapter: Option<Rc<dyn Adapter>>,
    /// Pending requests of the adapter's platform, by ticket.
    platform_requests: RefCell<HashMap<Ticket, Request>>,
}

impl Role {
    /// Opens the data folder and starts the role with a core recovered from it.
    pub fn start(
        settings: &settings::ControlSettings,
        control: &[SocketAddr],
        seed: u64,
        adapter: Option<Rc<dyn Adapter>>,
        context: Context,
    ) -> Result<Rc<Self>> {
        let me = context.me.address;
        let is_founder = settings.start == ClusterStart::FirstStart && control.contains(&me);
        let first_id = is_founder.then(|| founder_id(me, control));
        let (disk, recovered, disk_events) = Writer::start(&settings.data, first_id)?;
        let options = Options {
            control_addresses: control.to_vec(),
            wall_time_origin: context.clock.wall_at_start(),
            server_lease: Duration::from_millis(settings.heartbeat_ms) * LEASE_HEARTBEATS,
            spreads_groups: settings.spreads_groups,
            engines_check_fencing: settings.engines_check_fencing,
            log: log_options(settings, control, context.me.address, seed),
        };
        let mut outputs = Vec::new();
        let now = context.clock.now();
        let core = Control::new(now, context.me.clone(), options, recovered, &mut outputs);
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock, context.timeline.clone())),
            context,
            disk,
            pending: PendingResponses::default(),
            adapter,
            platform_requests: RefCell::default(),
        });
        for output in outputs {
            role.execute(output);
        }
        monoio::spawn(role.clone().handle_disk_events(disk_events));
        let ticker = role.clone();
        monoio::spawn(
            role.driver
                .clone()
                .run(move || ticker.handle_input(Input::Tick)),
        );
        Ok(role)
    }

    /// Passes the events of the disk writer to the core.
    async fn handle_disk_events(self: Rc<Self>, mut events: UnboundedReceiver<DiskEvent>) {
        while let Some(event) = events.next().await {
            self.handle_input(match event {
                DiskEvent::Persisted(job) => Input::Persisted { job },
                DiskEvent::Failed(problem) => Input::DiskFailed { problem },
                DiskEvent::Reopened(recovered) => {
                    self.disk.acknowledge_reopen();
                    Input::DiskReopened { recovered }
                }
            });
        }
    }

    /// Reads from the core.
    pub fn read<T>(&self, read: impl FnOnce(&Control) -> T) -> T {
        self.driver.read(read)
    }

    /// Passes an input to the core and executes its outputs.
    pub fn handle_input(self: &Rc<Self>, input: Input) {
        for output in self.driver.handle_input(input) {
            self.execute(output);
        }
    }

    /// Submits an operator's configuration change.
    pub fn submit(self: &Rc<Self>, submission: Submission, responder: Responder) {
        let ticket = self.pending.insert(responder);
        self.handle_input(Input::Submit { ticket, submission });
    }

    /// Submits an operator's order to an engine.
    pub fn submit_order(self: &Rc<Self>, request: operator::OrderRequest, responder: Responder) {
        let ticket = self.pending.insert(responder);
        self.handle_input(Input::Order {
            ticket,
            operation: request.operation,
            server: request.server,
            order: request.order,
        });
    }

    /// Submits an operator's change of the cluster members.
    pub fn change_members(self: &Rc<Self>, change: MembershipChange, responder: Responder) {
        let ticket = self.pending.insert(responder);
        self.handle_input(Input::ChangeMembers { ticket, change });
    }

    /// Lifts the quarantine of a prompt part.
    pub fn lift_quarantine(self: &Rc<Self>, lift: operator::LiftRequest, responder: Responder) {
        let ticket = self.pending.insert(responder);
        self.handle_input(Input::LiftQuarantine {
            ticket,
            service: lift.service,
            part: lift.part,
        });
    }

    /// Runs an operator's query.
    pub fn query(self: &Rc<Self>, query: Query, responder: Responder) {
        let ticket = self.pending.insert(responder);
        self.handle_input(Input::Query { ticket, query });
    }

    /// Handles a request of an operator or a backend server of the adapter's platform.
    pub fn handle_management_request(
        self: &Rc<Self>,
        command: ManagementRequest,
        mut request: Request,
        responder: Responder,
    ) {
        if let ManagementRequest::Evacuate { .. } = command
            && responder.is_peer_closed()
        {
            let detail = format!(
                "evacuation order {} dropped: its sender {} has closed the connection",
                request.uri.path(),
                request.peer
            );
            let event = Event::new(Code::InputRefused, detail);
            self.context.timeline.record_event(event);
            return;
        }
        let author = request.peer.ip().to_string();
        let ticket = self.pending.insert(responder);
        request.body.clear();
        self.platform_requests.borrow_mut().insert(ticket, request);
        self.handle_input(match command {
            ManagementRequest::Publish(publication) => Input::Publish {
                ticket,
                publication,
            },
            ManagementRequest::Evacuate {
                data_centre,
                evacuated,
            } => Input::Evacuate {
                ticket,
                order: EvacuationOrder {
                    data_centre,
                    evacuated,
                    author,
                },
            },
            ManagementRequest::ReadPublication => Input::ReadPublication { ticket },
            ManagementRequest::Announce(notice) => Input::Announce { ticket, notice },
        });
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => self.context.outboxes.send(to, message),
            Output::Respond { ticket, response } => self.respond(ticket, &response),
            Output::RankOrder { engine, order } => {
                let Some(adapter) = self.adapter.clone() else {
                    return;
                };
                let role = self.clone();
                monoio::spawn(async move {
                    let result =
                        watch::send_order(&*adapter, &role.context.pool, engine, &order).await;
                    role.handle_input(Input::RankOrderResult(result));
                });
            }
            Output::Persist(job) => self.disk.enqueue(job),
            Output::Event(event) => self.context.timeline.record_event(event),
        }
    }

    fn respond(&self, ticket: Ticket, answer: &OperatorResponse) {
        let platform_request = self.platform_requests.borrow_mut().remove(&ticket);
        let Some(responder) = self.pending.remove(ticket) else {
            return;
        };
        match (&self.adapter, platform_request) {
            (Some(adapter), Some(request)) => {
                let response = adapter.encode_answer(&request, answer);
                responder.respond(response.status, response.headers, response.body);
            }
            _ => operator::respond_answer(responder, answer),
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
        ClusterStart::Bootstrap(addresses) => addresses.clone(),
        ClusterStart::Seeds(addresses) if addresses.contains(&me) => addresses.clone(),
        ClusterStart::Seeds(_) | ClusterStart::FirstStart | ClusterStart::Join => Vec::new(),
    };
    eelgrassdyke_control::log::Options {
        founders,
        seed_addresses: control.to_vec(),
        manages_members: settings.manages_members,
        catch_up: settings.catch_up_ms.map(Duration::from_millis),
        spare_voter: settings.spare_voter,
        elects_after_restart: settings.elects_after_restart,
        timeout_seed: seed,
        ..Default::default()
    }
}
