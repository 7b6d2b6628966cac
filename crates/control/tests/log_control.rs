//! Whole control cores on fake disks: operators and entries across leader change, restart and
//! snapshot, and followers that want a confirmed version.

mod log_net;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::log::Options as LogOptions;
use eelgrassdyke_control::store::Store;
use eelgrassdyke_control::{Answer, Control, Input, Options, Output, Query, Status};
use eelgrassdyke_core::config::{Change, Patch, Submission, TeamSpec, Verdict};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Incarnation, Replica as Id, Ticket, Version};
use eelgrassdyke_core::time::{Instant, WallTime};
use eelgrassdyke_core::wire::claim::{ClaimAction, ClaimRequest, ClaimResult, Holder, TeamKey};
use eelgrassdyke_core::wire::follow::{PollRequest, Update};
use eelgrassdyke_core::wire::{Message, Sender};
use log_net::address;
use log_net::disk::FakeDisk;
use test_case::test_case;

/// A follower or entry of the tests.
const OUTSIDE: usize = 9;

struct Site {
    now: Instant,
    disks: Vec<FakeDisk>,
    up: Vec<Option<(Control, Store<FakeDisk>)>>,
    cut: Vec<bool>,
    mail: VecDeque<(Sender, SocketAddr, Message)>,
    answers: BTreeMap<Ticket, Answer>,
    told: Vec<Message>,
    tickets: u64,
}

fn sender(number: usize) -> Sender {
    Sender {
        process: format!("process-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        address: address(number),
    }
}

impl Site {
    fn new() -> Self {
        let mut site = Self {
            now: Instant(0),
            disks: (0..3).map(|_| FakeDisk::default()).collect(),
            up: vec![None, None, None],
            cut: vec![false; 3],
            mail: VecDeque::new(),
            answers: BTreeMap::new(),
            told: Vec::new(),
            tickets: 0,
        };
        for number in 0..3 {
            site.start(number);
        }
        site.run(6000);
        site
    }

    fn start(&mut self, number: usize) {
        let control: Vec<SocketAddr> = (0..3).map(address).collect();
        let disk = self.disks[number].clone();
        let (store, recovered) = Store::open(disk, Id(number as u64 + 1)).unwrap();
        let options = Options {
            lease: eelgrassdyke_control::directory::LEASE,
            control: control.clone(),
            wall_at_zero: WallTime(1_000_000),
            log: LogOptions {
                founders: control,
                snapshot_records: 10,
                retained_records: 2,
                timeout_seed: number as u64,
                ..LogOptions::default()
            },
        };
        let mut out = Vec::new();
        let control = Control::new(self.now, sender(number), options, recovered, &mut out);
        self.up[number] = Some((control, store));
        self.carry_out(number, out);
    }

    /// Ends the trouble of a disk, whose folder is then opened again.
    fn mend(&mut self, number: usize) {
        self.disks[number].mend();
        let opened = Store::open(self.disks[number].clone(), Id(99));
        let (opened, recovered) = opened.unwrap();
        if let Some((_, store)) = &mut self.up[number] {
            *store = opened;
        }
        let recovered = Box::new(recovered);
        self.feed(number, Input::DiskReopened { recovered });
    }

    fn kill(&mut self, number: usize) {
        self.up[number] = None;
        self.disks[number].crash(|_| 0);
    }

    fn feed(&mut self, number: usize, input: Input) {
        let Some((control, _)) = &mut self.up[number] else {
            return;
        };
        let mut out = Vec::new();
        control.handle(self.now, input, &mut out);
        self.carry_out(number, out);
    }

    fn carry_out(&mut self, number: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    self.mail.push_back((sender(number), to, message));
                }
                Output::Answer { ticket, answer } => {
                    self.answers.insert(ticket, answer);
                }
                Output::Persist(job) => {
                    let (_, store) = self.up[number].as_mut().unwrap();
                    let input = match store.write(std::slice::from_ref(&job)) {
                        Ok(()) => Input::Persisted { job: job.number },
                        Err(error) => Input::DiskFailed {
                            problem: error.to_string(),
                        },
                    };
                    self.feed(number, input);
                }
                Output::Event(_) | Output::Order { .. } => {}
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            for number in 0..3 {
                self.feed(number, Input::Tick);
            }
            for _ in 0..self.mail.len() {
                let Some((from, to, message)) = self.mail.pop_front() else {
                    break;
                };
                let number = |at| (0..3).find(|number| address(*number) == at);
                let cut = |at| number(at).is_some_and(|number| self.cut[number]);
                match number(to) {
                    _ if cut(from.address) || cut(to) => {}
                    Some(receiver) => self.feed(receiver, Input::Mail { from, message }),
                    None => self.told.push(message),
                }
            }
        }
    }

    fn ask(&mut self, number: usize, input: impl Fn(Ticket) -> Input) -> Option<Answer> {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.feed(number, input(ticket));
        self.run(100);
        self.answers.get(&ticket).cloned()
    }

    fn submit(&mut self, number: usize, submission: &Submission) -> Option<Answer> {
        self.ask(number, |ticket| Input::Submit {
            ticket,
            submission: submission.clone(),
        })
    }

    fn status(&mut self, number: usize) -> Status {
        let query = Query::Status;
        match self.ask(number, |ticket| Input::Query { ticket, query }) {
            Some(Answer::Status(status)) => status,
            other => panic!("{other:?}"),
        }
    }

    fn leader(&mut self) -> usize {
        let up: Vec<usize> = (0..3).filter(|n| self.up[*n].is_some()).collect();
        let leads = |n: &usize| self.status(*n).leads;
        up.into_iter().find(leads).expect("one leads")
    }

    fn mail(&mut self, to: usize, message: Message) {
        self.mail.push_back((sender(OUTSIDE), address(to), message));
        self.run(600);
    }

    fn follow(&mut self, to: usize) -> Vec<Update> {
        self.told.clear();
        self.mail(to, Message::Poll(follow()));
        let updates = self.told.drain(..).filter_map(|message| match message {
            Message::Update(update) => Some(update),
            _ => None,
        });
        updates.collect()
    }
}

