//! Orders to engines: an engine receives no order of a deposed leader and none out of sequence, and an
//! order is idempotent by its operation.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::{ORDER_TICKET, OrderExecutor, Output, ResponsePart};
use eelgrassdyke_control::fence::{self, OrderSender};
use eelgrassdyke_control::state::order::{self, OrderResponse};
use eelgrassdyke_core::config::EngineOrder;
use eelgrassdyke_core::id::{Replica, Server, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::dispatch::{Call, ResponseHead};
use eelgrassdyke_core::wire::fence::{Message as OrderMessage, OrderOutcome};
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

fn agent(incarnation: u64) -> OrderExecutor {
    let control = (0..REPLICAS).map(address).collect();
    OrderExecutor::new(server(), control, incarnation * 1_000_000)
}

fn load(model: u64) -> EngineOrder {
    EngineOrder::Load(format!("model-{model}").parse().unwrap())
}

fn open_order(orders: &mut order::Orders, number: u64) -> OrderResponse {
    let operation = format!("order-{number}").parse().unwrap();
    orders.open(&operation, &server(), &load(number))
}

/// The messages that a replica sends if it believes that it leads in `term`.
fn sent_by(term: u64, orders: &order::Orders) -> Vec<OrderMessage> {
    let messages =
        OrderSender::default().due_messages(Instant(1), Term(term), orders, |_| Some(address(9)));
    messages
        .into_iter()
        .map(|(_, message)| order_message(message))
        .collect()
}

fn order_message(message: Message) -> OrderMessage {
    match message {
        Message::EngineOrder(message) => message,
        other => panic!("{other:?}"),
    }
}

/// The fencing token of an order that reached the engine.
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
fn order_is_idempotent_by_its_operation() {
    let mut orders = order::Orders::default();
    let OrderResponse::Accepted(first) = open_order(&mut orders, 1) else {
        panic!("the order was not accepted");
    };
    assert_eq!(
        open_order(&mut orders, 1),
        OrderResponse::Accepted(first.clone())
    );
    let reused = orders.open(&first.operation, &server(), &load(7));
    assert_eq!(reused, OrderResponse::OperationReused);
    orders.close(&first.operation, &OrderOutcome::Done);
    orders.close(&first.operation, &OrderOutcome::Fenced);
    let mut orders: order::Orders = decode(&encode(&orders).unwrap()).unwrap();
    let OrderResponse::Accepted(ended) = open_order(&mut orders, 1) else {
        panic!("the order was not kept");
    };
    assert_eq!(ended.outcome, Some(OrderOutcome::Done));
    assert!(orders.next_by_server().is_empty());
    assert_eq!(orders.last_ended_sequence(&server()), 1);
}

/// Three replicas, of which some may not know the newest term, one agent, and a network that delays
/// and duplicates messages.
struct World {
    rng: ChaCha8Rng,
    now: Instant,
    /// Term and orders known to each replica.
    replicas: Vec<(u64, order::Orders)>,
    committed: order::Orders,
    term: u64,
    leader: usize,
    agent: OrderExecutor,
    incarnation: u64,
    /// Messages to the replicas.
    in_flight: Vec<(Option<usize>, OrderMessage)>,
    /// All orders sent so far, with the replica that sent each.
    sent_orders: Vec<(usize, OrderMessage)>,
    /// Fencing tokens of the orders that reached the engine.
    executed: Vec<(u64, u64)>,
    highest_fence: (u64, u64),
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
            incarnation: 1,
            in_flight: Vec::new(),
            sent_orders: Vec::new(),
            executed: Vec::new(),
            highest_fence: (0, 0),
        }
    }

    /// Elects a leader with the votes of a majority; the other replica does not learn of it.
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

    fn handle_outputs(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let replica = (0..REPLICAS).find(|r| address(*r) == to);
                    self.in_flight.push((replica, order_message(message)));
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
                    self.handle_outputs(out);
                }
                _ => {}
            }
        }
    }

    /// Checks that no order with an older term or a lower sequence number reaches the engine.
    fn check(&mut self, fence: (u64, u64)) {
        assert!(
            fence >= self.highest_fence,
            "{fence:?} was executed after {:?}",
            self.highest_fence
        );
        assert!(
            fence.1 >= self.highest_fence.1,
            "{fence:?} was executed after {:?}",
            self.highest_fence
        );
        self.highest_fence = fence;
        self.executed.push(fence);
    }

    fn deliver(&mut self, to: Option<usize>, message: OrderMessage) {
        let mut out = Vec::new();
        match (to, message) {
            (
                Some(replica),
                OrderMessage::ConfirmTerm {
                    query_number,
                    server,
                },
            ) => {
                let (term, orders) = &self.replicas[replica];
                let (id, term) = (Replica(replica as u64), Term(*term));
                let response =
                    fence::term_response(query_number, &server, id, term, REPLICAS, orders);
                self.agent.handle_message(
                    self.now,
                    address(replica),
                    order_message(response),
                    &mut out,
                );
            }
            (
                Some(replica),
                OrderMessage::OrderResult {
                    operation, result, ..
                },
            ) if replica == self.leader && result != OrderOutcome::Running => {
                self.committed.close(&operation, &result);
                self.replicas[replica].1 = self.committed.clone();
            }
            _ => {}
        }
        self.handle_outputs(out);
    }

    fn step(&mut self, round: u64) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(1..400));
        match self.rng.random_range(0..100) {
            0..3 => self.elect(),
            3..6 => {
                self.incarnation += 1;
                self.agent = agent(self.incarnation);
            }
            6..16 => {
                open_order(&mut self.committed, round);
                self.replicas[self.leader].1 = self.committed.clone();
            }
            16..40 => {
                // Any former leader may believe that it still leads.
                let replica = self.rng.random_range(0..REPLICAS);
                let (term, orders) = &self.replicas[replica];
                if replica != self.leader && *term == self.term {
                    return;
                }
                let messages = sent_by(*term, orders).into_iter();
                self.sent_orders
                    .extend(messages.map(|message| (replica, message)));
            }
            45..60 if !self.sent_orders.is_empty() => {
                // Any order ever sent may arrive now, and again later.
                let last = self.sent_orders.len() - 1;
                let at = match self.rng.random_bool(0.5) {
                    true => last,
                    false => self.rng.random_range(0..=last),
                };
                let (replica, message) = self.sent_orders[at].clone();
                let mut out = Vec::new();
                self.agent
                    .handle_message(self.now, address(replica), message, &mut out);
                self.handle_outputs(out);
            }
            40..45 => {
                let mut out = Vec::new();
                self.agent.tick(self.now, &mut out);
                self.handle_outputs(out);
            }
            _ if self.in_flight.is_empty() => {}
            _ => {
                let at = self.rng.random_range(0..self.in_flight.len());
                let (to, message) = match self.rng.random_bool(0.8) {
                    true => self.in_flight.swap_remove(at),
                    false => self.in_flight[at].clone(),
                };
                self.deliver(to, message);
            }
        }
    }
}

#[test]
fn no_stale_order_reaches_an_engine_that_does_not_check_fences() {
    let mut total = 0;
    for seed in 0..500 {
        let mut world = World::new(seed);
        for round in 0..800 {
            world.step(round);
        }
        total += world.executed.len();
    }
    assert!(total > 2000, "only {total} orders were executed");
}
