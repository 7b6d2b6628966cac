//! Operators' orders to evacuate a data centre, and to end its evacuation.
//!
//! An order is a change of the configuration, so it is durable and in force everywhere as the
//! configuration is. It carries no version of its own: the leader that receives it takes the version
//! that it has applied as the base. A proposal that is committed late, after another order for the same
//! data centre, therefore conflicts and changes nothing. The operator is told that the outcome is
//! unknown, and sends the order again.

use std::collections::BTreeMap;

use eelgrassdyke_core::config::{Change, DataCentreSpec, Patch, Submission, Verdict};
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{DataCentre, Operation, Ticket};
use eelgrassdyke_core::time::Instant;

use crate::control::Control;
use crate::io::{EvacuationOrder, OperatorResponse, Output};
use crate::proposals::Waiter;
use crate::state::{Action, CommandResult};

impl Control {
    /// Proposes an operator's order.
    pub(crate) fn evacuate(
        &mut self,
        now: Instant,
        ticket: Ticket,
        order: EvacuationOrder,
        out: &mut Vec<Output>,
    ) {
        let Some(operation) = self.evacuation_operation(ticket) else {
            out.push(Output::Respond {
                ticket,
                response: OperatorResponse::OutcomeUnknown,
            });
            return;
        };
        let spec = order
            .evacuated
            .then_some(DataCentreSpec { evacuated: true });
        let patch = Patch {
            data_centres: BTreeMap::from([(order.data_centre, spec)]),
            ..Patch::default()
        };
        let submission = Submission {
            operation: operation.clone(),
            base: self.version(),
            change: Change::Patch(patch),
            author: order.author,
        };
        let waiter = Waiter::Evacuation { ticket, operation };
        self.propose(now, Action::Submit(submission), waiter, out);
    }

    /// The operation of an order; each copy of an order is an operation of its own, so that an order for
    /// the state that already holds is decided anew.
    fn evacuation_operation(&self, ticket: Ticket) -> Option<Operation> {
        let local = &self.local;
        // The incarnation tells the tickets of a restarted process from those before. The name of the
        // process may be as long as an operation.
        let name = local.process.as_str();
        let name = name.get(..OPERATION_PROCESS_BYTES_MAX).unwrap_or(name);
        let operation = format!("evacuation-{name}-{}-{ticket}", local.incarnation);
        operation.parse().ok()
    }

    /// Data centres whose servers get no requests.
    pub fn evacuated_data_centres(&self) -> Vec<DataCentre> {
        let data_centres = self.state.config.document().data_centres.iter();
        let evacuated = data_centres.filter(|(_, spec)| spec.evacuated);
        evacuated.map(|(name, _)| name.clone()).collect()
    }
}

/// Most bytes of the process's name in the operation of an order.
const OPERATION_PROCESS_BYTES_MAX: usize = 64;

/// The response to an operator whose order was decided.
pub(crate) fn response(verdict: Verdict) -> OperatorResponse {
    match verdict {
        // Another order for this data centre was accepted in between. Which of the two the operator
        // wants is not known here.
        Verdict::Conflict { .. } => OperatorResponse::OutcomeUnknown,
        verdict => OperatorResponse::Verdict(verdict),
    }
}

/// One event for each order in an accepted change.
pub(crate) fn events(action: &Action, result: &CommandResult) -> Vec<Event> {
    let (Action::Submit(submission), CommandResult::Verdict(Verdict::Accepted { version })) =
        (action, result)
    else {
        return Vec::new();
    };
    let Change::Patch(patch) = &submission.change else {
        return Vec::new();
    };
    let orders = patch.data_centres.iter().map(|(data_centre, spec)| {
        let order = match spec {
            Some(spec) if spec.evacuated => "evacuate",
            Some(_) | None => "restore",
        };
        Event::new(Code::EvacuationOrdered, order)
            .operation(&submission.operation)
            .with_fact("data_centre", data_centre.as_str())
            .with_fact("author", submission.author.as_str())
            .with_fact("config_version", version.0)
    });
    orders.collect()
}
