//! Lets orders through to the engine, fenced.
//!
//! Some engines carry out whatever reaches them, so the agent does the fencing. A leader that was
//! deposed without knowing may reach the agent before its successor does, and an agent that was
//! restarted has forgotten which orders it saw. So an order is carried out only once a majority of
//! the voting replicas, the giver among them, has said that it knows no newer term than the order's,
//! and the giver that it knows no later order to this engine as ended.

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

use crate::io::{Output, Reply};

/// Ticket of the call that carries an order; the shell's own tickets count up from 1.
pub const ORDER_TICKET: Ticket = Ticket(u64::MAX);

/// Time after which a majority that did not answer is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Time after which an order that no majority confirmed is dropped; the leader gives it again.
const ASK_LIMIT: Duration = Duration::from_secs(5);

/// Longest time that an engine may take over an order.
const RUN_LIMIT: Duration = Duration::from_secs(600);

/// Outcomes remembered.
const OUTCOMES_MAX: usize = 64;

/// An order as it was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Given {
    /// Names the order.
    pub operation: Operation,
    /// What to do.
    pub order: EngineOrder,
    /// Its fence.
    pub fence: FencingToken,
    /// The replica that gave it.
    pub giver: SocketAddr,
}

/// An order that waits for a majority.
#[derive(Clone, Debug)]
struct Asking {
    given: Given,
    said: BTreeMap<Replica, SocketAddr>,
    voters: u32,
    again: Instant,
    until: Instant,
}

/// Orders to one engine.
#[derive(Clone, Debug)]
pub struct Orders {
    server: Server,
    control: Vec<SocketAddr>,
    highest: FencingToken,
    question: u64,
    asking: Option<Asking>,
    running: Option<(Given, u16)>,
    outcomes: VecDeque<(Operation, OrderOutcome)>,
    holds: Vec<EngineOrder>,
}

impl Orders {
    /// No orders seen; `first_question` is of this life of the agent alone.
    pub fn new(server: Server, control: Vec<SocketAddr>, first_question: u64) -> Self {
        Self {
            server,
            control,
            highest: FencingToken::default(),
            question: first_question,
            asking: None,
            running: None,
            outcomes: VecDeque::new(),
            holds: Vec::new(),
        }
    }

    /// Orders that the engine carried out in this life of the agent and that still hold.
    pub fn holds(&self) -> &[EngineOrder] {
        &self.holds
    }

    /// When [`Orders::tick`] has something to do.
    pub fn next_deadline(&self) -> Instant {
        let asking = self.asking.as_ref();
        asking.map_or(Instant::NEVER, |asking| asking.again.min(asking.until))
    }

