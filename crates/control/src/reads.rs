//! Reads of the last publication that wait for confirmation by a quorum.

use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Ticket};
use eelgrassdyke_core::time::Instant;

use crate::io::{OperatorResponse, Output, StoredPublication};
use crate::log::Replica;

/// Time after which a read fails; it is below the one second for which clients wait for a response.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which a query without a response is sent again: it or its response may be lost, or the leader
/// may have changed.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Most reads that may wait at once; further ones fail immediately.
const PENDING_MAX: usize = 256;

/// Reads in progress.
#[derive(Clone, Debug, Default)]
pub struct PublicationReads {
    pending: Vec<PendingRead>,
}

#[derive(Clone, Debug)]
struct PendingRead {
    ticket: Ticket,
    started_at: Instant,
    deadline: Instant,
    /// Numbers of its queries to the log.
    queries: Vec<u64>,
    next_query_at: Instant,
    /// The committed index that a quorum confirmed; none until then.
    index: Option<Index>,
}

impl PublicationReads {
    /// Adds an operator's read, which waits for the query to be confirmed.
    pub fn add(&mut self, now: Instant, query_number: u64, ticket: Ticket) {
        let deadline = match self.pending.len() < PENDING_MAX {
            true => now + READ_TIMEOUT,
            false => now,
        };
        let index = None;
        let read = PendingRead {
            ticket,
            started_at: now,
            deadline,
            queries: vec![query_number],
            next_query_at: now + QUERY_INTERVAL,
            index,
        };
        self.pending.push(read);
    }

    /// Adds a query, with a number from `next_number`, to each read whose last one is overdue; returns the
    /// numbers.
    pub fn repeat_queries(
        &mut self,
        now: Instant,
        mut next_number: impl FnMut() -> u64,
    ) -> Vec<u64> {
        let mut numbers = Vec::new();
        for read in &mut self.pending {
            if read.index.is_some() || now < read.next_query_at {
                continue;
            }
            let number = next_number();
            read.queries.push(number);
            read.next_query_at = now + QUERY_INTERVAL;
            numbers.push(number);
        }
        numbers
    }

    /// Records that a quorum confirmed `index` as committed after the query was made.
    pub fn record_confirmation(&mut self, query_number: u64, index: Index) {
        let mut pending = self.pending.iter_mut();
        if let Some(read) = pending.find(|read| read.queries.contains(&query_number)) {
            read.index.get_or_insert(index);
        }
    }

    /// Whether no read is in progress.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When the next read times out or its next query is due.
    pub fn next_deadline(&self) -> Instant {
        let deadlines = self.pending.iter().map(|read| match read.index {
            Some(_) => read.deadline,
            None => read.deadline.min(read.next_query_at),
        });
        deadlines.min().unwrap_or(Instant::NEVER)
    }

    /// Responds to the reads whose confirmed index is applied, and to those that have timed out.
    pub fn complete(
        &mut self,
        now: Instant,
        replica: &Replica,
        publication: Option<(u64, &[u8])>,
        out: &mut Vec<Output>,
    ) {
        let applied = replica.applied_index();
        self.pending.retain(|read| {
            let waited = now.since(read.started_at);
            if read.index.is_some_and(|index| index <= applied) {
                let event = match publication {
                    Some((number, _)) => Event::new(Code::ConfigRead, format!("number {number}")),
                    None => Event::new(Code::ConfigReadRefused, "no configuration is held"),
                };
                let event = event.with_fact("waited_ms", waited);
                out.push(Output::Event(replica.progress(now).add_to(event)));
                let publication = publication.map(|(number, source)| StoredPublication {
                    number,
                    source: source.to_vec(),
                });
                out.push(Output::Respond {
                    ticket: read.ticket,
                    response: OperatorResponse::Publication(publication),
                });
                return false;
            }
            let timed_out = now >= read.deadline;
            if timed_out {
                let reason = match read.index {
                    Some(_) => "the confirmed index is not applied in time",
                    None => "no quorum confirmed the committed index in time",
                };
                Self::refuse(now, replica, read.ticket, (reason, waited), out);
            }
            !timed_out
        });
    }

    /// Refuses a read, with the reason and the time for which it has waited, and records that.
    pub fn refuse(
        now: Instant,
        replica: &Replica,
        ticket: Ticket,
        (reason, waited): (&str, Duration),
        out: &mut Vec<Output>,
    ) {
        let event = Event::new(Code::ConfigReadRefused, reason).with_fact("waited_ms", waited);
        out.push(Output::Event(replica.progress(now).add_to(event)));
        out.push(Self::no_quorum_response(ticket));
    }

    /// The response when no quorum can be reached, to an operator or to a server without an agent.
    pub fn no_quorum_response(ticket: Ticket) -> Output {
        let response = OperatorResponse::Refused {
            problem: "no quorum of the control replicas is reachable".to_owned(),
            remedy: "send the request to another control process".to_owned(),
        };
        Output::Respond { ticket, response }
    }
}