fn follow() -> PollRequest {
    PollRequest {
        version: Version(0),
        digest: Sha256::of(b"nothing"),
        directory_revision: None,
        wants_directory: false,
        wants_config: true,
        wants_confirmation: true,
        poll_number: 1,
    }
}

fn change(operation: &str, base: u64) -> Submission {
    let mut patch = Patch::default();
    let spec = TeamSpec {
        tokens: vec![Sha256::of(operation.as_bytes())],
        shares: BTreeMap::new(),
        priority: None,
    };
    patch.teams.insert("salons".parse().unwrap(), Some(spec));
    Submission {
        operation: operation.parse().unwrap(),
        base: Version(base),
        change: Change::Patch(patch),
        author: "operator".to_owned(),
    }
}

fn accepted(version: u64) -> Option<Answer> {
    let version = Version(version);
    Some(Answer::Verdict(Verdict::Accepted { version }))
}

#[test]
fn of_two_operators_with_equal_numbers_one_wins() {
    let mut site = Site::new();
    let leader = site.leader();
    for (ticket, operation) in [(1001, "a"), (1002, "b")] {
        let (ticket, submission) = (Ticket(ticket), change(operation, 0));
        site.feed(leader, Input::Submit { ticket, submission });
    }
    let early = [1001, 1002].map(|ticket| site.answers.contains_key(&Ticket(ticket)));
    assert_eq!(
        early, [false; 2],
        "nothing is accepted before a quorum holds it"
    );
    site.run(100);
    assert_eq!(site.answers.get(&Ticket(1001)).cloned(), accepted(1));
    let other = &site.answers[&Ticket(1002)];
    assert!(
        matches!(other, Answer::Verdict(Verdict::Conflict { .. })),
        "{other:?}"
    );
}

/// The answer to an operation survives a new leader, a restart of all, and a snapshot.
#[test]
fn a_resend_gets_the_first_answer() {
    let mut site = Site::new();
    let leader = site.leader();
    let first = change("first", 0);
    assert_eq!(site.submit(leader, &first), accepted(1));
    site.kill(leader);
    site.run(4000);
    let next = site.leader();
    assert_eq!(site.submit(next, &first), accepted(1));
    site.start(leader);
    for version in 1..30 {
        let operation = format!("more-{version}");
        assert_eq!(
            site.submit(next, &change(&operation, version)),
            accepted(version + 1)
        );
    }
    assert!(site.status(next).log.snapshot_index.0 > 20);
    for number in 0..3 {
        site.kill(number);
    }
    for number in 0..3 {
        site.start(number);
    }
    site.run(6000);
    let leader = site.leader();
    assert_eq!(site.submit(leader, &first), accepted(1));
    site.run(1000);
    for number in 0..3 {
        assert_eq!(site.status(number).version, Version(30));
    }
}

#[test]
fn another_replica_names_the_leader() {
    let mut site = Site::new();
    let leader = site.leader();
    let other = (leader + 1) % 3;
    let known = Some(address(leader));
    let answer = site.submit(other, &change("a", 0));
    assert_eq!(answer, Some(Answer::NotLeader { leader: known }));
    site.mail(other, Message::ClaimRequest(claim()));
    let Some(Message::ClaimResponse(answer)) = site.told.pop() else {
        panic!("the entry is told nothing");
    };
    assert_eq!(answer.result, ClaimResult::NotLeader { leader: known });
    site.mail(leader, Message::ClaimRequest(claim()));
    let Some(Message::ClaimResponse(answer)) = site.told.pop() else {
        panic!("the entry is told nothing");
    };
    assert!(
        matches!(answer.result, ClaimResult::Granted { .. }),
        "{answer:?}"
    );
}

