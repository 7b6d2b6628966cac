//! Plays a loss of disks and processes right after a confirmed configuration, or the end of all servers.
//!
//! The operator then reads the configuration at each control process in turn. It must get the newest
//! confirmed one, byte for byte and never an older one, and the entries must be ready again, each within
//! the bounds that the users' pages state.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use nix::sys::signal::Signal;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::clients::{self, Callers, Standins};
use super::disturbance::Disturbance;
use super::{Event, Fleet, Role, Size, now_ms, template};
use crate::errors::{Error, Result};

/// Bound on the first read of the newest configuration: twice `contact_ms`.
pub const READ_BOUND: Duration = Duration::from_secs(10);

/// Bound on the readiness of all entries: `recovery_s`.
pub const READY_BOUND: Duration = Duration::from_secs(15);

/// Time after which a run that has not recovered is given up.
const OBSERVATION: Duration = Duration::from_secs(40);

/// Time for which the operator reads on after the first answer.
const FURTHER_READS: Duration = Duration::from_secs(2);

/// Longest wait for the confirmation of a configuration before the fault.
const PUBLISH_LIMIT: Duration = Duration::from_secs(30);

/// Spread of the starts of processes that start together.
const START_SPREAD_MS: u64 = 300;

/// `catch_up_s`: time after which a process whose disk was lost counts as repaired.
const CATCH_UP: Duration = Duration::from_secs(6);

/// `grace_s`: time between a request to stop and the kill.
const GRACE: Duration = Duration::from_secs(8);

/// Time between two probes of an entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Events that a run counts.
const COUNTED: [u64; 9] = [109, 111, 200, 201, 202, 209, 210, 211, 228];

/// Events that tell of a lost leader: a replica has stepped down, lost its quorum or failed to be elected.
const LEADER_LOST: [u64; 3] = [201, 202, 211];

/// `contact_ms`: time after a fault from which processes count as undisturbed.
const CONTACT: Duration = Duration::from_secs(5);

/// Time for which callers send requests before all servers end.
const TRAFFIC: Duration = Duration::from_secs(4);

/// Pause of the operator between two reads after all servers have ended.
const BETWEEN_READS: Duration = Duration::from_millis(100);

/// Time for which the operator reads after all servers have ended.
const READS: Duration = Duration::from_secs(20);

/// The last fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Two disks are lost while all control processes are killed.
    DisksAndControls,
    /// Two disks are lost while all processes are killed.
    DisksAndAll,
    /// All processes are killed; their disks are kept.
    All,
    /// All servers end while callers' requests run; the processes go on.
    Servers,
}

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of all choices.
    pub seed: u64,
    /// Number of processes.
    pub size: Size,
    /// Routes of a configuration.
    pub routes: usize,
    /// Writers that sync files beside the processes.
    pub disk_load: usize,
    /// Threads that keep a core busy.
    pub core_load: usize,
    /// Share of the time for which control processes run after the fault; 1 if they are not suspended.
    pub run_share: f64,
    /// Control processes whose output nobody reads after the fault.
    pub unread_outputs: usize,
    /// The last fault; drawn if none.
    pub fault: Option<Fault>,
    /// Whether faults precede the last one; drawn if none.
    pub series: Option<bool>,
    /// Requests a second of the callers before all servers end.
    pub requests_per_s: u32,
}

