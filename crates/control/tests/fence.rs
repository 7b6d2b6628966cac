//! Orders: no order of a deposed leader passes, none is carried out out of turn, each once.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::{ORDER_TICKET, OrderExecutor, Output, ResponsePart};
use eelgrassdyke_control::fence::{self, Giver};
use eelgrassdyke_control::state::order::{self, Taken};
use eelgrassdyke_core::config::EngineOrder;
use eelgrassdyke_core::id::{Replica, Server, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::dispatch::{Call, ResponseHead};
use eelgrassdyke_core::wire::fence::{Message as Fenced, OrderOutcome};
use eelgrassdyke_core::wire::{decode, encode};
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const REPLICAS: usize = 3;

fn address(replica: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + replica as u16))
}

fn server() -> Server {
    "engine-1".parse().unwrap()
}

fn agent(life: u64) -> OrderExecutor {
    let control = (0..REPLICAS).map(address).collect();
    OrderExecutor::new(server(), control, life * 1_000_000)
}

fn load(model: u64) -> EngineOrder {
    EngineOrder::Load(format!("model-{model}").parse().unwrap())
}

fn give(orders: &mut order::Orders, number: u64) -> Taken {
    let operation = format!("order-{number}").parse().unwrap();
    orders.give(&operation, &server(), &load(number))
}

/// What one replica would send now if it believed to lead in `term`.
fn given(term: u64, orders: &order::Orders) -> Vec<Fenced> {
    let messages = Giver::default().give(Instant(1), Term(term), orders, |_| Some(address(9)));
    messages
        .into_iter()
        .map(|(_, message)| open(message))
        .collect()
}

fn open(message: Message) -> Fenced {
    match message {
        Message::EngineOrder(message) => message,
        other => panic!("{other:?}"),
    }
}

/// The fence of an order that went to the engine.
fn fence_of(call: &Call) -> (u64, u64) {
    let (_, text) = call
        .headers
        .iter()
        .find(|(name, _)| name == "x-eelgrassdyke-fence")
        .unwrap();
    let (term, sequence) = text.split_once('.').unwrap();
    (term.parse().unwrap(), sequence.parse().unwrap())
}

#[test]
fn an_order_is_idempotent_by_its_operation() {
    let mut orders = order::Orders::default();
    let Taken::Standing(first) = give(&mut orders, 1) else {
        panic!("the order was not taken");
    };
    assert_eq!(give(&mut orders, 1), Taken::Standing(first.clone()));
    let reused = orders.give(&first.operation, &server(), &load(7));
    assert_eq!(reused, Taken::Reused);
    orders.end(&first.operation, &OrderOutcome::Done);
    orders.end(&first.operation, &OrderOutcome::Fenced);
    let mut orders: order::Orders = decode(&encode(&orders).unwrap()).unwrap();
    let Taken::Standing(ended) = give(&mut orders, 1) else {
        panic!("the order was not remembered");
    };
    assert_eq!(ended.outcome, Some(OrderOutcome::Done));
    assert!(orders.due().is_empty());
    assert_eq!(orders.last_ended(&server()), 1);
}

