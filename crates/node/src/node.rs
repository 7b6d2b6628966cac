//! A process: its ports, its roles and its graceful shutdown.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_agent::Agent;
use eelgrassdyke_agent::watch::Watch;
use eelgrassdyke_control::Control;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Incarnation, Process, Version};
use eelgrassdyke_core::settings::{self, Settings};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::{BATCH_BYTES_MAX, Sender};
use eelgrassdyke_entry::{Entry, direct};
use http::{HeaderMap, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use monoio::net::TcpListener;
use rand::RngExt as _;
use socket2::SockRef;

use crate::adapter::Adapter;
use crate::clock::Clock;
use crate::errors::{Error, Result};
use crate::http::pool::Pool;
use crate::http::server::{self, BodyTerms, MEMORY_WAIT_MAX, Request, Responder};
use crate::mail::Outboxes;
use crate::role::{self, Context};
use crate::secret::{OperatorTokens, PeerSecret};
use crate::shares::{self, Shares};
use crate::timeline::Timeline;
use crate::{gauges, operator, peer};

/// Maximum body size of a caller's request, in bytes; services may set lower limits.
const CALL_BYTES_MAX: usize = 32 << 20;

/// Maximum body size on the peer port of a request that carries neither the peers' secret nor an
/// operator's token, in bytes.
const UNAUTHENTICATED_BYTES_MAX: usize = 16 << 10;

/// Maximum body size on the peer port of a process with an adapter, in bytes. The largest bodies
/// are configurations from the platform's operators.
const PUBLICATION_BYTES_MAX: usize = 8 << 20;

/// Maximum body size on ports whose pages take no body, in bytes.
const PAGE_BYTES_MAX: usize = 1 << 10;

/// Divisor of a caller's time limit that gives the time for which its request waits for memory. Callers abandon a
/// request that is not read within that time.
const MEMORY_WAIT_DIVISOR: u32 = 3;

/// Time for opening a connection to another process. A connection request to a host without power gets
/// no answer; a short timeout lets the next one reach the host soon after its start.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of the checks whether a shutdown is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fraction of the time until the platform kills a stopping process during which requests may
/// continue.
const GRACE_FRACTION: f64 = 0.95;

/// Maximum wait for control to acknowledge the last usage counters.
const USAGE_REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// A process.
pub struct Node {
    settings: Settings,
    context: Context,
    secret: PeerSecret,
    operator_tokens: OperatorTokens,
    entry: Option<Rc<role::entry::Role>>,
    direct: Option<Rc<role::direct::Role>>,
    control: Option<Rc<role::control::Role>>,
    agent: Option<Rc<role::agent::Role>>,
    watch: Option<Rc<role::watch::Role>>,
    adapter: Option<Rc<dyn Adapter>>,
    metrics: Option<PrometheusHandle>,
    draining: Cell<bool>,
    unwritten: Rc<server::Unwritten>,
    shares: Shares,
}

eelgrassdyke_core::data! {
    /// The status of a process.
    #[derive(Eq)]
    pub struct ProcessStatus {
        /// The name of the process.
        pub process: Process,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Whether all roles are ready.
        pub ready: bool,
        /// Number of requests and attempts in progress.
        pub open: usize,
        /// Configuration version in force in the entry role.
        pub entry_version: Option<Version>,
        /// Configuration version in force in the agent role.
        pub agent_version: Option<Version>,
        /// Configuration version that the control role has applied.
        pub control_version: Option<Version>,
    }
}

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Number of requests and attempts that were aborted.
    pub aborted: usize,
    /// Number of complete responses that were not written to the end.
    pub cut_off: usize,
}

/// The bound ports of a process.
pub struct Ports {
    peers: StdListener,
    callers: Option<StdListener>,
    health: Option<StdListener>,
    metrics: Option<StdListener>,
}

