//! Fences orders from control and passes them on to the engine.
//!
//! Some engines carry out every order that reaches them, so the agent does the fencing. A deposed
//! leader that has not learnt of its successor may reach the agent first, and a restarted agent has
//! lost the fencing tokens that it saw. An order is therefore forwarded only once a majority of the
//! voting replicas, among them the one that issued the order, has confirmed that it knows no higher
//! term than the order's, and the issuer also that it knows of no later order to this engine that
//! has ended.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::config::EngineOrder;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Operation, Replica, Server, Term, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::dispatch::Call;
use eelgrassdyke_core::wire::fence::{self, FencingToken, OrderOutcome};

use crate::io::{Output, ResponsePart};

/// Ticket of the call that carries an order. Tickets of dispatches count up from 1 and never reach
/// this value.
pub const ORDER_TICKET: Ticket = Ticket(u64::MAX);

/// Time between two rounds of queries for the term while no majority has confirmed the order.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an order that no majority has confirmed is dropped; the leader sends it again.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for the response of an engine to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum number of outcomes remembered.
const OUTCOMES_MAX: usize = 64;

/// An order received from a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Identifies the order.
    pub operation: Operation,
    /// The order.
    pub order: EngineOrder,
    /// Its fencing token.
    pub fencing_token: FencingToken,
    /// Address of the replica that issued it.
    pub issuer: SocketAddr,
}

/// An order that a majority of the voters has not confirmed yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    received: ReceivedOrder,
    /// Replicas that confirmed the term of the order, with their addresses.
    confirmed_by: BTreeMap<Replica, SocketAddr>,
    /// Number of voters according to the issuer; the maximum value until the issuer responds.
    voters: u32,
    next_query_at: Instant,
    expires_at: Instant,
}

/// Executes the orders to one engine.
#[derive(Clone, Debug)]
pub struct OrderExecutor {
    server: Server,
    control_addresses: Vec<SocketAddr>,
    /// Highest fencing token of a forwarded order.
    highest_fencing_token: FencingToken,
    query_number: u64,
    pending: Option<PendingOrder>,
    /// The forwarded order, and the HTTP status of its response once received.
    running: Option<(ReceivedOrder, u16)>,
    /// Latest outcomes, oldest first.
    outcomes: VecDeque<(Operation, OrderOutcome)>,
    applied_orders: Vec<EngineOrder>,
}

impl OrderExecutor {
    /// Creates an executor without orders; query numbers from `first_query_number` on must be
    /// unique to this incarnation of the agent.
    pub fn new(
        server: Server,
        control_addresses: Vec<SocketAddr>,
        first_query_number: u64,
    ) -> Self {
        Self {
            server,
            control_addresses,
            highest_fencing_token: FencingToken::default(),
            query_number: first_query_number,
            pending: None,
            running: None,
            outcomes: VecDeque::new(),
            applied_orders: Vec::new(),
        }
    }

    /// Orders that the engine has carried out in this incarnation of the agent and that are still
    /// in effect.
    pub fn applied_orders(&self) -> &[EngineOrder] {
        &self.applied_orders
    }

    /// When [`OrderExecutor::tick`] next has something to do.
    pub fn next_deadline(&self) -> Instant {
        let pending = self.pending.as_ref();
        pending.map_or(Instant::NEVER, |pending| {
            pending.next_query_at.min(pending.expires_at)
        })
    }

