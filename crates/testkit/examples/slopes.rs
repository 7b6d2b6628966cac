//! Measures what processes cost as followers, servers and teams grow, for docs/CAPACITY.md.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example slopes`
//!
//! Real processes on loopback get the messages of made-up followers and agents over HTTP; a sink takes
//! their answers and counts the bytes. Processor time and memory are the kernel's.

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
use eelgrassdyke_testkit::site::{Options, Site};
use http::{HeaderMap, HeaderValue, StatusCode};
use monoio::net::TcpListener;

/// Length of each measurement.
const SPAN: Duration = Duration::from_secs(5);

/// Longest wait for a process to take a message.
const SEND_MAX: Duration = Duration::from_secs(2);

/// Teams put by one change.
const TEAMS_PER_CHANGE: u64 = 1000;

/// Secret of the trial's site.
const SECRET: &str = "trial-secret-of-all-processes";

fn main() -> Result<()> {
    let binary = std::env::args()
        .nth(1)
        .unwrap_or("target/release/eelgrassdyke".to_owned());
    eelgrassdyke_node::runtime::block_on(measure(PathBuf::from(binary))).map_err(Error::outside)?
}

async fn measure(binary: PathBuf) -> Result<()> {
    let folder = tempfile::tempdir().map_err(Error::outside)?;
    let options = Options {
        controls: 3,
        entries: 1,
        engines: 1,
        plains: 1,
        token_ms: 10,
    };
    let mut runner = Runner::start(&binary, folder.path(), options).await?;

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
        load_control(runner.site(), followers, servers).await?;
    }

    println!("teams  change ms  control cpu s  entry cpu s  control rss  entry rss");
    let mut teams = 0_u64;
    for target in [0, 10_000, 20_000, 38_000] {
        while teams < target {
            let next = (teams + TEAMS_PER_CHANGE).min(target);
            runner.put_teams(teams, next).await?;
            teams = next;
        }
        let before = times(runner.site());
        let begun = Instant::now();
        runner.change_everywhere().await?;
        let took = begun.elapsed();
        let after = times(runner.site());
        println!(
            "{target:>6} {:>9.1} {:>12.2} {:>12.2}  {}  {}",
            took.as_secs_f64() * 1000.0,
            after.0 - before.0,
            after.1 - before.1,
            memory(runner.site(), "control-1"),
            memory(runner.site(), "entry-1"),
        );
    }
    Ok(())
}

/// Sends questions and announcements of made-up processes, which hold what a real one would, once a second each for a while and prints what they cost.
async fn load_control(site: &Site, followers: usize, servers: usize) -> Result<()> {
    let target = site.process_address("control-1")?;
    let template = Rc::new(RefCell::new(Follower::new(
        &sender("template", 0, target),
        vec![target],
        true,
    )));
    let (address, taken) = sink(template.clone())?;
    let pool = Rc::new(Pool::default());
    let sent = Rc::new(Cell::new(0_u64));
    let before = cpu(site, "control-1");
    let begun = Instant::now();
    let mut second = 0;
    while begun.elapsed() < SPAN {
        second += 1;
        let mut messages = Vec::new();
        let question = template.borrow_mut().next_poll(now(begun));
        for at in 0..followers {
            let Some((_, follow)) = question.clone() else {
                continue;
            };
            messages.push((sender("follower", at, address), Message::Poll(follow)));
        }
        for at in 0..servers {
            messages.push((sender("agent", at, address), beat(at, second, address)));
        }
        let pause = Duration::from_secs(1) / (messages.len().max(1) as u32);
        for (at, (from, message)) in messages.into_iter().enumerate() {
            let due = begun + Duration::from_secs(second - 1) + pause * at as u32;
            monoio::time::sleep(due.saturating_duration_since(Instant::now())).await;
            let (pool, sent) = (pool.clone(), sent.clone());
            monoio::spawn(async move {
                let bytes = post(&pool, target, from, message).await;
                sent.set(sent.get() + bytes);
            });
        }
        let end = begun + Duration::from_secs(second);
        monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    }
    let span = begun.elapsed().as_secs_f64();
    let spent = cpu(site, "control-1") - before;
    println!(
        "{followers:>9} {servers:>8} {:>14.2} {:>11.0} {:>12.0}  {}",
        100.0 * spent / span,
        sent.get() as f64 / span,
        taken.get() as f64 / span,
        memory(site, "control-1"),
    );
    Ok(())
}

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
    request
        .headers
        .insert("x-eelgrassdyke-secret", HeaderValue::from_static(SECRET));
    match pool.call(to, request, SEND_MAX).await {
        Ok(_) => bytes,
        Err(_) => 0,
    }
}

/// Takes all messages that come and counts their bytes.
fn sink(template: Rc<RefCell<Follower>>) -> Result<(SocketAddr, Rc<Cell<u64>>)> {
    let listener = StdListener::bind("127.0.0.1:0").map_err(Error::outside)?;
    listener.set_nonblocking(true).map_err(Error::outside)?;
    let address = listener.local_addr().map_err(Error::outside)?;
    let listener = TcpListener::from_std(listener).map_err(Error::outside)?;
    let taken = Rc::new(Cell::new(0));
    let begun = Instant::now();
    let count = taken.clone();
    let handler = Rc::new(
        move |request: server::Request, responder: server::Responder| {
            count.set(count.get() + request.body.len() as u64);
            if let Ok(batch) = wire::decode::<Batch>(&request.body) {
                for message in batch.messages {
                    if let Message::Update(update) = message {
                        template
                            .borrow_mut()
                            .apply(now(begun), &batch.from.process, update);
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
    Ok((address, taken))
}

/// The time since `begun`, as cores count it.
fn now(begun: Instant) -> eelgrassdyke_core::time::Instant {
    eelgrassdyke_core::time::Instant(begun.elapsed().as_micros() as u64)
}

fn sender(kind: &str, at: usize, address: SocketAddr) -> Sender {
    let process: Process = format!("{kind}-{at}").parse().expect("the name is valid");
    Sender {
        process,
        incarnation: Incarnation(1),
        address,
    }
}

fn beat(at: usize, second: u64, address: SocketAddr) -> Message {
    let server: Server = format!("made-up-{at}").parse().expect("the name is valid");
    let row = ServerInfo {
        agent: format!("agent-{at}").parse().expect("the name is valid"),
        host: format!("host-{at}").parse().expect("the name is valid"),
        service: "made-up".parse().expect("the name is valid"),
        data_centre: "hobart".parse().expect("the name is valid"),
        server,
        incarnation: Incarnation(1),
        address,
        state: ServerState::Up,
        slots: 16,
        token_rate: TokenRate(600),
        applied_orders: Vec::new(),
    };
    let load = ServerLoad {
        running: (second % 16) as u32,
        ..ServerLoad::default()
    };
    Message::Heartbeat(Heartbeat {
        info: row,
        sequence: second,
        load,
    })
}

fn cpu(site: &Site, name: &str) -> f64 {
    let rows = site.processor_time();
    let row = rows.iter().find(|(process, ..)| process == name);
    row.map_or(0.0, |(_, time, _)| time.as_secs_f64())
}

fn times(site: &Site) -> (f64, f64) {
    (cpu(site, "control-1"), cpu(site, "entry-1"))
}

fn memory(site: &Site, name: &str) -> String {
    let rows = site.processor_time();
    let row = rows.into_iter().find(|(process, ..)| process == name);
    row.map_or(String::new(), |(.., memory)| memory)
}
