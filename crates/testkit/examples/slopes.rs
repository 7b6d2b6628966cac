//! Measures processor time and memory as the numbers of followers, servers and teams grow, for
//! docs/CAPACITY.md.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example slopes`
//!
//! Real processes on loopback receive the messages of simulated followers and agents over HTTP; a sink
//! receives the replies and counts their bytes. Processor time and memory are read from `/proc`.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Incarnation, Process, Server};
use eelgrassdyke_core::time::HybridTimestamp;
use eelgrassdyke_core::unit::TokenRate;
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::{self, Batch, Message, Sender};
use eelgrassdyke_node::http::client::Request;
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::http::server;
use eelgrassdyke_testkit::errors::{Error, Result};
use eelgrassdyke_testkit::scenario::run::Runner;
use eelgrassdyke_testkit::site::{Deployment, Options};
use http::{HeaderMap, HeaderValue, StatusCode};
use monoio::net::TcpListener;

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(5);

/// Longest wait for a process to accept a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Teams written by one change.
const TEAMS_PER_CHANGE: u64 = 1000;

/// Peer secret of the deployment.
const PEER_SECRET: &str = "trial-secret-of-all-processes";

fn main() -> Result<()> {
    let binary = std::env::args()
        .nth(1)
        .unwrap_or("target/release/eelgrassdyke".to_owned());
    eelgrassdyke_node::runtime::block_on(measure(PathBuf::from(binary))).map_err(Error::harness)?
}

async fn measure(binary: PathBuf) -> Result<()> {
    let folder = tempfile::tempdir().map_err(Error::harness)?;
    let options = Options {
        controls: 3,
        entries: 1,
        engines: 1,
        plain_services: 1,
        token_ms: 10,
    };
    let mut runner = Runner::start(binary.as_path(), folder.path(), options).await?;

    println!("followers  beats/s  control cpu %  bytes in/s  bytes out/s  rss");
    for (followers, servers) in [
        (0, 0),
        (200, 0),
        (400, 0),
        (0, 500),
        (0, 1000),
        (0, 2900),
        (400, 2900),
    ] {
        load_control(runner.deployment(), followers, servers).await?;
    }

    println!("teams  change ms  control cpu s  entry cpu s  control rss  entry rss");
    let mut teams = 0_u64;
    for target in [0, 10_000, 20_000, 38_000] {
        while teams < target {
            let next = (teams + TEAMS_PER_CHANGE).min(target);
            runner.put_teams(teams, next).await?;
            teams = next;
        }
        let before = processor_times_s(runner.deployment());
        let started = Instant::now();
        runner.submit_and_wait_applied().await?;
        let elapsed = started.elapsed();
        let after = processor_times_s(runner.deployment());
        println!(
            "{target:>6} {:>9.1} {:>12.2} {:>12.2}  {}  {}",
            elapsed.as_secs_f64() * 1000.0,
            after.0 - before.0,
            after.1 - before.1,
            memory(runner.deployment(), "control-1"),
            memory(runner.deployment(), "entry-1"),
        );
    }
    Ok(())
}

