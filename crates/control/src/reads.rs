//! Reads of the last publication that wait for confirmation by a quorum.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::id::{Index, Ticket};
use eelgrassdyke_core::time::Instant;

use crate::io::{OperatorResponse, Output, StoredPublication};

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
        applied: Index,
        publication: Option<(u64, &[u8])>,
        out: &mut Vec<Output>,
    ) {
        self.pending.retain(|_, read| {
            if read.index.is_some_and(|index| index <= applied) {
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
                out.push(Self::no_quorum_response(read.ticket));
            }
            !timed_out
        });
    }

    /// The response when no quorum can be reached.
    pub fn no_quorum_response(ticket: Ticket) -> Output {
        let response = OperatorResponse::Refused {
            problem: "no quorum of the control replicas is in reach".to_owned(),
            remedy: "ask another control process".to_owned(),
        };
        Output::Respond { ticket, response }
    }
}