    /// Handles a message about orders from a control process.
    pub fn handle_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: fence::Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            fence::Message::Order {
                operation,
                server,
                order,
                fencing_token,
            } if server == self.server => {
                let received = ReceivedOrder {
                    operation,
                    order,
                    fencing_token,
                    issuer: from,
                };
                self.handle_order(now, received, out);
            }
            fence::Message::TermConfirmed {
                query_number,
                replica,
                term,
                voters,
                last_ended_sequence,
            } if query_number == self.query_number => {
                self.handle_confirmation(from, (replica, term), voters, last_ended_sequence, out);
            }
            _ => {}
        }
    }

    fn handle_order(&mut self, now: Instant, received: ReceivedOrder, out: &mut Vec<Output>) {
        let ended = self
            .outcomes
            .iter()
            .find(|(operation, _)| *operation == received.operation);
        if let Some((_, outcome)) = ended {
            out.push(self.result_message(&received, outcome.clone()));
            return;
        }
        if let Some((running, _)) = &mut self.running {
            if running.operation == received.operation {
                running.issuer = received.issuer;
                out.push(self.result_message(&received, OrderOutcome::Running));
            }
            return;
        }
        let pending_fencing_token = self
            .pending
            .as_ref()
            .map(|pending| pending.received.fencing_token);
        if received.fencing_token < self.highest_fencing_token
            || pending_fencing_token.is_some_and(|token| received.fencing_token < token)
        {
            self.refuse(&received, out);
            return;
        }
        if pending_fencing_token == Some(received.fencing_token) {
            return;
        }
        self.query_number = self.query_number.wrapping_add(1);
        self.pending = Some(PendingOrder {
            received,
            confirmed_by: BTreeMap::new(),
            voters: u32::MAX,
            next_query_at: now,
            expires_at: now + CONFIRMATION_TIMEOUT,
        });
        self.tick(now, out);
    }

    /// Sends the queries for the term that are due, and drops an expired pending order.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if now >= pending.expires_at {
            self.pending = None;
            return;
        }
        if now < pending.next_query_at {
            return;
        }
        pending.next_query_at = now + QUERY_INTERVAL;
        for to in &self.control_addresses {
            let message = fence::Message::ConfirmTerm {
                query_number: self.query_number,
                server: self.server.clone(),
            };
            out.push(Output::Send {
                to: *to,
                message: Message::EngineOrder(message),
            });
        }
    }

    /// Handles a replica's confirmation of its term; forwards the order once a majority has
    /// confirmed it.
    fn handle_confirmation(
        &mut self,
        from: SocketAddr,
        (replica, term): (Replica, Term),
        voters: u32,
        last_ended_sequence: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let fencing_token = pending.received.fencing_token;
        let is_issuer = from == pending.received.issuer;
        if term > fencing_token.term || (is_issuer && last_ended_sequence >= fencing_token.sequence)
        {
            let received = pending.received.clone();
            self.pending = None;
            self.refuse(&received, out);
            return;
        }
        // A replica with a lower term does not count: it may still help to elect another leader.
        if term < fencing_token.term {
            return;
        }
        pending.confirmed_by.insert(replica, from);
        if is_issuer {
            pending.voters = voters;
        }
        let issuer_confirmed = pending
            .confirmed_by
            .values()
            .any(|address| *address == pending.received.issuer);
        if issuer_confirmed && pending.confirmed_by.len() as u64 * 2 > u64::from(pending.voters) {
            let received = pending.received.clone();
            self.pending = None;
            self.forward(received, out);
        }
    }

    fn forward(&mut self, received: ReceivedOrder, out: &mut Vec<Output>) {
        self.highest_fencing_token = self.highest_fencing_token.max(received.fencing_token);
        let call = order_call(&received);
        out.push(self.result_message(&received, OrderOutcome::Running));
        self.running = Some((received, 0));
        out.push(Output::Forward {
            ticket: ORDER_TICKET,
            call,
            time_left: ORDER_TIMEOUT,
        });
    }

    /// Handles a part of the engine's response to the running order.
    pub fn handle_response(&mut self, part: ResponsePart, out: &mut Vec<Output>) {
        let Some((received, status)) = &mut self.running else {
            return;
        };
        let outcome = match part {
            ResponsePart::Head(head) => {
                *status = head.status;
                return;
            }
            ResponsePart::Data(_) => return,
            ResponsePart::End => match *status {
                200..=299 => OrderOutcome::Done,
                409 => OrderOutcome::Fenced,
                status => OrderOutcome::Failed(format!("engine responded with status {status}")),
            },
            ResponsePart::Failed { detail, .. } => OrderOutcome::Failed(detail),
        };
        let received = received.clone();
        self.running = None;
        self.record_outcome(&received, outcome, out);
    }

    fn record_outcome(
        &mut self,
        received: &ReceivedOrder,
        outcome: OrderOutcome,
        out: &mut Vec<Output>,
    ) {
        let (code, detail) = match &outcome {
            OrderOutcome::Done => (Code::OrderDone, String::new()),
            OrderOutcome::Failed(detail) => (Code::OrderFailed, detail.clone()),
            OrderOutcome::Fenced | OrderOutcome::Running => {
                (Code::OrderFenced, "refused by the engine".to_owned())
            }
        };
        if outcome == OrderOutcome::Done {
            self.update_applied_orders(&received.order);
        }
        let event = Event::new(code, detail).operation(&received.operation);
        out.push(Output::Event(event.server(&self.server)));
        out.push(self.result_message(received, outcome.clone()));
        self.outcomes
            .push_back((received.operation.clone(), outcome));
        if self.outcomes.len() > OUTCOMES_MAX {
            self.outcomes.pop_front();
        }
    }

    /// Removes the orders that a newly applied order supersedes, and adds it unless it unloads a
    /// model.
    fn update_applied_orders(&mut self, order: &EngineOrder) {
        self.applied_orders
            .retain(|applied| match (applied, order) {
                (
                    EngineOrder::Load(loaded),
                    EngineOrder::Load(model) | EngineOrder::Unload(model),
                ) => loaded != model,
                (EngineOrder::Role(_), EngineOrder::Role(_)) => false,
                _ => true,
            });
        if !matches!(order, EngineOrder::Unload(_)) {
            self.applied_orders.push(order.clone());
        }
    }

    fn refuse(&self, received: &ReceivedOrder, out: &mut Vec<Output>) {
        let detail = format!(
            "term {} sequence {}",
            received.fencing_token.term, received.fencing_token.sequence
        );
        let event = Event::new(Code::OrderFenced, detail).operation(&received.operation);
        out.push(Output::Event(event.server(&self.server)));
        out.push(self.result_message(received, OrderOutcome::Fenced));
    }

    fn result_message(&self, received: &ReceivedOrder, result: OrderOutcome) -> Output {
        let message = fence::Message::OrderResult {
            operation: received.operation.clone(),
            server: self.server.clone(),
            result,
        };
        Output::Send {
            to: received.issuer,
            message: Message::EngineOrder(message),
        }
    }
}

/// The call that carries an order to the engine.
fn order_call(received: &ReceivedOrder) -> Call {
    let fencing_token = format!(
        "{}.{}",
        received.fencing_token.term, received.fencing_token.sequence
    );
    let body = serde_json::json!({
        "operation": received.operation,
        "order": received.order,
        "fence": {"term": received.fencing_token.term, "sequence": received.fencing_token.sequence},
    });
    Call {
        method: "POST".to_owned(),
        path: "/v1/orders".to_owned(),
        headers: vec![
            ("content-type".to_owned(), "application/json".to_owned()),
            ("x-eelgrassdyke-fence".to_owned(), fencing_token),
        ],
        body: body.to_string().into_bytes(),
    }
}