fn claim() -> ClaimRequest {
    ClaimRequest {
        request: "entry-1/1/1".parse().unwrap(),
        team_key: TeamKey {
            team: "salons".parse().unwrap(),
            key: "order-1".parse().unwrap(),
        },
        action: ClaimAction::Claim {
            call_digest: Sha256::of(b"charge"),
            holder: Holder {
                server: "orders-1".parse().unwrap(),
                incarnation: Incarnation(1),
                address: address(OUTSIDE),
            },
            replaces: None,
        },
    }
}

/// A change whose leader is cut off before a quorum holds it has an unknown fate, and is resent.
#[test]
fn a_change_in_flight_when_the_office_is_lost_is_unknown() {
    let mut site = Site::new();
    let leader = site.leader();
    site.cut[leader] = true;
    let ticket = Ticket(1001);
    let submission = change("a", 0);
    site.feed(leader, Input::Submit { ticket, submission });
    site.run(5000);
    assert_eq!(site.answers.get(&ticket), Some(&Answer::Unknown));
    let status = site.status(leader);
    assert!(!status.quorum && !status.leads);
    assert_eq!(
        site.submit(leader, &change("b", 0)),
        Some(Answer::NotLeader { leader: None })
    );
    let next = site.leader();
    assert_eq!(site.submit(next, &change("a", 0)), accepted(1));
}

/// Whichever replica is asked, only a quorum confirms a version.
#[test_case(0)]
#[test_case(1)]
fn a_version_is_confirmed_by_a_quorum(step: usize) {
    let mut site = Site::new();
    let leader = site.leader();
    let asked = (leader + step) % 3;
    assert_eq!(site.submit(leader, &change("a", 0)), accepted(1));
    let updates = site.follow(asked);
    assert!(updates.iter().any(|update| update.confirmed), "{updates:?}");
    for update in updates.iter().filter(|update| update.confirmed) {
        assert_eq!(update.committed_version, Version(1));
    }

    // Cut off, it knows no better than before, and says nothing for sure; also while it may still
    // think itself in touch.
    site.cut[asked] = true;
    for _ in 0..8 {
        let follow = site.follow_cut(asked);
        assert!(follow.iter().all(|update| !update.confirmed));
    }
}

impl Site {
    /// Asks a replica that is cut off from the other replicas only.
    fn follow_cut(&mut self, number: usize) -> Vec<Update> {
        let input = Input::Mail {
            from: sender(OUTSIDE),
            message: Message::Poll(follow()),
        };
        self.feed(number, input);
        let outside = |(_, to, _): &(Sender, SocketAddr, Message)| *to == address(OUTSIDE);
        let mail = std::mem::take(&mut self.mail);
        let (mine, rest): (VecDeque<_>, VecDeque<_>) = mail.into_iter().partition(outside);
        self.mail = rest;
        self.run(500);
        let updates = mine
            .into_iter()
            .filter_map(|(_, _, message)| match message {
                Message::Update(update) => Some(update),
                _ => None,
            });
        updates.collect()
    }
}

#[test]
fn a_restarted_replica_is_not_ready_before_it_holds_what_was_accepted() {
    let mut site = Site::new();
    let other = (site.leader() + 1) % 3;
    for number in 1..=9 {
        if number == 5 {
            site.kill(other);
        }
        let leader = site.leader();
        let submission = change(&format!("op-{number}"), number - 1);
        assert_eq!(site.submit(leader, &submission), accepted(number));
    }
    site.start(other);
    for _ in 0..1000 {
        site.run(5);
        let (control, _) = site.up[other].as_ref().unwrap();
        if control.is_ready(site.now) {
            assert_eq!(control.version(), Version(9));
            return;
        }
        assert!(!site.status(other).quorum);
    }
    panic!("the replica never became ready");
}

/// A cluster of three may lose one replica; one whose disk was full for a while counts again.
#[test_case(0; "the leader's disk")]
#[test_case(1; "a follower's disk")]
fn a_replica_whose_disk_failed_goes_on_when_it_takes_writes_again(offset: usize) {
    let mut site = Site::new();
    let leader = site.leader();
    let (full, lost) = ((leader + offset) % 3, (leader + 2) % 3);
    site.disks[full].break_after(1, std::io::ErrorKind::StorageFull);
    site.submit(leader, &change("one", 0));
    site.run(3000);
    assert!(
        !site.status(full).quorum,
        "a replica with a full disk says that it serves"
    );
    let leader = site.leader();
    let (operation, base) = ("two", u64::from(offset == 1));
    let answer = site.submit(leader, &change(operation, base));
    assert!(matches!(answer, Some(Answer::Verdict { .. })), "{answer:?}");

    site.mend(full);
    site.run(2000);
    site.kill(lost);
    site.run(5000);
    let leader = site.leader();
    let answer = site.submit(leader, &change("three", base + 1));
    assert!(matches!(answer, Some(Answer::Verdict { .. })), "{answer:?}");
    let other = 3 - leader - lost;
    site.run(500);
    assert_eq!(site.status(other).version, site.status(leader).version);
}
