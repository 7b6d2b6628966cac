//! What the processes of a fleet meet: engines, servers that announce themselves, callers and an operator.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

use bytes::Bytes;
use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::http::server::{Request as Received, Responder};
use eelgrassdyke_node::runtime;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{Fleet, now_ms, template};
use crate::errors::{Error, Result};

/// Time between two heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// Longest wait for a response to a server or an operator.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a response to a configuration.
const PUT_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest and longest pause before an operator sends a configuration again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Redirections that an operator follows.
const REDIRECTIONS_MAX: usize = 2;

/// Time between two checks of whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait of a caller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after which an engine answers a caller's request.
const ANSWER_DELAY: Duration = Duration::from_secs(1);

/// Parts of prompts that several requests share.
const SHARED_PARTS: usize = 60;

/// Argument with which a program that plays a fleet serves the engines and servers of one; the file that
/// describes them follows.
pub const STANDINS_ARGUMENT: &str = "--stand-ins";

/// Layers and experts of a layer of the engines' group.
const EXPERTS: (usize, usize) = (16, 258);

/// What the engines and servers of a fleet need to know, for a process of their own.
#[derive(Debug, Deserialize, Serialize)]
struct Spec {
    samples: Value,
    engines: Vec<SocketAddr>,
    controls: Vec<SocketAddr>,
    /// Name, address and data centre of each server.
    servers: Vec<(String, SocketAddr, String)>,
    /// The service of the engines, and that of the other servers.
    services: [String; 2],
}

impl Spec {
    fn new(fleet: &Fleet) -> Self {
        let servers = fleet.servers().into_iter();
        Self {
            samples: fleet.samples.clone(),
            engines: fleet.engine_addresses(),
            controls: fleet.control_addresses(),
            servers: servers
                .map(|(server, address, zone)| (server, address, zone.to_owned()))
                .collect(),
            services: [true, false].map(|has_engines| fleet.service(has_engines)),
        }
    }
}

/// The engines and servers of a fleet, until this is dropped.
#[derive(Debug)]
pub enum Standins {
    /// On a thread of this process. Their sockets stay open until the process ends.
    Thread {
        /// Tells the thread to end.
        stop: Arc<AtomicBool>,
        /// The thread.
        thread: Option<thread::JoinHandle<()>>,
    },
    /// In a process of their own. When it is killed, all of them end at one moment and connections to them are
    /// refused.
    Process(Child),
}

impl Standins {
    /// Starts the engines and servers of a fleet on a thread.
    pub fn start(fleet: &Fleet) -> Self {
        let spec = Spec::new(fleet);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            if let Err(error) = serve(spec, &stopped) {
                eprintln!("engines and servers: {error}");
            }
        });
        Self::Thread {
            stop,
            thread: Some(thread),
        }
    }

    /// Starts them in a process of this program, which calls [`serve_standins`] for the argument
    /// [`STANDINS_ARGUMENT`].
    pub fn start_process(fleet: &Fleet, folder: &Path) -> Result<Self> {
        let path = folder.join("standins.json");
        let text = serde_json::to_vec(&Spec::new(fleet)).map_err(Error::harness)?;
        fs::write(&path, text).map_err(Error::harness)?;
        let program = env::current_exe().map_err(Error::harness)?;
        let child = Command::new(program)
            .arg(STANDINS_ARGUMENT)
            .arg(&path)
            .spawn()
            .map_err(Error::harness)?;
        Ok(Self::Process(child))
    }
}