/// Sends the polls and heartbeats of simulated followers and agents to a control process, each once per
/// second, and prints the cost. The polls acknowledge the updates received so far, as a real follower's
/// do.
async fn load_control(deployment: &Deployment, followers: usize, servers: usize) -> Result<()> {
    let target = deployment.listen_address("control-1")?;
    let template = Rc::new(RefCell::new(Follower::new(
        &sender("template", 0, target),
        vec![target],
        true,
    )));
    let (sink_address, received_bytes) = start_sink(template.clone())?;
    let pool = Rc::new(Pool::default());
    let sent_bytes = Rc::new(Cell::new(0_u64));
    let before = processor_time_s(deployment, "control-1");
    let started = Instant::now();
    let mut second = 0;
    while started.elapsed() < MEASUREMENT_DURATION {
        second += 1;
        let mut messages = Vec::new();
        let poll = template.borrow_mut().next_poll(elapsed_instant(started));
        for index in 0..followers {
            let Some((_, poll)) = poll.clone() else {
                continue;
            };
            messages.push((sender("follower", index, sink_address), Message::Poll(poll)));
        }
        for index in 0..servers {
            messages.push((
                sender("agent", index, sink_address),
                heartbeat(index, second, sink_address),
            ));
        }
        let interval = Duration::from_secs(1) / (messages.len().max(1) as u32);
        for (index, (from, message)) in messages.into_iter().enumerate() {
            let due = started + Duration::from_secs(second - 1) + interval * index as u32;
            monoio::time::sleep(due.saturating_duration_since(Instant::now())).await;
            let (pool, sent_bytes) = (pool.clone(), sent_bytes.clone());
            monoio::spawn(async move {
                let bytes = post(&pool, target, from, message).await;
                sent_bytes.set(sent_bytes.get() + bytes);
            });
        }
        let end = started + Duration::from_secs(second);
        monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let processor_time_s = processor_time_s(deployment, "control-1") - before;
    println!(
        "{followers:>9} {servers:>8} {:>14.2} {:>11.0} {:>12.0}  {}",
        100.0 * processor_time_s / elapsed_s,
        sent_bytes.get() as f64 / elapsed_s,
        received_bytes.get() as f64 / elapsed_s,
        memory(deployment, "control-1"),
    );
    Ok(())
}

/// Posts a message as a batch of its own; returns the size of its body, or 0 if it was not sent.
async fn post(pool: &Pool, to: SocketAddr, from: Sender, message: Message) -> u64 {
    let stamp = HybridTimestamp::default();
    let batch = Batch {
        from,
        stamp,
        messages: vec![message],
    };
    let Ok(body) = wire::encode(&batch) else {
        return 0;
    };
    let bytes = body.len() as u64;
    let mut request = Request::post("/peer/mail", body);
    request.headers.insert(
        "x-eelgrassdyke-secret",
        HeaderValue::from_static(PEER_SECRET),
    );
    match pool.call(to, request, SEND_TIMEOUT).await {
        Ok(_) => bytes,
        Err(_) => 0,
    }
}

/// Starts a server that counts the bytes of all messages and applies updates to `template`.
fn start_sink(template: Rc<RefCell<Follower>>) -> Result<(SocketAddr, Rc<Cell<u64>>)> {
    let listener = StdListener::bind("127.0.0.1:0").map_err(Error::harness)?;
    listener.set_nonblocking(true).map_err(Error::harness)?;
    let address = listener.local_addr().map_err(Error::harness)?;
    let listener = TcpListener::from_std(listener).map_err(Error::harness)?;
    let received_bytes = Rc::new(Cell::new(0));
    let started = Instant::now();
    let counter = received_bytes.clone();
    let handler = Rc::new(
        move |request: server::Request, responder: server::Responder| {
            counter.set(counter.get() + request.body.len() as u64);
            if let Ok(batch) = wire::decode::<Batch>(&request.body) {
                for message in batch.messages {
                    if let Message::Update(update) = message {
                        template.borrow_mut().apply(
                            elapsed_instant(started),
                            &batch.from.process,
                            update,
                        );
                    }
                }
            }
            responder.respond(StatusCode::NO_CONTENT, HeaderMap::new(), "");
        },
    );
    let options = server::Options {
        body_bytes_max: 64 << 20,
        ..server::Options::default()
    };
    monoio::spawn(server::serve(listener, options, handler));
    Ok((address, received_bytes))
}

/// Time since `started` in the form that the state machines use.
fn elapsed_instant(started: Instant) -> eelgrassdyke_core::time::Instant {
    eelgrassdyke_core::time::Instant(started.elapsed().as_micros() as u64)
}

fn sender(kind: &str, index: usize, address: SocketAddr) -> Sender {
    let process: Process = format!("{kind}-{index}")
        .parse()
        .expect("the name is valid");
    Sender {
        process,
        incarnation: Incarnation(1),
        address,
    }
}

fn heartbeat(index: usize, second: u64, address: SocketAddr) -> Message {
    let server: Server = format!("made-up-{index}")
        .parse()
        .expect("the name is valid");
    let info = ServerInfo {
        agent: format!("agent-{index}").parse().expect("the name is valid"),
        host: format!("host-{index}").parse().expect("the name is valid"),
        service: "made-up".parse().expect("the name is valid"),
        data_centre: "hobart".parse().expect("the name is valid"),
        server,
        incarnation: Incarnation(1),
        address,
        state: ServerState::Up,
        slots: 16,
        token_rate: TokenRate(600),
        is_cold: false,
        applied_orders: Vec::new(),
    };
    let load = ServerLoad {
        running: (second % 16) as u32,
        ..ServerLoad::default()
    };
    Message::Heartbeat(Heartbeat {
        info,
        sequence: second,
        load,
    })
}

/// Processor time of a process, in seconds.
fn processor_time_s(deployment: &Deployment, name: &str) -> f64 {
    let rows = deployment.resource_usage();
    let row = rows.iter().find(|(process, ..)| process == name);
    row.map_or(0.0, |(_, time, _)| time.as_secs_f64())
}

/// Processor time of a control process and of an entry, in seconds.
fn processor_times_s(deployment: &Deployment) -> (f64, f64) {
    (
        processor_time_s(deployment, "control-1"),
        processor_time_s(deployment, "entry-1"),
    )
}

/// Resident memory of a process, as `/proc` prints it.
fn memory(deployment: &Deployment, name: &str) -> String {
    let rows = deployment.resource_usage();
    let row = rows.into_iter().find(|(process, ..)| process == name);
    row.map_or(String::new(), |(.., memory)| memory)
}