/// Three replicas of which some have moved on to a newer term, one agent, and everything that was
/// ever sent, delivered again at any time.
struct World {
    rng: ChaCha8Rng,
    now: Instant,
    /// Term and state that each replica knows.
    replicas: Vec<(u64, order::Orders)>,
    committed: order::Orders,
    term: u64,
    leader: usize,
    agent: OrderExecutor,
    life: u64,
    late: Vec<(Option<usize>, Fenced)>,
    gives: Vec<(usize, Fenced)>,
    ran: Vec<(u64, u64)>,
    newest: (u64, u64),
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant(1),
            replicas: vec![(1, order::Orders::default()); REPLICAS],
            committed: order::Orders::default(),
            term: 1,
            leader: 0,
            agent: agent(1),
            life: 1,
            late: Vec::new(),
            gives: Vec::new(),
            ran: Vec::new(),
            newest: (0, 0),
        }
    }

    /// Makes another replica the leader with the votes of a majority; the others don't hear of it.
    fn elect(&mut self) {
        let mut all: Vec<usize> = (0..REPLICAS).collect();
        all.shuffle(&mut self.rng);
        self.term += 1;
        self.leader = all[0];
        for replica in &all[..2] {
            self.replicas[*replica].0 = self.term;
        }
        self.replicas[self.leader].1 = self.committed.clone();
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let replica = (0..REPLICAS).find(|r| address(*r) == to);
                    self.late.push((replica, open(message)));
                }
                Output::Forward { ticket, call, .. } => {
                    assert_eq!(ticket, ORDER_TICKET);
                    let fence = fence_of(&call);
                    self.check(fence);
                    let mut out = Vec::new();
                    let head = ResponseHead {
                        status: 200,
                        headers: Vec::new(),
                    };
                    self.agent
                        .handle_response(ResponsePart::Head(head), &mut out);
                    self.agent.handle_response(ResponsePart::End, &mut out);
                    self.carry_out(out);
                }
                _ => {}
            }
        }
    }

    /// Nothing of an older term, or out of turn, reaches the engine after something newer.
    fn check(&mut self, fence: (u64, u64)) {
        assert!(
            fence >= self.newest,
            "{fence:?} ran after {:?}",
            self.newest
        );
        assert!(
            fence.1 >= self.newest.1,
            "{fence:?} ran after {:?}",
            self.newest
        );
        self.newest = fence;
        self.ran.push(fence);
    }

    fn deliver(&mut self, to: Option<usize>, message: Fenced) {
        let mut out = Vec::new();
        match (to, message) {
            (
                Some(replica),
                Fenced::ConfirmTerm {
                    query_number,
                    server,
                },
            ) => {
                let (term, orders) = &self.replicas[replica];
                let (id, term) = (Replica(replica as u64), Term(*term));
                let answer = fence::answer(query_number, &server, id, term, REPLICAS, orders);
                self.agent
                    .handle_message(self.now, address(replica), open(answer), &mut out);
            }
            (
                Some(replica),
                Fenced::OrderResult {
                    operation, result, ..
                },
            ) if replica == self.leader && result != OrderOutcome::Running => {
                self.committed.end(&operation, &result);
                self.replicas[replica].1 = self.committed.clone();
            }
            _ => {}
        }
        self.carry_out(out);
    }

    fn step(&mut self, round: u64) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(1..400));
        match self.rng.random_range(0..100) {
            0..3 => self.elect(),
            3..6 => {
                self.life += 1;
                self.agent = agent(self.life);
            }
            6..16 => {
                give(&mut self.committed, round);
                self.replicas[self.leader].1 = self.committed.clone();
            }
            16..40 => {
                // Any replica that ever led may believe that it still does.
                let replica = self.rng.random_range(0..REPLICAS);
                let (term, orders) = &self.replicas[replica];
                if replica != self.leader && *term == self.term {
                    return;
                }
                let given = given(*term, orders).into_iter();
                self.gives.extend(given.map(|message| (replica, message)));
            }
            45..60 if !self.gives.is_empty() => {
                // Any that was ever sent may arrive now, and again later.
                let newest = self.gives.len() - 1;
                let at = match self.rng.random_bool(0.5) {
                    true => newest,
                    false => self.rng.random_range(0..=newest),
                };
                let (replica, message) = self.gives[at].clone();
                let mut out = Vec::new();
                self.agent
                    .handle_message(self.now, address(replica), message, &mut out);
                self.carry_out(out);
            }
            40..45 => {
                let mut out = Vec::new();
                self.agent.tick(self.now, &mut out);
                self.carry_out(out);
            }
            _ if self.late.is_empty() => {}
            _ => {
                let at = self.rng.random_range(0..self.late.len());
                let (to, message) = match self.rng.random_bool(0.8) {
                    true => self.late.swap_remove(at),
                    false => self.late[at].clone(),
                };
                self.deliver(to, message);
            }
        }
    }
}

#[test]
fn nothing_old_reaches_an_engine_that_does_not_check() {
    let mut ran = 0;
    for seed in 0..500 {
        let mut world = World::new(seed);
        for round in 0..800 {
            world.step(round);
        }
        ran += world.ran.len();
    }
    assert!(ran > 2000, "only {ran} orders ran");
}
