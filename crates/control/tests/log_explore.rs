//! Every order of a few events among three replicas: elections, a commit, and the removal of a
//! member, with any message late or lost, and restarts.

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

/// What may still happen.
#[derive(Clone, Debug)]
struct Budget {
    timeouts: u32,
    /// Hosts that may time out; one more with each timeout, as the hosts are alike before it.
    candidates: usize,
    restarts: u32,
    removals: u32,
    steps: u32,
}

#[derive(Clone, Debug)]
struct World {
    budget: Budget,
    hosts: Vec<Host>,
    mail: Vec<(SocketAddr, SocketAddr, Message)>,
    /// Leaders by term.
    leaders: BTreeMap<Term, Id>,
    /// The one Vec.
    log: Vec<Record>,
}

#[derive(Clone, Debug)]
struct Host {
    now: Instant,
    replica: Replica,
    /// What its folder holds; writes are durable at once.
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
            let at = address(number as usize);
            let folder2 = folder.clone();
            let replica = Replica::new(Instant(0), at, folder2, options(), &mut Vec::new());
            // Everyone may vote by now.
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
            mail: Vec::new(),
            leaders: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    fn feed(&mut self, number: usize, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let host = &mut self.hosts[number];
            let mut out = Vec::new();
            host.replica.handle(host.now, input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, message } => {
                        self.mail.push((address(number), to, message));
                    }
                    Output::Persist(job) => {
                        write(&mut self.hosts[number].folder, &job.writes);
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
        match self.log.get(record.index.0 as usize - 1) {
            Some(first) => assert_eq!(*first, record, "two records at one position"),
            None => self.log.push(record),
        }
    }

    /// Every world that one event leads to.
    fn next(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        let Some(steps) = self.budget.steps.checked_sub(1) else {
            return worlds;
        };
        let mut base = self.clone();
        base.budget.steps = steps;
        for at in 0..self.mail.len() {
            let mut world = base.clone();
            let (from, to, message) = world.mail.remove(at);
            let number = (0..3).find(|number| address(*number) == to);
            world.feed(number.expect("a host"), Input::Message { from, message });
            worlds.push(world);
        }
        for number in 0..3 {
            let leads = self.hosts[number].replica.is_leader();
            if self.budget.timeouts > 0 && !leads && number < self.budget.candidates {
                let mut world = base.clone();
                world.budget.timeouts -= 1;
                world.budget.candidates += 1;
                let host = &mut world.hosts[number];
                host.now = host.now + Duration::from_millis(2000);
                world.feed(number, Input::Tick);
                worlds.push(world);
            }
            if self.budget.restarts > 0 {
                let mut world = base.clone();
                world.budget.restarts -= 1;
                world.restart(number);
                worlds.push(world);
            }
            if self.budget.removals > 0 && leads {
                let mut world = base.clone();
                world.budget.removals -= 1;
                let change = MembershipChange::Remove(Id((number as u64 + 1) % 3));
                world.feed(number, Input::ChangeMembers { token: 1, change });
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

    /// Worlds that can go on alike have one number.
    fn number(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let mut mail: Vec<String> = self.mail.iter().map(|mail| format!("{mail:?}")).collect();
        mail.sort_unstable();
        format!("{:?} {:?} {mail:?} {:?}", self.budget, self.hosts, self.log).hash(&mut hasher);
        hasher.finish()
    }
}

fn write(folder: &mut RecoveredState, writes: &[Write]) {
    for write in writes {
        match write {
            Write::HardState(hard_state) => folder.hard_state = HardState::clone(hard_state),
            Write::Records(records) => {
                folder.records.retain(|held| held.index < records[0].index);
                folder.records.extend(records.iter().cloned());
            }
            Write::Snapshot { .. } => panic!("the log is too short for a snapshot"),
        }
    }
}

/// Explores depth first; gives how many worlds there are and how many of them have a commit.
fn explore(budget: Budget) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut committed = 0;
    let mut open = vec![World::new(budget)];
    while let Some(world) = open.pop() {
        if !seen.insert(world.number()) {
            continue;
        }
        committed += usize::from(!world.log.is_empty());
        open.extend(world.next());
    }
    (seen.len(), committed)
}

#[test_case(2, 0, 0, 10; "two candidates")]
#[test_case(1, 1, 0, 10; "one candidate and a restart")]
#[test_case(1, 0, 1, 10; "the removal of a member")]
fn no_order_of_events_breaks_the_log(timeouts: u32, restarts: u32, removals: u32, steps: u32) {
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