/// What a run showed. Times count from the last start of a process.
#[derive(Debug)]
pub struct Outcome {
    /// The last fault.
    pub fault: Fault,
    /// Whether faults preceded it.
    pub series: bool,
    /// Configurations confirmed before the fault.
    pub confirmed: u64,
    /// Bytes of the last one.
    pub configuration_bytes: usize,
    /// Time of the first election of a leader, in milliseconds; negative if before the last start.
    pub first_leader_ms: Option<i64>,
    /// Time at which the first leader was ready, in milliseconds.
    pub leader_ready_ms: Option<i64>,
    /// First read of the newest configuration.
    pub first_read: Option<Duration>,
    /// Reads that were answered after the first, or after `contact_ms` where all servers end.
    pub later_reads: (usize, usize),
    /// Time of readiness of each entry, in order; entries that were not ready are absent.
    pub ready: Vec<Duration>,
    /// Number of the entries.
    pub entries: usize,
    /// Reads of a configuration that is older or was never sent.
    pub wrong_reads: Vec<String>,
    /// Processes that ended by themselves.
    pub ended: Vec<String>,
    /// Counts of events by number since the fault.
    pub events: BTreeMap<u64, usize>,
    /// Refused reads by reason.
    pub refusals: BTreeMap<String, usize>,
    /// Processor time of each control process since its start, and the time for which it waited for a
    /// processor.
    pub processor_times: Vec<(Duration, Duration)>,
    /// Longest stall of a control process, in milliseconds.
    pub longest_stall_ms: u64,
    /// Resident memory and the sum of its peaks, in MB.
    pub memory_mb: (u64, u64),
}

impl Outcome {
    /// Broken bounds and promises.
    pub fn failures(&self) -> Vec<String> {
        let mut failures = self.wrong_reads.clone();
        match self.first_read {
            Some(after) if after <= READ_BOUND => {}
            after => failures.push(format!("first read after {after:?}, bound {READ_BOUND:?}")),
        }
        let on_time = self.ready.iter().filter(|after| **after <= READY_BOUND);
        let on_time = on_time.count();
        if on_time < self.entries {
            failures.push(format!(
                "{on_time} of {} entries ready within {READY_BOUND:?}",
                self.entries
            ));
        }
        for name in &self.ended {
            failures.push(format!("{name} ended by itself"));
        }
        if self.fault == Fault::Servers {
            let (answered, reads) = self.later_reads;
            if answered < reads {
                failures.push(format!(
                    "{} of {reads} reads were not answered later than {CONTACT:?} after the fault",
                    reads - answered
                ));
            }
            let lost = LEADER_LOST.iter().filter_map(|code| self.events.get(code));
            let lost: usize = lost.sum();
            if lost > 0 {
                failures.push(format!(
                    "{lost} events of a lost leader, though no control process was disturbed"
                ));
            }
        }
        failures
    }
}

/// Configurations that the operator sent, by version.
#[derive(Default)]
struct Sent {
    bodies: BTreeMap<u64, Bytes>,
    confirmed: u64,
}

/// A run in progress.
struct Run {
    fleet: Fleet,
    rng: ChaCha8Rng,
    sent: Rc<RefCell<Sent>>,
    wrong_reads: Rc<RefCell<Vec<String>>>,
    options: Options,
    routes: Vec<Value>,
}

/// Plays one run with processes of `binary`; files are written below `folder`.
pub async fn play(
    binary: &Path,
    deploy: &Path,
    folder: &Path,
    network: u8,
    options: Options,
) -> Result<Outcome> {
    let fleet = Fleet::new(binary, deploy, folder, network, options.size)?;
    let mut run = Run {
        fleet,
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        sent: Rc::default(),
        wrong_reads: Rc::default(),
        options,
        routes: Vec::new(),
    };
    let drawn = [Fault::DisksAndControls, Fault::DisksAndAll, Fault::All];
    let fault = drawn.choose(&mut run.rng).copied().unwrap_or(Fault::All);
    let fault = options.fault.unwrap_or(fault);
    let series = options.series.unwrap_or(run.rng.random_bool(0.4));
    let all: Vec<usize> = (0..run.fleet.members.len()).collect();
    let standins = match fault {
        Fault::Servers => Standins::start_process(&run.fleet, folder)?,
        _ => Standins::start(&run.fleet),
    };
    run.start(&all, true).await?;
    run.publish_next().await?;
    let ready = probe_entries(&run.fleet, Instant::now(), OBSERVATION).await;
    if ready.len() < options.size.entries {
        return Err(Error::Timeout("the readiness of all entries".to_owned()));
    }
    let mut disturbance = Disturbance::default();
    for number in 0..options.disk_load {
        disturbance.load_disk(folder, number)?;
    }
    for _ in 0..options.core_load {
        disturbance.load_core();
    }
    let storm = run.rng.random_range(4..=10);
    for _ in 0..storm {
        run.publish_next().await?;
        let gap = run.rng.random_range(100..=500);
        monoio::time::sleep(Duration::from_millis(gap)).await;
    }
    if series {
        run.play_series().await?;
    }
    run.publish_next().await?;
    if options.run_share < 1.0 {
        for index in run.fleet.with_role(Role::Control) {
            let name = run.fleet.members[index].name.clone();
            let seed = options.seed + index as u64;
            disturbance.suspend(&run.fleet.pids, &name, options.run_share, seed);
        }
    }
    run.fleet.unread_outputs = options.unread_outputs;
    let outcome = match fault {
        Fault::Servers => run.play_end_of_servers(standins, series).await,
        _ => run.play_last_fault(fault, series).await,
    };
    drop(disturbance);
    outcome
}