impl Ports {
    /// Binds all ports in the settings.
    fn bind_all(settings: &Settings) -> Result<Self> {
        let entry = settings.entry_role.as_ref();
        let callers = entry.map(|entry| entry.listen);
        let health = entry
            .and_then(|entry| entry.direct.as_ref())
            .map(|direct| direct.health);
        let mut ports = Self::bind(settings.listen, callers)?;
        let bind_pages = |address| bind(address, shares::Port::Pages);
        ports.health = health.map(bind_pages).transpose()?;
        ports.metrics = settings.metrics.map(bind_pages).transpose()?;
        Ok(ports)
    }

    /// Binds the port for peers and operators and the port for callers; port 0 selects a free port.
    pub fn bind(listen: SocketAddr, callers: Option<SocketAddr>) -> Result<Self> {
        let peers = bind(listen, shares::Port::Peers)?;
        let callers = callers.map(|address| bind(address, shares::Port::Main));
        let callers = callers.transpose()?;
        Ok(Self {
            peers,
            callers,
            health: None,
            metrics: None,
        })
    }

    /// Address for messages of peers and requests of operators.
    pub fn peer_address(&self) -> Result<SocketAddr> {
        local_address(&self.peers)
    }

    /// Address for callers; none without the entry role.
    pub fn caller_address(&self) -> Result<Option<SocketAddr>> {
        self.callers.as_ref().map(local_address).transpose()
    }
}

impl Node {
    /// Binds the ports of a process and starts its roles, within a running runtime; with an adapter, they
    /// serve its platform.
    pub fn start(
        settings: Settings,
        metrics: Option<PrometheusHandle>,
        adapter: Option<Rc<dyn Adapter>>,
    ) -> Result<Rc<Self>> {
        let ports = Ports::bind_all(&settings)?;
        Self::start_with_ports(ports, settings, metrics, adapter)
    }

    /// Starts the roles of a process on ports that are already bound.
    pub fn start_with_ports(
        ports: Ports,
        settings: Settings,
        metrics: Option<PrometheusHandle>,
        adapter: Option<Rc<dyn Adapter>>,
    ) -> Result<Rc<Self>> {
        let address = ports.peer_address()?;
        let secret = match &settings.peer_secret_file {
            Some(path) => PeerSecret::read(path)?,
            None => PeerSecret::trust_all(),
        };
        let operator_tokens = match &settings.operator_tokens_file {
            Some(path) => OperatorTokens::read(path)?,
            None => OperatorTokens::default(),
        };
        let me = Sender {
            process: settings.process.clone(),
            incarnation: Clock::new_incarnation(),
            address: settings.advertise.unwrap_or(address),
        };
        let shares = Shares::new(&settings.limits);
        let context = build_context(&settings, &shares, me, &secret);
        let seed = rand::rng().random();
        let uses_agents = |entry: &&settings::EntrySettings| entry.direct.is_none();
        let entry = settings.entry_role.as_ref().filter(uses_agents);
        let entry = entry.map(|entry| {
            let options = eelgrassdyke_entry::Options::from_settings(&settings, entry, seed);
            role::entry::Role::start(Entry::new(context.me.clone(), options), context.clone())
        });
        let direct = settings.entry_role.as_ref();
        let direct = direct.and_then(|entry| entry.direct.as_ref());
        let direct = direct.zip(adapter.clone()).map(|(direct, adapter)| {
            let options = direct::Options::from_settings(&settings, direct, seed);
            let core = direct::Direct::new(context.clock.now(), &context.me, options);
            role::direct::Role::start(core, adapter, context.clone())
        });
        let control = settings.control_role.as_ref().map(|control| {
            let context = context.clone();
            role::control::Role::start(
                control,
                &settings.control_addresses,
                seed,
                adapter.clone(),
                context,
            )
        });
        let control = control.transpose()?;
        let agent = settings.agent_role.as_ref().map(|agent| {
            let options = eelgrassdyke_agent::Options::from_settings(&settings, agent);
            let core = Agent::new(context.me.clone(), options);
            role::agent::Role::start(core, agent.backend, context.clone())
        });
        let watch = settings.watch_role.as_ref().zip(adapter.clone());
        let watch = watch.map(|(watch, adapter)| {
            let core = Watch::new(context.me.clone(), settings.control_addresses.clone());
            role::watch::Role::start(core, watch, adapter, context.clone())
        });
        let draining = Cell::new(false);
        let node = Rc::new(Self {
            settings,
            context,
            secret,
            operator_tokens,
            entry,
            direct,
            control,
            agent,
            watch,
            adapter,
            metrics,
            draining,
            unwritten: server::Unwritten::new(shares.unsent_bytes_max()),
            shares,
        });
        let detail = match ports.caller_address()? {
            Some(callers) => format!("peers {address} callers {callers}"),
            None => format!("peers {address}"),
        };
        node.clone().serve(ports)?;
        node.context
            .timeline
            .record_event(Event::new(Code::ProcessStarted, detail));
        Ok(node)
    }

