//! Measures the replicated log over real folders: three replicas, each on a thread of its own, with
//! messages encoded as on the wire but without HTTP.
//!
//! `cargo run --release -p eelgrassdyke-node --example log_cost -- FOLDER`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant as Clock};

use eelgrassdyke_control::log::{Input, Job, Options, Output, RecoveredState, Replica};
use eelgrassdyke_control::store::Store;
use eelgrassdyke_core::id::Replica as Id;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire;
use eelgrassdyke_core::wire::log::Message;
use eelgrassdyke_node::disk::Folder;

/// Time over which each load is measured.
const SPAN: Duration = Duration::from_secs(4);

/// Size of a command, about that of a claim.
const COMMAND_BYTES: usize = 250;

/// What a replica's thread is handed.
enum Event {
    Mail(SocketAddr, Vec<u8>),
    Persisted(u64),
    Propose(u64, mpsc::Sender<bool>),
}

type Peers = BTreeMap<SocketAddr, mpsc::Sender<Event>>;

/// Proposals that wait, by token.
type Waiting = BTreeMap<u64, mpsc::Sender<bool>>;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder: PathBuf = std::env::args().nth(1).ok_or("name a folder")?.into();
    let addresses: Vec<SocketAddr> = (1..4).map(|n| ([10, 0, 0, n], 1).into()).collect();
    let bytes = Arc::new(AtomicU64::new(0));
    let (mut peers, mut queues) = (Peers::new(), Vec::new());
    for address in &addresses {
        let (sender, queue) = mpsc::channel();
        peers.insert(*address, sender);
        queues.push(queue);
    }
    for (address, queue) in addresses.iter().zip(queues) {
        let path = folder.join(address.ip().to_string());
        let (store, recovered) = Store::open(Folder::open(&path)?, Id(rand::random()))?;
        let options = Options {
            founders: addresses.clone(),
            timeout_seed: rand::random(),
            ..Options::default()
        };
        let (me, peers, bytes) = (*address, peers.clone(), bytes.clone());
        thread::spawn(move || run(me, store, recovered, options, &queue, &peers, &bytes));
    }
    let leader = find_leader(&peers);
    for clients in [1, 64] {
        measure(&peers[&leader], clients, &bytes);
    }
    Ok(())
}

/// Drives one replica; a second thread writes its folder.
fn run(
    me: SocketAddr,
    store: Store<Folder>,
    recovered: RecoveredState,
    options: Options,
    queue: &mpsc::Receiver<Event>,
    peers: &Peers,
    bytes: &AtomicU64,
) {
    let zero = Clock::now();
    let now = || Instant(zero.elapsed().as_micros() as u64);
    let mut out = Vec::new();
    let mut replica = Replica::new(Instant(0), me, recovered, options, &mut out);
    let jobs = start_writer(store, peers[&me].clone());
    let mut waiting = Waiting::new();
    loop {
        let span = replica.next_deadline().since(now());
        let event = queue.recv_timeout(span);
        let input = event.map_or(Input::Tick, |event| input(event, &mut waiting));
        replica.handle(now(), input, &mut out);
        let wants = |output: &Output| matches!(output, Output::RequestSnapshot);
        if out.iter().any(wants) {
            let data = vec![1; 1000];
            replica.handle(now(), Input::Snapshot { data }, &mut out);
        }
        for output in out.drain(..) {
            match output {
                Output::Send { to, message } => {
                    let body = wire::encode(&message).expect("it encodes");
                    bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
                    let _ = peers[&to].send(Event::Mail(me, body));
                }
                Output::Persist(job) => drop(jobs.send(job)),
                Output::Apply { token, .. } => answer(&mut waiting, token, true),
                Output::Refused { token, .. } | Output::OutcomeUnknown { token } => {
                    answer(&mut waiting, Some(token), false);
                }
                _ => {}
            }
        }
    }
}

fn start_writer(mut store: Store<Folder>, done: mpsc::Sender<Event>) -> mpsc::Sender<Job> {
    let (jobs, queue) = mpsc::channel::<Job>();
    thread::spawn(move || {
        while let Ok(first) = queue.recv() {
            let mut jobs = vec![first];
            jobs.extend(queue.try_iter());
            let last = jobs[jobs.len() - 1].number;
            store.write(&jobs).expect("the folder is written");
            let _ = done.send(Event::Persisted(last));
        }
    });
    jobs
}

fn input(event: Event, waiting: &mut Waiting) -> Input {
    match event {
        Event::Mail(from, body) => {
            let message: Message = wire::decode(&body).expect("it decodes");
            Input::Message { from, message }
        }
        Event::Persisted(job) => Input::Persisted { job },
        Event::Propose(token, answer) => {
            waiting.insert(token, answer);
            let command = vec![7; COMMAND_BYTES];
            Input::Propose { token, command }
        }
    }
}

fn answer(waiting: &mut Waiting, token: Option<u64>, accepted: bool) {
    if let Some(answer) = token.and_then(|token| waiting.remove(&token)) {
        let _ = answer.send(accepted);
    }
}

fn find_leader(peers: &Peers) -> SocketAddr {
    let mut token = u64::MAX;
    loop {
        for (address, peer) in peers {
            token -= 1;
            let (sender, receiver) = mpsc::channel();
            let _ = peer.send(Event::Propose(token, sender));
            if receiver.recv_timeout(Duration::from_millis(200)) == Ok(true) {
                return *address;
            }
        }
    }
}

/// Keeps `clients` commands in flight and prints what came of it.
fn measure(leader: &mpsc::Sender<Event>, clients: u64, bytes: &AtomicU64) {
    let before = bytes.load(Ordering::Relaxed);
    let begun = Clock::now();
    let mut threads = Vec::new();
    for client in 0..clients {
        let leader = leader.clone();
        let first = clients * 1_000_000_000 + client * 1_000_000;
        threads.push(thread::spawn(move || propose(&leader, begun, first)));
    }
    let mut spans = Vec::new();
    for thread in threads {
        spans.extend(thread.join().unwrap_or_default());
    }
    spans.sort_unstable();
    let count = spans.len();
    let at = |percent: usize| spans[(count - 1) * percent / 100];
    println!(
        "{clients} in flight: {:.0} commits a second, median {:?}, 99th percentile {:?}, \
         {} bytes a command between all replicas",
        count as f64 / SPAN.as_secs_f64(),
        at(50),
        at(99),
        (bytes.load(Ordering::Relaxed) - before) / count as u64,
    );
}

/// Proposes one command after the other; gives the time that each took.
fn propose(leader: &mpsc::Sender<Event>, begun: Clock, first: u64) -> Vec<Duration> {
    let mut spans = Vec::new();
    for token in first.. {
        if begun.elapsed() >= SPAN {
            break;
        }
        let (sender, receiver) = mpsc::channel();
        let sent = Clock::now();
        let _ = leader.send(Event::Propose(token, sender));
        if receiver.recv() == Ok(true) {
            spans.push(sent.elapsed());
        }
    }
    spans
}