impl Run {
    fn controls(&self) -> Vec<SocketAddr> {
        self.fleet.control_addresses()
    }

    /// Starts members in random order, spread over a random time; returns the time of the last start.
    async fn start(&mut self, members: &[usize], bootstrap: bool) -> Result<Instant> {
        let spread = self.rng.random_range(0..=START_SPREAD_MS);
        let mut starts: Vec<(u64, usize)> = Vec::new();
        for index in members {
            starts.push((self.rng.random_range(0..=spread), *index));
        }
        starts.sort_unstable();
        let begun = Instant::now();
        for (due, index) in starts {
            let wait = Duration::from_millis(due).saturating_sub(begun.elapsed());
            monoio::time::sleep(wait).await;
            self.fleet.start(index, bootstrap)?;
        }
        Ok(Instant::now())
    }

    /// Changes some routes and publishes them as the next version.
    async fn publish_next(&mut self) -> Result<()> {
        let sample = self.fleet.samples["route"].clone();
        let services = [true, false].map(|has_engines| self.fleet.service(has_engines));
        let service = |rng: &mut ChaCha8Rng| &services[usize::from(!rng.random_bool(0.5))];
        let mut changed: Vec<usize> = (self.routes.len()..self.options.routes).collect();
        for _ in 0..self.rng.random_range(1..=50) {
            changed.push(self.rng.random_range(0..self.options.routes));
        }
        for index in changed {
            let fields = json!({
                "route": format!("r-{index:05}"), "service": service(&mut self.rng),
                "timeout_ms": self.rng.random_range(3000..=8000),
            });
            let route = template::fill(&sample, &fields);
            match self.routes.get_mut(index) {
                Some(old) => *old = route,
                None => self.routes.push(route),
            }
        }
        let version = {
            let sent = self.sent.borrow();
            let last = sent.bodies.keys().next_back().copied();
            last.unwrap_or(0) + self.rng.random_range(1..=5)
        };
        let fields = json!({ "version": version, "routes": self.routes });
        let body = template::fill(&self.fleet.samples["configuration"], &fields).to_string();
        let body = Bytes::from(body);
        self.sent.borrow_mut().bodies.insert(version, body.clone());
        let first = self.rng.random_range(0..self.options.size.controls);
        let controls = self.controls();
        clients::publish(&self.fleet.samples, &controls, first, &body, PUBLISH_LIMIT).await?;
        self.sent.borrow_mut().confirmed = version;
        Ok(())
    }

    /// Number of the control process that became leader last.
    fn leader(&self) -> usize {
        let events = self.fleet.events_since(0);
        let last = events.iter().rfind(|event| event.code == 200);
        let name = last.map_or("", |event| event.process.as_str());
        let members = &self.fleet.members;
        members
            .iter()
            .position(|member| member.name == name)
            .unwrap_or(0)
    }