    /// Starts to serve the ports.
    fn serve(self: Rc<Self>, ports: Ports) -> Result<()> {
        let pool = self.context.pool.clone();
        monoio::spawn(async move { pool.close_expired().await });
        let listener = into_async(ports.peers)?;
        let limits = &self.settings.limits;
        let options = server::Options {
            idle_timeout: Duration::from_millis(limits.idle_ms),
            body_bytes_max: BATCH_BYTES_MAX,
            cancel_on_close: true,
        };
        let node = self.clone();
        let handler = Rc::new(move |request, responder| node.handle_request(request, responder));
        let node = self.clone();
        let body_policy = Rc::new(move |headers: &HeaderMap| BodyTerms {
            bytes_max: match node.is_authenticated(headers) {
                true => BATCH_BYTES_MAX,
                // The platform's operators have no token.
                false if node.adapter.is_some() => PUBLICATION_BYTES_MAX,
                false => UNAUTHENTICATED_BYTES_MAX,
            },
            wait_max: MEMORY_WAIT_MAX,
        });
        let shares = self.shares;
        let kind = match ports.callers {
            Some(_) => shares::Port::Peers,
            None => shares::Port::Main,
        };
        let port = server::Port {
            options,
            body_policy,
            intake: shares.intake(kind),
            unwritten: self.unwritten.clone(),
        };
        monoio::spawn(server::serve_port(listener, port, handler));

        let page_options = server::Options {
            body_bytes_max: PAGE_BYTES_MAX,
            ..options
        };
        if let Some(health) = ports.health {
            let listener = into_async(health)?;
            let node = self.clone();
            let handler =
                Rc::new(move |request, responder| node.handle_request(request, responder));
            let port = server::Port::new(page_options, shares.intake(shares::Port::Pages));
            monoio::spawn(server::serve_port(listener, port, handler));
        }
        if let Some(metrics) = ports.metrics {
            let listener = into_async(metrics)?;
            let node = self.clone();
            let handler = Rc::new(move |request: Request, responder| {
                node.serve_public_page(request.uri.path(), responder);
            });
            let port = server::Port::new(page_options, shares.intake(shares::Port::Pages));
            monoio::spawn(server::serve_port(listener, port, handler));
        }
        let Some(callers) = ports.callers else {
            return Ok(());
        };
        let listener = into_async(callers)?;
        let options = server::Options {
            body_bytes_max: CALL_BYTES_MAX,
            // A caller of the direct path that closes its sending side counts as gone, so its
            // request is cancelled.
            cancel_on_close: self.direct.is_some(),
            ..options
        };
        if let Some(direct) = &self.direct {
            let direct = direct.clone();
            let handler = Rc::new(move |request, responder| direct.handle_call(request, responder));
            self.spawn_caller_port(listener, options, handler);
            return Ok(());
        }
        let Some(entry) = &self.entry else {
            return Ok(());
        };
        let entry = entry.clone();
        let node = self.clone();
        let handler = Rc::new(
            move |request: Request, responder| match request.uri.path() {
                "/health" | "/ready" => node.handle_request(request, responder),
                _ => entry.handle_call(request, responder),
            },
        );
        self.spawn_caller_port(listener, options, handler);
        Ok(())
    }