impl Drop for Standins {
    fn drop(&mut self) {
        match self {
            Self::Thread { stop, thread } => {
                stop.store(true, Ordering::Relaxed);
                if let Some(thread) = thread.take() {
                    let _ = thread.join();
                }
            }
            Self::Process(child) => {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Serves the engines and servers that a file describes, until the process is killed.
pub fn serve_standins(path: &Path) -> Result<()> {
    let text = fs::read(path).map_err(Error::harness)?;
    let spec = serde_json::from_slice(&text).map_err(Error::harness)?;
    serve(spec, &AtomicBool::new(false))
}

fn serve(spec: Spec, stop: &AtomicBool) -> Result<()> {
    let all = async move {
        let ranks = spec.engines.len();
        for (rank, address) in spec.engines.iter().enumerate() {
            serve_engine(&spec.samples, *address, rank, ranks).map_err(Error::harness)?;
        }
        for (number, (server, address, zone)) in spec.servers.into_iter().enumerate() {
            let service = &spec.services[usize::from(number >= ranks)];
            let fields = json!({
                "server": server, "address": address, "zone": zone, "service": service,
                "born": now_ms(), "sequence": 0,
            });
            let sample = spec.samples["heartbeat"].clone();
            monoio::spawn(announce(sample, fields, spec.controls.clone(), number));
        }
        while !stop.load(Ordering::Relaxed) {
            monoio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        Ok(())
    };
    runtime::block_on(all).map_err(Error::harness)?
}

/// A thread of callers that send streams of new prompts to the entries, until this is dropped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that send `per_second` requests a second over all entries, on the routes of the engines'
    /// service.
    pub fn start(fleet: &Fleet, routes: Vec<String>, per_second: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, samples) = (stop.clone(), fleet.samples.clone());
        let entries = fleet.front_addresses();
        let interval = Duration::from_secs(1) / per_second;
        let thread = thread::spawn(move || {
            let calls = async move {
                let mut due = Instant::now();
                for number in 0_usize.. {
                    if stopped.load(Ordering::Relaxed) {
                        break;
                    }
                    let fields = json!({
                        "route": routes[number % routes.len()], "id": format!("{number:016x}"),
                        "shared": format!("{:08x}", number % SHARED_PARTS),
                        "own": format!("{:08x}", SHARED_PARTS + number),
                    });
                    let message = template::fill(&samples["request"], &fields);
                    let address = entries[number % entries.len()];
                    monoio::spawn(async move { drop(send_request(address, &message).await) });
                    due += interval;
                    monoio::time::sleep(due.saturating_duration_since(Instant::now())).await;
                }
            };
            let _ = runtime::block_on(calls);
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Sends one request on a connection of its own and waits for the response.
async fn send_request(address: SocketAddr, message: &Value) -> Answer {
    let path = message["path"].as_str().unwrap_or_default();
    let mut request = Request::post(path, vec![b'x'; 700]);
    request.headers = sample_headers(message);
    call(address, &request, REQUEST_TIMEOUT).await
}

/// Serves one engine, a rank of a group with the experts assigned in turn: its state, orders, which have no effect,
/// and callers' requests.
fn serve_engine(
    samples: &Value,
    address: SocketAddr,
    rank: usize,
    ranks: usize,
) -> std::io::Result<()> {
    let (layers, experts) = EXPERTS;
    let own: Vec<usize> = (rank..experts).step_by(ranks).collect();
    let fields = json!({
        "rank": rank, "ranks": ranks, "step": 1, "counts": vec![0; layers * experts],
        "experts": vec![own; layers],
    });
    let mut bodies: BTreeMap<String, Bytes> = BTreeMap::new();
    for (path, sample) in samples.as_object().into_iter().flatten() {
        let body = template::fill(sample, &fields).to_string();
        bodies.insert(path.clone(), body.into());
    }
    let answer = samples["answer"].clone();
    let handler = move |request: Received, responder: Responder| {
        let path = request
            .uri
            .path_and_query()
            .map_or("", |path| path.as_str());
        if let Some(body) = bodies.get(path) {
            responder.respond(StatusCode::OK, json_headers(), body.clone());
        } else if request.headers.contains_key(echoed_header(&answer)) {
            monoio::spawn(answer_later(answer.clone(), request.headers, responder));
        } else {
            responder.respond(StatusCode::ACCEPTED, json_headers(), "{}");
        }
    };
    let listener = TcpListener::bind(address)?;
    eelgrassdyke_standin::serve(listener, Rc::new(handler))?;
    Ok(())
}

/// Name of the header field that an engine returns as the caller sent it.
fn echoed_header(answer: &Value) -> &str {
    answer["echoed"].as_str().unwrap_or_default()
}

/// Answers a caller's request after [`ANSWER_DELAY`].
async fn answer_later(answer: Value, received: HeaderMap, responder: Responder) {
    monoio::time::sleep(ANSWER_DELAY).await;
    let mut headers = sample_headers(&answer);
    if let Ok(name) = HeaderName::try_from(echoed_header(&answer))
        && let Some(value) = received.get(&name)
    {
        headers.insert(name, value.clone());
    }
    let body = answer["body"].as_str().unwrap_or_default().to_owned();
    responder.respond(StatusCode::OK, headers, body);
}

/// Sends the heartbeats of one server; after a failure they go to the next control process.
async fn announce(samples: Value, mut fields: Value, controls: Vec<SocketAddr>, number: usize) {
    let pool = Pool::default();
    let mut target = number;
    let spread = HEARTBEAT_INTERVAL.mul_f64((number % 64) as f64 / 64.0);
    monoio::time::sleep(spread).await;
    for sequence in 1_u64.. {
        let due = Instant::now() + HEARTBEAT_INTERVAL;
        fields["sequence"] = json!(sequence);
        let message = template::fill(&samples, &fields);
        let path = message["path"].as_str().unwrap_or_default();
        for _ in 0..controls.len() {
            let request = json_request(path, message["body"].to_string().into());
            let address = controls[target % controls.len()];
            let call = pool.call(address, request, RESPONSE_TIMEOUT).await;
            if call.is_ok_and(|(status, _)| status.is_success()) {
                break;
            }
            target += 1;
        }
        monoio::time::sleep(due.saturating_duration_since(Instant::now())).await;
    }
}

/// The header fields of a sample message; those that HTTP doesn't allow are left out.
fn sample_headers(sample: &Value) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in sample["headers"].as_object().into_iter().flatten() {
        let value = HeaderValue::try_from(value.as_str().unwrap_or_default());
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), value) {
            headers.insert(name, value);
        }
    }
    headers
}

fn json_headers() -> HeaderMap {
    let value = HeaderValue::from_static("application/json");
    HeaderMap::from_iter([(CONTENT_TYPE, value)])
}

fn json_request(path: &str, body: Bytes) -> Request {
    let mut request = Request::post(path, body);
    request.headers = json_headers();
    request
}

/// Result of one request of an operator, after redirections.
pub type Answer = Result<(StatusCode, Bytes)>;

/// Sends an operator's request to a control process and follows redirections.
async fn call(address: SocketAddr, request: &Request, timeout: Duration) -> Answer {
    let exchange = async {
        let mut address = address;
        for _ in 0..=REDIRECTIONS_MAX {
            let mut connection = Connection::open(address).await.map_err(Error::harness)?;
            let sent = connection.send(request.clone()).await;
            sent.map_err(Error::harness)?;
            let response = connection.receive_response().await;
            let mut response = response.map_err(Error::harness)?;
            let body = response.read_to_end().await.map_err(Error::harness)?;
            let location = response.headers.get(header::LOCATION);
            let location = location
                .and_then(|location| location.to_str().ok()?.strip_prefix("http://"))
                .and_then(|location| location.split('/').next()?.parse().ok());
            match (response.status, location) {
                (StatusCode::TEMPORARY_REDIRECT, Some(location)) => address = location,
                (status, _) => return Ok((status, body)),
            }
        }
        Err(Error::harness("redirected too often"))
    };
    match monoio::time::timeout(timeout, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(Error::Timeout(format!("the response of {address}"))),
    }
}

/// Reads the configuration at one control process.
pub async fn read(samples: &Value, address: SocketAddr) -> Answer {
    let path = samples["get"].as_str().unwrap_or_default();
    call(address, &Request::get(path), RESPONSE_TIMEOUT).await
}

/// Whether an entry says that it is ready.
pub async fn is_ready(samples: &Value, address: SocketAddr) -> bool {
    let path = samples["readiness"].as_str().unwrap_or_default();
    let answer = call(address, &Request::get(path), RESPONSE_TIMEOUT).await;
    answer.is_ok_and(|(status, _)| status == StatusCode::OK)
}

/// Sends a configuration until it is confirmed, each time to the next control process.
pub async fn publish(
    samples: &Value,
    controls: &[SocketAddr],
    first: usize,
    body: &Bytes,
    limit: Duration,
) -> Result<()> {
    let path = samples["put"].as_str().unwrap_or_default();
    let request = json_request(path, body.clone());
    let deadline = Instant::now() + limit;
    let mut backoff = BACKOFF.0;
    for attempt in first.. {
        let address = controls[attempt % controls.len()];
        match call(address, &request, PUT_TIMEOUT).await {
            Ok((status, _)) if status.is_success() => return Ok(()),
            Ok((status, text)) if [400, 409, 412, 413, 422].contains(&status.as_u16()) => {
                let text = String::from_utf8_lossy(&text).into_owned();
                return Err(Error::expectation_failed(
                    "200",
                    format!("{status}: {text}"),
                ));
            }
            _ if Instant::now() >= deadline => break,
            _ => {}
        }
        monoio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
    Err(Error::Timeout(
        "the confirmation of a configuration".to_owned(),
    ))
}