    /// Takes in a message about orders from a control process.
    pub fn hear(
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
                fence,
            } if server == self.server => {
                let given = Given {
                    operation,
                    order,
                    fence,
                    giver: from,
                };
                self.take(now, given, out);
            }
            fence::Message::TermConfirmed {
                query_number: question,
                replica,
                term,
                voters,
                last_ended_sequence: ended,
            } if question == self.question => {
                self.take_word(from, (replica, term), voters, ended, out);
            }
            _ => {}
        }
    }

    fn take(&mut self, now: Instant, given: Given, out: &mut Vec<Output>) {
        let known = self.outcomes.iter().find(|(o, _)| *o == given.operation);
        if let Some((_, outcome)) = known {
            out.push(self.report(&given, outcome.clone()));
            return;
        }
        if let Some((running, _)) = &mut self.running {
            if running.operation == given.operation {
                running.giver = given.giver;
                out.push(self.report(&given, OrderOutcome::Running));
            }
            return;
        }
        let asked = self.asking.as_ref().map(|asking| asking.given.fence);
        if given.fence < self.highest || asked.is_some_and(|asked| given.fence < asked) {
            self.refuse(&given, out);
            return;
        }
        if asked == Some(given.fence) {
            return;
        }
        self.question = self.question.wrapping_add(1);
        self.asking = Some(Asking {
            given,
            said: BTreeMap::new(),
            voters: u32::MAX,
            again: now,
            until: now + ASK_LIMIT,
        });
        self.tick(now, out);
    }

    /// Asks again, or gives up asking.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(asking) = &mut self.asking else {
            return;
        };
        if now >= asking.until {
            self.asking = None;
            return;
        }
        if now < asking.again {
            return;
        }
        asking.again = now + ASK_AGAIN;
        for to in &self.control {
            let message = fence::Message::ConfirmTerm {
                query_number: self.question,
                server: self.server.clone(),
            };
            out.push(Output::Send {
                to: *to,
                message: Message::EngineOrder(message),
            });
        }
    }

    /// Takes in what a replica knows; carries the order out once a majority agrees.
    fn take_word(
        &mut self,
        from: SocketAddr,
        (replica, term): (Replica, Term),
        voters: u32,
        ended: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(asking) = &mut self.asking else {
            return;
        };
        let fence = asking.given.fence;
        let gives = from == asking.given.giver;
        if term > fence.term || (gives && ended >= fence.sequence) {
            let given = asking.given.clone();
            self.asking = None;
            self.refuse(&given, out);
            return;
        }
        // A replica that lags behind the term may still help to elect another leader.
        if term < fence.term {
            return;
        }
        asking.said.insert(replica, from);
        if gives {
            asking.voters = voters;
        }
        let giver_said = asking.said.values().any(|at| *at == asking.given.giver);
        if giver_said && asking.said.len() as u64 * 2 > u64::from(asking.voters) {
            let given = asking.given.clone();
            self.asking = None;
            self.run(given, out);
        }
    }

    fn run(&mut self, given: Given, out: &mut Vec<Output>) {
        self.highest = self.highest.max(given.fence);
        let call = call(&given);
        out.push(self.report(&given, OrderOutcome::Running));
        self.running = Some((given, 0));
        out.push(Output::Run {
            ticket: ORDER_TICKET,
            call,
            left: RUN_LIMIT,
        });
    }

    /// Takes in what the engine answers.
    pub fn take_reply(&mut self, reply: Reply, out: &mut Vec<Output>) {
        let Some((given, status)) = &mut self.running else {
            return;
        };
        let outcome = match reply {
            Reply::Head(head) => {
                *status = head.status;
                return;
            }
            Reply::Data(_) => return,
            Reply::End => match *status {
                200..=299 => OrderOutcome::Done,
                409 => OrderOutcome::Fenced,
                status => OrderOutcome::Failed(format!("the engine answered {status}")),
            },
            Reply::Failed { detail, .. } => OrderOutcome::Failed(detail),
        };
        let given = given.clone();
        self.running = None;
        self.end(&given, outcome, out);
    }

    fn end(&mut self, given: &Given, outcome: OrderOutcome, out: &mut Vec<Output>) {
        let (code, detail) = match &outcome {
            OrderOutcome::Done => (Code::OrderDone, String::new()),
            OrderOutcome::Failed(detail) => (Code::OrderFailed, detail.clone()),
            OrderOutcome::Fenced | OrderOutcome::Running => {
                (Code::OrderFenced, "by the engine".to_owned())
            }
        };
        if outcome == OrderOutcome::Done {
            self.hold(&given.order);
        }
        let event = Event::new(code, detail).operation(&given.operation);
        out.push(Output::Event(event.server(&self.server)));
        out.push(self.report(given, outcome.clone()));
        self.outcomes.push_back((given.operation.clone(), outcome));
        if self.outcomes.len() > OUTCOMES_MAX {
            self.outcomes.pop_front();
        }
    }

    /// Notes what a carried out order leaves in force.
    fn hold(&mut self, order: &EngineOrder) {
        self.holds.retain(|held| match (held, order) {
            (EngineOrder::Load(held), EngineOrder::Load(model) | EngineOrder::Unload(model)) => {
                held != model
            }
            (EngineOrder::Role(_), EngineOrder::Role(_)) => false,
            _ => true,
        });
        if !matches!(order, EngineOrder::Unload(_)) {
            self.holds.push(order.clone());
        }
    }

    fn refuse(&self, given: &Given, out: &mut Vec<Output>) {
        let detail = format!(
            "term {} sequence {}",
            given.fence.term, given.fence.sequence
        );
        let event = Event::new(Code::OrderFenced, detail).operation(&given.operation);
        out.push(Output::Event(event.server(&self.server)));
        out.push(self.report(given, OrderOutcome::Fenced));
    }

    fn report(&self, given: &Given, result: OrderOutcome) -> Output {
        let message = fence::Message::OrderResult {
            operation: given.operation.clone(),
            server: self.server.clone(),
            result,
        };
        Output::Send {
            to: given.giver,
            message: Message::EngineOrder(message),
        }
    }
}

/// The call that carries an order to the engine.
fn call(given: &Given) -> Call {
    let fence = format!("{}.{}", given.fence.term, given.fence.sequence);
    let body = serde_json::json!({
        "operation": given.operation,
        "order": given.order,
        "fence": {"term": given.fence.term, "sequence": given.fence.sequence},
    });
    Call {
        method: "POST".to_owned(),
        path: "/v1/orders".to_owned(),
        headers: vec![
            ("content-type".to_owned(), "application/json".to_owned()),
            ("x-eelgrassdyke-fence".to_owned(), fence),
        ],
        body: body.to_string().into_bytes(),
    }
}
