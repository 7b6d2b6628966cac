//! Exhaustive exploration of all orders of a few events among three replicas: elections, a commit,
//! the removal of a member and restarts, with any message delayed or lost.

use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::log::{
    HardState, Input, MembershipChange, Options, Output, RecoveredState, Replica, Write,
};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Members, Message, Payload, Record};
use test_case::test_case;

/// Events that may still occur.
#[derive(Clone, Debug)]
struct Budget {
    timeouts: u32,
    /// Number of hosts that may time out. It rises with each timeout, because hosts without one are
    /// symmetric.
    candidates: usize,
    restarts: u32,
    removals: u32,
    steps: u32,
}

#[derive(Clone, Debug)]
struct World {
    budget: Budget,
    hosts: Vec<Host>,
    /// Messages in transit: sender, receiver and content.
    messages: Vec<(SocketAddr, SocketAddr, Message)>,
    /// The leader of each term.
    leaders: BTreeMap<Term, Id>,
    /// Reference log: the record at each index, as first applied by any replica.
    reference_log: Vec<Record>,
}

#[derive(Clone, Debug)]
struct Host {
    now: Instant,
    replica: Replica,
    /// Content of its data folder; writes are durable at once.
    folder: RecoveredState,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 7000))
}

fn options() -> Options {
    Options {
        heartbeat_interval: Duration::from_secs(1000),
        ..Options::default()
    }
}

impl World {
    fn new(budget: Budget) -> Self {
        let mut members = Members::default();
        for number in 0..3 {
            members.voters.insert(Id(number), address(number as usize));
        }
        let mut hosts = Vec::new();
        for number in 0..3 {
            let mut folder = RecoveredState::empty(Id(number));
            folder.hard_state.cluster = 1;
            folder.records.push(Record {
                term: Term(0),
                index: Index(1),
                payload: Payload::Members(members.clone()),
            });
            let own_address = address(number as usize);
            let recovered = folder.clone();
            let replica = Replica::new(
                Instant(0),
                own_address,
                recovered,
                options(),
                &mut Vec::new(),
            );
            // Later than the shortest election timeout, so that all replicas may grant votes.
            let now = Instant(1_500_000);
            hosts.push(Host {
                now,
                replica,
                folder,
            });
        }
        Self {
            budget,
            hosts,
            messages: Vec::new(),
            leaders: BTreeMap::new(),
            reference_log: Vec::new(),
        }
    }

    fn handle_input(&mut self, number: usize, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let host = &mut self.hosts[number];
            let mut out = Vec::new();
            host.replica.handle(host.now, input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, message } => {
                        self.messages.push((address(number), to, message));
                    }
                    Output::Persist(job) => {
                        apply_writes(&mut self.hosts[number].folder, &job.writes);
                        inputs.push(Input::Persisted { job: job.number });
                    }
                    Output::Apply { record, .. } => self.apply(record),
                    _ => {}
                }
            }
        }
        let replica = &self.hosts[number].replica;
        if replica.is_leader() {
            let first = *self.leaders.entry(replica.term()).or_insert(replica.id());
            assert_eq!(
                first,
                replica.id(),
                "two leaders in term {}",
                replica.term()
            );
        }
    }

    fn apply(&mut self, record: Record) {
        match self.reference_log.get(record.index.0 as usize - 1) {
            Some(first) => assert_eq!(*first, record, "two records at one index"),
            None => self.reference_log.push(record),
        }
    }

    /// All worlds that one event leads to.
    fn successors(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        let Some(steps) = self.budget.steps.checked_sub(1) else {
            return worlds;
        };
        let mut parent = self.clone();
        parent.budget.steps = steps;
        for at in 0..self.messages.len() {
            let mut world = parent.clone();
            let (from, to, message) = world.messages.remove(at);
            let number = (0..3).find(|number| address(*number) == to);
            world.handle_input(number.expect("a host"), Input::Message { from, message });
            worlds.push(world);
        }
        for number in 0..3 {
            let is_leader = self.hosts[number].replica.is_leader();
            if self.budget.timeouts > 0 && !is_leader && number < self.budget.candidates {
                let mut world = parent.clone();
                world.budget.timeouts -= 1;
                world.budget.candidates += 1;
                let host = &mut world.hosts[number];
                host.now = host.now + Duration::from_millis(2000);
                world.handle_input(number, Input::Tick);
                worlds.push(world);
            }
            if self.budget.restarts > 0 {
                let mut world = parent.clone();
                world.budget.restarts -= 1;
                world.restart(number);
                worlds.push(world);
            }
            if self.budget.removals > 0 && is_leader {
                let mut world = parent.clone();
                world.budget.removals -= 1;
                let change = MembershipChange::Remove(Id((number as u64 + 1) % 3));
                world.handle_input(number, Input::ChangeMembers { token: 1, change });
                worlds.push(world);
            }
        }
        worlds
    }

    fn restart(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let (now, folder) = (host.now, host.folder.clone());
        host.replica = Replica::new(now, address(number), folder, options(), &mut Vec::new());
    }

    /// Hash of the state; worlds with the same state have the same successors.
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let messages = self.messages.iter();
        let mut messages: Vec<String> = messages.map(|message| format!("{message:?}")).collect();
        messages.sort_unstable();
        format!(
            "{:?} {:?} {messages:?} {:?}",
            self.budget, self.hosts, self.reference_log
        )
        .hash(&mut hasher);
        hasher.finish()
    }
}

fn apply_writes(folder: &mut RecoveredState, writes: &[Write]) {
    for write in writes {
        match write {
            Write::HardState(hard_state) => folder.hard_state = HardState::clone(hard_state),
            Write::Records(records) => {
                folder
                    .records
                    .retain(|record| record.index < records[0].index);
                folder.records.extend(records.iter().cloned());
            }
            Write::Snapshot { .. } => panic!("the log is too short for a snapshot"),
        }
    }
}

/// Explores depth first; returns the number of worlds and of those with a commit.
fn explore(budget: Budget) -> (usize, usize) {
    let mut visited = HashSet::new();
    let mut committed = 0;
    let mut unexplored = vec![World::new(budget)];
    while let Some(world) = unexplored.pop() {
        if !visited.insert(world.state_hash()) {
            continue;
        }
        committed += usize::from(!world.reference_log.is_empty());
        unexplored.extend(world.successors());
    }
    (visited.len(), committed)
}

#[test_case(2, 0, 0, 10; "two candidates")]
#[test_case(1, 1, 0, 10; "one candidate and a restart")]
#[test_case(1, 0, 1, 10; "the removal of a member")]
fn all_event_orders_keep_the_log_consistent(
    timeouts: u32,
    restarts: u32,
    removals: u32,
    steps: u32,
) {
    let (worlds, committed) = explore(Budget {
        timeouts,
        candidates: 1,
        restarts,
        removals,
        steps,
    });
    println!("{worlds} worlds, {committed} with a commit");
    assert!(
        worlds > 1000 && committed > 10,
        "{worlds} worlds, {committed} with a commit"
    );
}