    /// A disk is lost and repaired, the leader is suspended, control processes restart one after the other.
    async fn play_series(&mut self) -> Result<()> {
        let lost = self.rng.random_range(0..self.options.size.controls);
        self.fleet.kill(&[lost]);
        self.fleet.remove_data(lost)?;
        self.publish_next().await?;
        let down = self.rng.random_range(500..=2000);
        monoio::time::sleep(Duration::from_millis(down)).await;
        self.start(&[lost], false).await?;
        let started = Instant::now();
        let leader = self.leader();
        self.fleet.signal(leader, Signal::SIGSTOP);
        self.publish_next().await?;
        let suspended = self.rng.random_range(500..=3000);
        monoio::time::sleep(Duration::from_millis(suspended)).await;
        self.fleet.signal(leader, Signal::SIGCONT);
        self.publish_next().await?;
        let repair = (2 * CATCH_UP).saturating_sub(started.elapsed());
        monoio::time::sleep(repair).await;
        for index in self.fleet.with_role(Role::Control) {
            self.fleet.signal(index, Signal::SIGTERM);
            self.publish_next().await?;
            self.fleet.reap(index, GRACE);
            let down = self.rng.random_range(500..=1500);
            monoio::time::sleep(Duration::from_millis(down)).await;
            self.start(&[index], false).await?;
            self.publish_next().await?;
        }
        monoio::time::sleep(Duration::from_millis(self.rng.random_range(0..=3000))).await;
        Ok(())
    }

    async fn play_last_fault(mut self, fault: Fault, series: bool) -> Result<Outcome> {
        let controls = self.fleet.with_role(Role::Control);
        let killed = match fault {
            Fault::DisksAndControls => controls.clone(),
            _ => (0..self.fleet.members.len()).collect(),
        };
        let fault_ms = now_ms();
        self.fleet.kill(&killed);
        if fault != Fault::All {
            let mut lost = controls.clone();
            lost.shuffle(&mut self.rng);
            for index in lost.iter().take((controls.len() - 1) / 2) {
                self.fleet.remove_data(*index)?;
            }
        }
        let down = self.rng.random_range(500..=2000);
        monoio::time::sleep(Duration::from_millis(down)).await;
        let last_start = self.start(&killed, false).await?;
        let last_start_ms = now_ms();
        let first_read = self.read_until_answered(last_start);
        let ready = probe_entries(&self.fleet, last_start, OBSERVATION);
        let ((first_read, later_reads), ready) = futures_util::join!(first_read, ready);
        self.outcome(
            (fault, series),
            (fault_ms, last_start_ms),
            (first_read, later_reads),
            ready,
        )
    }

    /// All servers end while requests run; then the operator reads at each control process in turn.
    async fn play_end_of_servers(mut self, standins: Standins, series: bool) -> Result<Outcome> {
        let service = self.fleet.service(true);
        let routes = self.routes.iter();
        let routes = routes.filter(|route| route["service"] == service.as_str());
        let routes: Vec<String> = routes
            .filter_map(|route| Some(route["name"].as_str()?.to_owned()))
            .collect();
        let callers = Callers::start(&self.fleet, routes, self.options.requests_per_s);
        monoio::time::sleep(TRAFFIC).await;
        let (fault_at, fault_ms) = (Instant::now(), now_ms());
        drop(standins);
        drop(callers);
        let mut reads = (0, 0);
        let mut first = None;
        for address in self.controls().iter().cycle() {
            let started = fault_at.elapsed();
            if started >= READS {
                break;
            }
            let answer = clients::read(&self.fleet.samples, *address).await;
            let is_answered = matches!(answer, Ok((StatusCode::OK, _)));
            if let Ok((StatusCode::OK, body)) = answer {
                self.check_read(*address, &body);
                first.get_or_insert(fault_at.elapsed());
            }
            if started >= CONTACT {
                reads.1 += 1;
                reads.0 += usize::from(is_answered);
            }
            monoio::time::sleep(BETWEEN_READS).await;
        }
        let ready = probe_entries(&self.fleet, Instant::now(), READY_BOUND).await;
        self.outcome(
            (Fault::Servers, series),
            (fault_ms, fault_ms),
            (first, reads),
            ready,
        )
    }

