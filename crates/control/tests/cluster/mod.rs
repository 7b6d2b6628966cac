//! Three complete control processes on fake disks and a simulated network without delay.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::log::Options as LogOptions;
use eelgrassdyke_control::store::Store;
use eelgrassdyke_control::{Control, Input, OperatorResponse, Options, Output, Query, Status};
use eelgrassdyke_core::config::Submission;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{Incarnation, Replica as Id, Ticket, Version};
use eelgrassdyke_core::time::{Instant, WallTime};
use eelgrassdyke_core::wire::follow::{PollRequest, Update};
use eelgrassdyke_core::wire::{Message, Sender};

use crate::log_net::address;
use crate::log_net::disk::FakeDisk;

/// Number of the process that plays a follower or an entry.
pub const CLIENT: usize = 9;

/// Three control processes on a simulated network without delay.
pub struct Cluster {
    pub now: Instant,
    pub disks: Vec<FakeDisk>,
    pub processes: Vec<Option<(Control, Store<FakeDisk>)>>,
    pub partitioned: Vec<bool>,
    pub messages: VecDeque<(Sender, SocketAddr, Message)>,
    pub responses: BTreeMap<Ticket, OperatorResponse>,
    /// Messages to processes other than the three.
    pub received: Vec<Message>,
    /// If set, messages to processes other than the three are stored here instead, with their addresses.
    pub delivered: Option<Vec<(SocketAddr, Message)>>,
    pub last_ticket: u64,
    /// The incarnation of each process.
    pub incarnations: Vec<u64>,
    /// Lease of servers at processes that start from now on.
    pub server_lease: Duration,
    /// The events of all processes.
    pub events: Vec<Event>,
    /// Changes a message before it is delivered to the process with this number.
    pub rewrite: Option<fn(usize, &mut Message)>,
}

