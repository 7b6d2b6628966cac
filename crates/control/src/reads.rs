//! Reads of the last publication that wait for confirmation by a quorum.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Ticket};
use eelgrassdyke_core::time::Instant;

use crate::io::{OperatorResponse, Output, StoredPublication};
use crate::log::Replica;

/// Time after which a read fails; it is below the one second for which clients wait for a response.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Most reads that may wait at once; further ones fail immediately.
const PENDING_MAX: usize = 256;

/// Reads in progress, by the number of their query to the log.
#[derive(Clone, Debug, Default)]
pub struct PublicationReads {
    pending: BTreeMap<u64, PendingRead>,
}

#[derive(Clone, Debug)]
struct PendingRead {
    ticket: Ticket,
    started_at: Instant,
    deadline: Instant,
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
            index,
        };
        self.pending.insert(query_number, read);
    }

    /// Records that a quorum confirmed `index` as committed after the query was made.
    pub fn record_confirmation(&mut self, query_number: u64, index: Index) {
        if let Some(read) = self.pending.get_mut(&query_number) {
            read.index = Some(index);
        }
    }

    /// Whether no read is in progress.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When the next read times out.
    pub fn next_deadline(&self) -> Instant {
        let deadlines = self.pending.values().map(|read| read.deadline);
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
        self.pending.retain(|_, read| {
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
                out.push(Self::refusal_event(now, replica, reason, waited));
                out.push(Self::no_quorum_response(read.ticket));
            }
            !timed_out
        });
    }

    /// The event that a read was refused, for `reason` and after it has waited.
    pub fn refusal_event(
        now: Instant,
        replica: &Replica,
        reason: &str,
        waited: Duration,
    ) -> Output {
        let event = Event::new(Code::ConfigReadRefused, reason).with_fact("waited_ms", waited);
        Output::Event(replica.progress(now).add_to(event))
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