    fn spawn_caller_port(
        &self,
        listener: TcpListener,
        options: server::Options,
        handler: server::Handler,
    ) {
        let intake = self.shares.intake(shares::Port::Main);
        let mut port = server::Port::new(options, intake);
        if let Some((direct, adapter)) = self.direct.clone().zip(self.adapter.clone()) {
            let clock = self.context.clock;
            let body_bytes_max = move || {
                let limit = direct.read(|core| core.body_max(clock.now()));
                let limit = limit.and_then(|limit| usize::try_from(limit.0).ok());
                limit.map_or(options.body_bytes_max, |limit| {
                    limit.min(options.body_bytes_max)
                })
            };
            port.body_policy = Rc::new(move |headers: &HeaderMap| BodyTerms {
                bytes_max: body_bytes_max(),
                wait_max: match adapter.time_left(headers) {
                    Some(time_left) => (time_left / MEMORY_WAIT_DIVISOR).min(MEMORY_WAIT_MAX),
                    None => options.idle_timeout,
                },
            });
        }
        port.unwritten = self.unwritten.clone();
        monoio::spawn(server::serve_port(listener, port, handler));
    }

    /// Whether a request carries the peers' secret or an operator's token.
    fn is_authenticated(&self, headers: &HeaderMap) -> bool {
        peer::is_peer(self, headers) || operator::is_operator(self, headers)
    }