pub fn sender(number: usize) -> Sender {
    Sender {
        process: format!("process-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        address: address(number),
    }
}

impl Cluster {
    pub fn new() -> Self {
        let mut cluster = Self {
            now: Instant(0),
            disks: (0..3).map(|_| FakeDisk::default()).collect(),
            processes: vec![None, None, None],
            partitioned: vec![false; 3],
            messages: VecDeque::new(),
            responses: BTreeMap::new(),
            received: Vec::new(),
            delivered: None,
            last_ticket: 0,
            incarnations: vec![0; 3],
            server_lease: eelgrassdyke_control::directory::DEFAULT_LEASE,
            events: Vec::new(),
            rewrite: None,
        };
        for number in 0..3 {
            cluster.start(number);
        }
        cluster.run(6000);
        cluster
    }

    pub fn start(&mut self, number: usize) {
        let control_addresses: Vec<SocketAddr> = (0..3).map(address).collect();
        let disk = self.disks[number].clone();
        let (store, recovered) = Store::open(disk, Id(number as u64 + 1)).unwrap();
        let options = Options {
            server_lease: self.server_lease,
            control_addresses: control_addresses.clone(),
            wall_time_origin: WallTime(1_000_000),
            spreads_groups: false,
            engines_check_fencing: true,
            log: LogOptions {
                founders: control_addresses,
                snapshot_records: 10,
                retained_records: 2,
                timeout_seed: number as u64,
                ..LogOptions::default()
            },
        };
        self.incarnations[number] += 1;
        let local = Sender {
            incarnation: Incarnation(self.incarnations[number]),
            ..sender(number)
        };
        let mut out = Vec::new();
        let control = Control::new(self.now, local, options, recovered, &mut out);
        self.processes[number] = Some((control, store));
        self.perform(number, out);
    }

    /// Ends the failure of a disk and reopens its folder.
    pub fn recover_disk(&mut self, number: usize) {
        self.disks[number].recover();
        let disk = self.disks[number].clone();
        let (reopened, recovered) = Store::open(disk, Id(99)).unwrap();
        if let Some((_, store)) = &mut self.processes[number] {
            *store = reopened;
        }
        let recovered = Box::new(recovered);
        self.handle_input(number, Input::DiskReopened { recovered });
    }

    pub fn kill(&mut self, number: usize) {
        self.processes[number] = None;
        self.disks[number].crash(|_| 0);
    }

    pub fn handle_input(&mut self, number: usize, input: Input) {
        let Some((control, _)) = &mut self.processes[number] else {
            return;
        };
        let mut out = Vec::new();
        control.handle(self.now, input, &mut out);
        self.perform(number, out);
    }

    pub fn perform(&mut self, number: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    self.messages.push_back((sender(number), to, message));
                }
                Output::Respond { ticket, response } => {
                    self.responses.insert(ticket, response);
                }
                Output::Persist(job) => {
                    let (_, store) = self.processes[number].as_mut().unwrap();
                    let input = match store.write(std::slice::from_ref(&job)) {
                        Ok(()) => Input::Persisted { job: job.number },
                        Err(error) => Input::DiskFailed {
                            problem: error.to_string(),
                        },
                    };
                    self.handle_input(number, input);
                }
                Output::Event(event) => self.events.push(event),
                Output::RankOrder { .. } => {}
            }
        }
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            for number in 0..3 {
                self.handle_input(number, Input::Tick);
            }
            for _ in 0..self.messages.len() {
                let Some((from, to, mut message)) = self.messages.pop_front() else {
                    break;
                };
                let number = |at| (0..3).find(|number| address(*number) == at);
                let partitioned = |at| number(at).is_some_and(|number| self.partitioned[number]);
                match number(to) {
                    _ if partitioned(from.address) || partitioned(to) => {}
                    Some(receiver) => {
                        if let Some(rewrite) = self.rewrite {
                            rewrite(receiver, &mut message);
                        }
                        self.handle_input(receiver, Input::Message { from, message });
                    }
                    None => match &mut self.delivered {
                        Some(delivered) => delivered.push((to, message)),
                        None => self.received.push(message),
                    },
                }
            }
        }
    }

    pub fn request(
        &mut self,
        number: usize,
        input: impl Fn(Ticket) -> Input,
    ) -> Option<OperatorResponse> {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.handle_input(number, input(ticket));
        self.run(100);
        self.responses.get(&ticket).cloned()
    }

    pub fn submit(&mut self, number: usize, submission: &Submission) -> Option<OperatorResponse> {
        self.request(number, |ticket| Input::Submit {
            ticket,
            submission: submission.clone(),
        })
    }

    pub fn status(&mut self, number: usize) -> Status {
        let query = Query::Status;
        match self.request(number, |ticket| Input::Query { ticket, query }) {
            Some(OperatorResponse::Status(status)) => status,
            other => panic!("{other:?}"),
        }
    }

    pub fn leader(&mut self) -> usize {
        let running: Vec<usize> = (0..3).filter(|n| self.processes[*n].is_some()).collect();
        let leads = |n: &usize| self.status(*n).is_leader;
        running.into_iter().find(leads).expect("a leader")
    }

    /// Sends a message from the client.
    pub fn send_from_client(&mut self, to: usize, message: Message) {
        self.messages
            .push_back((sender(CLIENT), address(to), message));
        self.run(600);
    }

    /// Polls a replica and returns the updates.
    pub fn poll(&mut self, to: usize) -> Vec<Update> {
        self.received.clear();
        self.send_from_client(to, Message::Poll(poll_request()));
        let updates = self.received.drain(..).filter_map(|message| match message {
            Message::Update(update) => Some(update),
            _ => None,
        });
        updates.collect()
    }
}

pub fn poll_request() -> PollRequest {
    PollRequest {
        version: Version(0),
        digest: Sha256::of(b"nothing"),
        directory_revision: None,
        wants_directory: false,
        wants_config: true,
        wants_confirmation: true,
        poll_number: 1,
        demands: Vec::new(),
    }
}
