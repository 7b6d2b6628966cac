//! What the processes of a fleet meet: engines, servers that announce themselves, and an operator.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::http::server::{Request as Received, Responder};
use eelgrassdyke_node::runtime;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode, header};
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

/// Layers and experts of a layer of the engines' group.
const EXPERTS: (usize, usize) = (16, 258);

/// Engines and servers on threads of their own, until this is dropped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts the engines and servers of a fleet.
    pub fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        let (samples, addresses) = (fleet.samples.clone(), fleet.engine_addresses());
        let stopped = stop.clone();
        threads.push(thread::spawn(move || {
            let engines = async {
                let ranks = addresses.len();
                for (rank, address) in addresses.into_iter().enumerate() {
                    if let Err(error) = serve_engine(&samples["engine"], address, rank, ranks) {
                        eprintln!("engine {address}: {error}");
                    }
                }
                until_stopped(&stopped).await;
            };
            let _ = runtime::block_on(engines);
        }));
        let (samples, servers) = (fleet.samples["heartbeat"].clone(), fleet.servers());
        let (controls, engines) = (fleet.control_addresses(), fleet.engine_addresses().len());
        let services = [true, false].map(|has_engines| fleet.service(has_engines));
        let stopped = stop.clone();
        threads.push(thread::spawn(move || {
            let announcements = async {
                for (number, (server, address, zone)) in servers.into_iter().enumerate() {
                    let service = &services[usize::from(number >= engines)];
                    let fields = json!({
                        "server": server, "address": address, "zone": zone, "service": service,
                        "born": now_ms(), "sequence": 0,
                    });
                    let controls = controls.clone();
                    monoio::spawn(announce(samples.clone(), fields, controls, number));
                }
                until_stopped(&stopped).await;
            };
            let _ = runtime::block_on(announcements);
        }));
        Self { stop, threads }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

async fn until_stopped(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Serves the reads of one engine, an idle rank of a group with the experts assigned in turn.
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
    let handler = move |request: Received, responder: Responder| {
        let path = request
            .uri
            .path_and_query()
            .map_or("", |path| path.as_str());
        match bodies.get(path) {
            Some(body) => responder.respond(StatusCode::OK, json_headers(), body.clone()),
            None => responder.respond(StatusCode::ACCEPTED, json_headers(), "{}"),
        }
    };
    let listener = TcpListener::bind(address)?;
    eelgrassdyke_standin::serve(listener, Rc::new(handler))?;
    Ok(())
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