    /// Handles a request on the port for peers and operators.
    fn handle_request(&self, request: Request, responder: Responder) {
        let path = request.uri.path();
        if let Some(adapter) = &self.adapter
            && !path.starts_with("/peer/")
        {
            if adapter.is_health_check(&request.uri) {
                let status = match self.is_ready() {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                respond_text(responder, status, String::new());
                return;
            }
            match adapter
                .decode_management_request(&request)
                .zip(self.control.as_ref())
            {
                Some((Ok(command), control)) => {
                    control.handle_management_request(command, request, responder);
                    return;
                }
                Some((Err(response), _)) => {
                    responder.respond(response.status, response.headers, response.body);
                    return;
                }
                None => {}
            }
        }
        if path.starts_with("/peer/") {
            peer::handle(self, request, responder);
            return;
        }
        if path.starts_with("/v1/") {
            operator::handle(self, request, responder);
            return;
        }
        self.serve_public_page(path, responder);
    }

    /// Serves a page that requires no authentication.
    fn serve_public_page(&self, path: &str, responder: Responder) {
        match path {
            "/health" => respond_text(responder, StatusCode::OK, "alive\n".to_owned()),
            "/ready" if self.is_ready() => {
                respond_text(responder, StatusCode::OK, "ready\n".to_owned())
            }
            "/ready" => {
                respond_text(
                    responder,
                    StatusCode::SERVICE_UNAVAILABLE,
                    "not ready\n".to_owned(),
                );
            }
            "/metrics" => {
                gauges::update(self);
                let page = self.metrics.as_ref().map(PrometheusHandle::render);
                respond_text(responder, StatusCode::OK, page.unwrap_or_default());
            }
            _ => respond_text(
                responder,
                StatusCode::NOT_FOUND,
                "no such page\n".to_owned(),
            ),
        }
    }

    /// Whether all roles of the process are ready for work.
    pub fn is_ready(&self) -> bool {
        let entry = self
            .entry
            .as_ref()
            .is_none_or(|role| role.read(Entry::is_ready));
        let direct = self
            .direct
            .as_ref()
            .is_none_or(|role| role.read(direct::Direct::is_ready));
        let entry = entry && direct;
        let agent = self
            .agent
            .as_ref()
            .is_none_or(|role| role.read(Agent::is_ready));
        // Entries and agents work without control, so a lost quorum makes only a process without
        // these roles unready.
        let other = self.entry.is_some() || self.direct.is_some() || self.agent.is_some();
        let now = self.context.clock.now();
        let control = self
            .control
            .as_ref()
            .is_none_or(|role| role.read(|control| control.is_ready(now)));
        entry && agent && (other || control) && !self.draining.get()
    }

    /// Begins a graceful shutdown; [`Node::wait_drained`] waits for its end.
    pub fn drain(&self) {
        if self.draining.replace(true) {
            return;
        }
        self.context
            .timeline
            .record_event(Event::new(Code::ProcessStopping, ""));
        if let Some(entry) = &self.entry {
            entry.handle_input(eelgrassdyke_entry::Input::Drain);
        }
        if let Some(direct) = &self.direct {
            direct.drain();
        }
        if let Some(agent) = &self.agent {
            agent.handle_input(eelgrassdyke_agent::Input::Drain);
        }
        let control = self.settings.control_role.as_ref();
        if control.is_some_and(|settings| settings.grace_ms.is_some())
            && let Some(control) = &self.control
        {
            control.handle_input(eelgrassdyke_control::Input::Leave);
        }
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Waits until no request is in progress, the responses are written and the usage counters are
    /// replicated, or until the time limits pass or `is_interrupted` returns true.
    pub async fn wait_drained(&self, is_interrupted: impl Fn() -> bool) -> Shutdown {
        let started = self.context.clock.now();
        let entry = self.settings.entry_role.as_ref();
        let direct = entry.and_then(|entry| entry.direct.as_ref());
        let control = self.settings.control_role.as_ref();
        let graces = [
            direct.map(|direct| direct.grace_ms),
            control.and_then(|control| control.grace_ms),
        ];
        let grace = graces.into_iter().flatten().min();
        let grace = grace.map(|grace| Duration::from_millis(grace).mul_f64(GRACE_FRACTION));
        let limit = Duration::from_millis(self.settings.limits.drain_ms);
        let limit = grace.map_or(limit, |grace| grace.min(limit));
        // Responses to the requests that were received until the roles had nothing left to do. Later ones
        // are refused or belong to peers, whose messages never cease.
        let mut last_responses = None;
        let mut is_drained = || {
            let is_idle = self.is_idle();
            if is_idle && last_responses.is_none() {
                last_responses = Some(self.unwritten.split_off());
            }
            let is_written = (last_responses.as_ref()).is_some_and(|group| group.open() == 0);
            is_idle && is_written
        };
        while !is_drained() {
            if self.context.clock.now().since(started) >= limit || is_interrupted() {
                break;
            }
            monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let aborted = self.open_count();
        let last_responses = last_responses.map_or(0, |group| group.queued());
        let cut_off = last_responses + self.unwritten.latest().queued();
        let detail = format!("{aborted} requests aborted, {cut_off} responses cut off");
        if aborted + cut_off > 0 {
            // The process may be killed before the last event.
            let waited = self.context.clock.now().since(started).as_millis();
            log::warn!("stopping with unfinished work after {waited} ms: {detail}");
        }
        let drained_at = self.context.clock.now();
        while !self.is_usage_replicated()
            && self.context.clock.now().since(drained_at) < USAGE_REPORT_TIMEOUT
            && !is_interrupted()
        {
            monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.context
            .timeline
            .record_event(Event::new(Code::ProcessStopped, detail));
        Shutdown { aborted, cut_off }
    }

    fn is_idle(&self) -> bool {
        let entry = self
            .entry
            .as_ref()
            .is_none_or(|role| role.read(Entry::is_done));
        let now = self.context.clock.now();
        let direct = self
            .direct
            .as_ref()
            .is_none_or(|role| role.read(|core| core.is_done(now)));
        let agent = self
            .agent
            .as_ref()
            .is_none_or(|role| role.read(Agent::is_drained));
        let control = self
            .control
            .as_ref()
            .is_none_or(|role| role.read(|control| control.may_stop(now)));
        entry && direct && agent && control
    }

    fn is_usage_replicated(&self) -> bool {
        let entry = self
            .entry
            .as_ref()
            .is_none_or(|role| role.read(Entry::is_usage_replicated));
        let direct = self
            .direct
            .as_ref()
            .is_none_or(|role| role.read(direct::Direct::is_usage_replicated));
        let agent = self
            .agent
            .as_ref()
            .is_none_or(|role| role.read(Agent::is_usage_replicated));
        entry && direct && agent
    }

    fn open_count(&self) -> usize {
        let entry = self
            .entry
            .as_ref()
            .map_or(0, |role| role.read(Entry::open_requests));
        let direct = self
            .direct
            .as_ref()
            .map_or(0, |role| role.read(direct::Direct::open_requests));
        let agent = self
            .agent
            .as_ref()
            .map_or(0, |role| role.read(Agent::open_attempts));
        entry + direct + agent
    }

    /// The peers' secret.
    pub fn secret(&self) -> &PeerSecret {
        &self.secret
    }

    /// The operators' tokens.
    pub fn operator_tokens(&self) -> &OperatorTokens {
        &self.operator_tokens
    }

    /// The timeline.
    pub fn timeline(&self) -> &Timeline {
        &self.context.timeline
    }

    /// The entry role, if the process has it.
    pub fn entry(&self) -> Option<&Rc<role::entry::Role>> {
        self.entry.as_ref()
    }

    /// The direct path of the entry role, if the process has it.
    pub fn direct(&self) -> Option<&Rc<role::direct::Role>> {
        self.direct.as_ref()
    }

    /// The watch role, if the process has it.
    pub fn watch(&self) -> Option<&Rc<role::watch::Role>> {
        self.watch.as_ref()
    }

    /// The control role, if the process has it.
    pub fn control(&self) -> Option<&Rc<role::control::Role>> {
        self.control.as_ref()
    }

    /// The agent role, if the process has it.
    pub fn agent(&self) -> Option<&Rc<role::agent::Role>> {
        self.agent.as_ref()
    }

    /// The status of the process.
    pub fn status(&self) -> ProcessStatus {
        ProcessStatus {
            process: self.context.me.process.clone(),
            incarnation: self.context.me.incarnation,
            ready: self.is_ready(),
            open: self.open_count(),
            entry_version: self
                .entry
                .as_ref()
                .map(|role| role.read(Entry::version))
                .or(self
                    .direct
                    .as_ref()
                    .map(|role| role.read(direct::Direct::version))),
            agent_version: self
                .agent
                .as_ref()
                .map(|role| role.read(Agent::config_version)),
            control_version: self
                .control
                .as_ref()
                .map(|role| role.read(Control::version)),
        }
    }

    /// Time on the monotonic clock of the process.
    pub fn now(&self) -> Instant {
        self.context.clock.now()
    }

    /// The incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.context.me.incarnation
    }

    /// Address at which other processes reach this one.
    pub fn address(&self) -> SocketAddr {
        self.context.me.address
    }
}

fn build_context(settings: &Settings, shares: &Shares, me: Sender, secret: &PeerSecret) -> Context {
    let clock = Clock::default();
    let pool = Rc::new(Pool::with_connect_timeout(PEER_CONNECT_TIMEOUT));
    let timeline = Rc::new(Timeline::new(
        me.process.clone(),
        me.incarnation,
        clock,
        settings.log.event_capacity,
    ));
    let outboxes = Outboxes::new(me.clone(), secret, pool.clone(), timeline.clone());
    Context {
        me,
        clock,
        pool,
        outboxes,
        timeline,
        response_memory: shares.responses(),
    }
}

/// Binds a port. Uses the standard library's listener because it doesn't share the port with other
/// processes.
fn bind(address: SocketAddr, port: shares::Port) -> Result<StdListener> {
    let receive_buffer_bytes = Shares::receive_buffer_bytes(port);
    let fail = |error| Error::bind(address, error);
    let listener = StdListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    // Connections inherit it; without a limit the kernel enlarges the buffers of those that are not read.
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(receive_buffer_bytes) {
        log::warn!("can't limit the receive buffers at {address}: {error}");
    }
    Ok(listener)
}

fn local_address(listener: &StdListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(Error::Runtime)
}

fn into_async(listener: StdListener) -> Result<TcpListener> {
    TcpListener::from_std(listener).map_err(Error::Runtime)
}

fn respond_text(responder: Responder, status: StatusCode, body: String) {
    responder.respond(status, HeaderMap::new(), body);
}
