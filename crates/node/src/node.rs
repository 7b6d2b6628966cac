//! One process: its ports, its roles, and its graceful shutdown.

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

use crate::adapter::Adapter;
use crate::clock::Clock;
use crate::errors::{Error, Result};
use crate::http::pool::Pool;
use crate::http::server::{self, Request, Responder};
use crate::mail::Mail;
use crate::role::{self, Context};
use crate::secret::{Operators, Peer};
use crate::timeline::TimeLine;
use crate::{gauges, operator, peer};

/// Largest body that an entry reads; services may set lower limits.
const CALL_BYTES_MAX: usize = 32 << 20;

/// Largest body that is read of a caller that is neither a peer nor an operator.
const STRANGER_BYTES_MAX: usize = 16 << 10;

/// Largest configuration that an operator of a platform may send.
const PUBLICATION_BYTES_MAX: usize = 8 << 20;

/// Time between two looks at whether a shutdown has come to its end.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Part of the time until the platform kills a stopping process in which requests may go on.
const GRACE_PART: f64 = 0.95;

/// Longest wait for control to take the last page of the books.
const SETTLE_MAX: Duration = Duration::from_secs(3);

/// One process.
pub struct Node {
    settings: Settings,
    context: Context,
    secret: Peer,
    operators: Operators,
    entry: Option<Rc<role::entry::Role>>,
    direct: Option<Rc<role::direct::Role>>,
    control: Option<Rc<role::control::Role>>,
    agent: Option<Rc<role::agent::Role>>,
    watch: Option<Rc<role::watch::Role>>,
    adapter: Option<Rc<dyn Adapter>>,
    metrics: Option<PrometheusHandle>,
    draining: Cell<bool>,
}