    /// What the run showed since the fault.
    fn outcome(
        &mut self,
        (fault, series): (Fault, bool),
        (fault_ms, last_start_ms): (u64, u64),
        (first_read, later_reads): (Option<Duration>, (usize, usize)),
        ready: Vec<Duration>,
    ) -> Result<Outcome> {
        let controls = self.fleet.with_role(Role::Control);
        let memory_mb = self.fleet.memory_mb();
        let processor_times = controls.iter();
        let processor_times = processor_times.filter_map(|index| self.fleet.processor_time(*index));
        let processor_times = processor_times.collect();
        let mut ended = Vec::new();
        for index in 0..self.fleet.members.len() {
            if self.fleet.has_ended(index) {
                ended.push(self.fleet.members[index].name.clone());
            }
        }
        let events = self.fleet.events_since(fault_ms);
        let first_ms = |code| {
            let event = events.iter().find(|event: &&Event| event.code == code);
            event.map(|event| event.at_ms as i64 - last_start_ms as i64)
        };
        let sent = self.sent.borrow();
        let mut outcome = Outcome {
            fault,
            series,
            confirmed: sent.confirmed,
            configuration_bytes: sent.bodies.get(&sent.confirmed).map_or(0, Bytes::len),
            first_leader_ms: first_ms(200),
            leader_ready_ms: first_ms(210),
            first_read,
            later_reads,
            ready,
            entries: self.options.size.entries,
            wrong_reads: self.wrong_reads.take(),
            ended,
            events: BTreeMap::new(),
            refusals: BTreeMap::new(),
            processor_times,
            longest_stall_ms: 0,
            memory_mb,
        };
        for event in &events {
            if COUNTED.contains(&event.code) {
                *outcome.events.entry(event.code).or_default() += 1;
            }
            if event.code == 109 {
                let late_ms = event.logged["facts"]["late_ms"].as_u64().unwrap_or(0);
                outcome.longest_stall_ms = outcome.longest_stall_ms.max(late_ms);
            }
            if event.code == 228 {
                let reason = event.logged["detail"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned();
                *outcome.refusals.entry(reason).or_default() += 1;
            }
        }
        Ok(outcome)
    }

    /// Reads the configuration at each control process in turn; returns the time of the first answer and how
    /// many of the further reads were answered.
    async fn read_until_answered(&self, since: Instant) -> (Option<Duration>, (usize, usize)) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.options.seed ^ 0x5eed);
        let controls = self.controls();
        let mut first = None;
        let mut further = (0, 0);
        for address in controls.iter().cycle() {
            let answer = clients::read(&self.fleet.samples, *address).await;
            let is_answered = match answer {
                Ok((StatusCode::OK, body)) => {
                    self.check_read(*address, &body);
                    true
                }
                _ => false,
            };
            if first.is_some() {
                further.1 += 1;
                further.0 += usize::from(is_answered);
            } else if is_answered {
                first = Some(since.elapsed());
            }
            let end = first.map_or(OBSERVATION, |first| first + FURTHER_READS);
            if since.elapsed() >= end {
                break;
            }
            let pause = rng.random_range(100..=300);
            monoio::time::sleep(Duration::from_millis(pause)).await;
        }
        (first, further)
    }

    fn check_read(&self, address: SocketAddr, body: &Bytes) {
        let sent = self.sent.borrow();
        // No version is unconfirmed when the reads begin.
        if sent.bodies.get(&sent.confirmed) == Some(body) {
            return;
        }
        let version = serde_json::from_slice::<Value>(body).unwrap_or_default();
        self.wrong_reads.borrow_mut().push(format!(
            "{address} answered version {}, {} bytes, confirmed is {}",
            version["version"],
            body.len(),
            sent.confirmed
        ));
    }
}

/// Probes the entries until all are ready, for at most `limit` after `since`; returns their times in order.
async fn probe_entries(fleet: &Fleet, since: Instant, limit: Duration) -> Vec<Duration> {
    let mut ready = Vec::new();
    let mut waiting = fleet.readiness_addresses();
    while !waiting.is_empty() && since.elapsed() < limit {
        let probes = waiting
            .iter()
            .map(|address| clients::is_ready(&fleet.samples, *address));
        let answers = futures_util::future::join_all(probes).await;
        let mut still_waiting = Vec::new();
        for (address, is_ready) in waiting.into_iter().zip(answers) {
            match is_ready {
                true => ready.push(since.elapsed()),
                false => still_waiting.push(address),
            }
        }
        waiting = still_waiting;
        monoio::time::sleep(PROBE_INTERVAL).await;
    }
    ready
}