eelgrassdyke_core::data! {
    /// What a process says of itself.
    #[derive(Eq)]
    pub struct Report {
        /// Its name.
        pub process: Process,
        /// Its present life.
        pub incarnation: Incarnation,
        /// Whether every role takes work.
        pub ready: bool,
        /// Requests and attempts in progress.
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
    /// Requests that were cut off.
    pub cut: usize,
}

/// The ports of a process, taken.
pub struct Ports {
    peers: StdListener,
    callers: Option<StdListener>,
    health: Option<StdListener>,
    metrics: Option<StdListener>,
}

impl Ports {
    /// Takes all ports that the settings name.
    fn take_all(settings: &Settings) -> Result<Self> {
        let entry = settings.entry_role.as_ref();
        let callers = entry.map(|entry| entry.listen);
        let health = entry
            .and_then(|entry| entry.direct.as_ref())
            .map(|direct| direct.health);
        let mut ports = Self::take(settings.listen, callers)?;
        ports.health = health.map(bind).transpose()?;
        ports.metrics = settings.metrics.map(bind).transpose()?;
        Ok(ports)
    }

    /// Takes the ports that the settings name; port 0 takes a free one.
    pub fn take(listen: SocketAddr, callers: Option<SocketAddr>) -> Result<Self> {
        let peers = bind(listen)?;
        let callers = callers.map(bind).transpose()?;
        Ok(Self {
            peers,
            callers,
            health: None,
            metrics: None,
        })
    }

    /// Where messages and operators' calls come in.
    pub fn peers(&self) -> Result<SocketAddr> {
        local(&self.peers)
    }

    /// Where callers connect, for a process with the entry role.
    pub fn callers(&self) -> Result<Option<SocketAddr>> {
        self.callers.as_ref().map(local).transpose()
    }
}

impl Node {
    /// Takes the ports of a process and starts its roles, within a running runtime.
    pub fn start(settings: Settings, metrics: Option<PrometheusHandle>) -> Result<Rc<Self>> {
        let ports = Ports::take_all(&settings)?;
        Self::start_on(ports, settings, metrics)
    }

    /// Starts the roles of a process on ports that were taken before.
    pub fn start_on(
        ports: Ports,
        settings: Settings,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Rc<Self>> {
        Self::launch(ports, settings, metrics, None)
    }

    /// Takes the ports of a process and starts its roles on a platform that `adapter` speaks for.
    pub fn start_on_platform(
        settings: Settings,
        metrics: Option<PrometheusHandle>,
        adapter: Rc<dyn Adapter>,
    ) -> Result<Rc<Self>> {
        let ports = Ports::take_all(&settings)?;
        Self::launch(ports, settings, metrics, Some(adapter))
    }

    fn launch(
        ports: Ports,
        settings: Settings,
        metrics: Option<PrometheusHandle>,
        adapter: Option<Rc<dyn Adapter>>,
    ) -> Result<Rc<Self>> {
        let address = ports.peers()?;
        let secret = match &settings.peer_secret_file {
            Some(path) => Peer::read(path)?,
            None => Peer::trusting(),
        };
        let operators = match &settings.operator_tokens_file {
            Some(path) => Operators::read(path)?,
            None => Operators::default(),
        };
        let me = Sender {
            process: settings.process.clone(),
            incarnation: Clock::incarnation(),
            address: settings.advertise.unwrap_or(address),
        };
        let context = context(&settings, me, &secret);
        let seed = rand::rng().random();
        let through_agents = |entry: &&settings::EntrySettings| entry.direct.is_none();
        let entry = settings.entry_role.as_ref().filter(through_agents);
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
            operators,
            entry,
            direct,
            control,
            agent,
            watch,
            adapter,
            metrics,
            draining,
        });
        let detail = match ports.callers()? {
            Some(callers) => format!("peers {address} callers {callers}"),
            None => format!("peers {address}"),
        };
        node.clone().serve(ports)?;
        node.context
            .timeline
            .note(Event::new(Code::ProcessStarted, detail));
        Ok(node)
    }

    /// Starts answering on the process's ports.
    fn serve(self: Rc<Self>, ports: Ports) -> Result<()> {
        let listener = listener(ports.peers)?;
        let limits = &self.settings.limits;
        let options = server::Options {
            connections: limits.connections,
            idle: Duration::from_millis(limits.idle_ms),
            body_max: BATCH_BYTES_MAX,
            close_cancels: true,
        };
        let node = self.clone();
        let handler = Rc::new(move |request, responder| node.handle(request, responder));
        let node = self.clone();
        let limit = Rc::new(move |headers: &HeaderMap| match node.is_known(headers) {
            true => BATCH_BYTES_MAX,
            // The platform's operators bear no token.
            false if node.adapter.is_some() => PUBLICATION_BYTES_MAX,
            false => STRANGER_BYTES_MAX,
        });
        monoio::spawn(server::serve_limited(listener, options, limit, handler));

        if let Some(health) = ports.health {
            let listener = self::listener(health)?;
            let node = self.clone();
            let handler = Rc::new(move |request, responder| node.handle(request, responder));
            monoio::spawn(server::serve(listener, options, handler));
        }
        if let Some(metrics) = ports.metrics {
            let listener = self::listener(metrics)?;
            let node = self.clone();
            let handler = Rc::new(move |request: Request, responder| {
                node.show(request.uri.path(), responder);
            });
            monoio::spawn(server::serve(listener, options, handler));
        }
        let Some(callers) = ports.callers else {
            return Ok(());
        };
        let listener = self::listener(callers)?;
        let options = server::Options {
            body_max: CALL_BYTES_MAX,
            // A caller of the direct path that closes has left: what it asked for is cancelled.
            close_cancels: self.direct.is_some(),
            ..options
        };
        if let Some(direct) = &self.direct {
            let direct = direct.clone();
            let handler = Rc::new(move |request, responder| direct.take_call(request, responder));
            monoio::spawn(server::serve(listener, options, handler));
            return Ok(());
        }
        let Some(entry) = &self.entry else {
            return Ok(());
        };
        let entry = entry.clone();
        let node = self.clone();
        let handler = Rc::new(
            move |request: Request, responder| match request.uri.path() {
                "/health" | "/ready" => node.handle(request, responder),
                _ => entry.take_call(request, responder),
            },
        );
        monoio::spawn(server::serve(listener, options, handler));
        Ok(())
    }

    /// Whether a request on the port for peers and operators comes from one of them.
    fn is_known(&self, headers: &HeaderMap) -> bool {
        peer::is_peer(self, headers) || operator::is_operator(self, headers)
    }

    /// Answers a request on the port for peers and operators.
    fn handle(&self, request: Request, responder: Responder) {
        let path = request.uri.path();
        if let Some(adapter) = &self.adapter
            && !path.starts_with("/peer/")
        {
            if adapter.is_health_check(&request.uri) {
                let status = match self.is_ready() {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                text(responder, status, String::new());
                return;
            }
            match adapter.manage(&request).zip(self.control.as_ref()) {
                Some((Ok(ask), control)) => {
                    control.take_ask(ask, request, responder);
                    return;
                }
                Some((Err(reply), _)) => {
                    responder.answer(reply.status, reply.headers, reply.body);
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
        self.show(path, responder);
    }

    /// Answers a question for a page that anyone may see.
    fn show(&self, path: &str, responder: Responder) {
        match path {
            "/health" => text(responder, StatusCode::OK, "alive\n".to_owned()),
            "/ready" if self.is_ready() => text(responder, StatusCode::OK, "ready\n".to_owned()),
            "/ready" => {
                text(
                    responder,
                    StatusCode::SERVICE_UNAVAILABLE,
                    "not ready\n".to_owned(),
                );
            }
            "/metrics" => {
                gauges::set(self);
                let page = self.metrics.as_ref().map(PrometheusHandle::render);
                text(responder, StatusCode::OK, page.unwrap_or_default());
            }
            _ => text(
                responder,
                StatusCode::NOT_FOUND,
                "no such page\n".to_owned(),
            ),
        }
    }

    /// Whether every role of the process takes work.
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
        // The data path goes on without control, so a lost quorum counts only where nothing else runs.
        let other = self.entry.is_some() || self.direct.is_some() || self.agent.is_some();
        let now = self.context.clock.now();
        let control = self
            .control
            .as_ref()
            .is_none_or(|role| role.read(|control| control.is_ready(now)));
        entry && agent && (other || control) && !self.draining.get()
    }

    /// Begins a graceful shutdown; [`Node::drained`] waits for its end.
    pub fn drain(&self) {
        if self.draining.replace(true) {
            return;
        }
        self.context
            .timeline
            .note(Event::new(Code::ProcessStopping, ""));
        if let Some(entry) = &self.entry {
            entry.feed(eelgrassdyke_entry::Input::Drain);
        }
        if let Some(direct) = &self.direct {
            direct.drain();
        }
        if let Some(agent) = &self.agent {
            agent.feed(eelgrassdyke_agent::Input::Drain);
        }
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Waits until nothing is in progress, or the drain limit or `hurry` cuts the rest off.
    pub async fn drained(&self, hurry: impl Fn() -> bool) -> Shutdown {
        let begun = self.context.clock.now();
        let entry = self.settings.entry_role.as_ref();
        let direct = entry.and_then(|entry| entry.direct.as_ref());
        let grace = direct.map(|direct| Duration::from_millis(direct.grace_ms).mul_f64(GRACE_PART));
        let limit = Duration::from_millis(self.settings.limits.drain_ms);
        let limit = grace.map_or(limit, |grace| grace.min(limit));
        while !self.is_done() {
            if self.context.clock.now().since(begun) >= limit || hurry() {
                break;
            }
            monoio::time::sleep(DRAIN_POLL).await;
        }
        let cut = self.open();
        let done = self.context.clock.now();
        while !self.is_settled() && self.context.clock.now().since(done) < SETTLE_MAX && !hurry() {
            monoio::time::sleep(DRAIN_POLL).await;
        }
        let detail = format!("{cut} requests cut off");
        self.context
            .timeline
            .note(Event::new(Code::ProcessStopped, detail));
        Shutdown { cut }
    }

    fn is_done(&self) -> bool {
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
        entry && direct && agent
    }

    fn is_settled(&self) -> bool {
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

    fn open(&self) -> usize {
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
    pub fn secret(&self) -> &Peer {
        &self.secret
    }

    /// The operators' tokens.
    pub fn operators(&self) -> &Operators {
        &self.operators
    }

    /// The time line.
    pub fn timeline(&self) -> &TimeLine {
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

    /// What the process says of itself.
    pub fn report(&self) -> Report {
        Report {
            process: self.context.me.process.clone(),
            incarnation: self.context.me.incarnation,
            ready: self.is_ready(),
            open: self.open(),
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

    /// Time on the process's monotonic clock.
    pub fn now(&self) -> Instant {
        self.context.clock.now()
    }

    /// The present life of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.context.me.incarnation
    }

    /// Where the process takes messages.
    pub fn address(&self) -> SocketAddr {
        self.context.me.address
    }
}

fn context(settings: &Settings, me: Sender, secret: &Peer) -> Context {
    let clock = Clock::default();
    let pool = Rc::new(Pool::default());
    let timeline = Rc::new(TimeLine::new(
        me.process.clone(),
        me.incarnation,
        clock,
        settings.log.event_capacity,
    ));
    let mail = Mail::new(me.clone(), secret, pool.clone(), timeline.clone());
    Context {
        me,
        clock,
        pool,
        mail,
        timeline,
    }
}

/// Takes a port; the standard library's listener shares it with no other process.
fn bind(address: SocketAddr) -> Result<StdListener> {
    let fail = |error| Error::bind(address, error);
    let listener = StdListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    Ok(listener)
}

fn local(listener: &StdListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(Error::Runtime)
}

fn listener(listener: StdListener) -> Result<TcpListener> {
    TcpListener::from_std(listener).map_err(Error::Runtime)
}

fn text(responder: Responder, status: StatusCode, body: String) {
    responder.answer(status, HeaderMap::new(), body);
}
