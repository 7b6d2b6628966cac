//! Operators that wait until a quorum has confirmed what they read.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::id::{Index, Ticket};
use eelgrassdyke_core::time::Instant;

use crate::io::{Answer, Output, Published};

/// Time after which a read is given up; callers of control wait a second for an answer.
const PATIENCE: Duration = Duration::from_millis(800);

/// Reads that may wait at once.
const WAITING_MAX: usize = 256;

/// Reads in progress, by question to the log.
#[derive(Clone, Debug, Default)]
pub struct Reads {
    waiting: BTreeMap<u64, Read>,
}

#[derive(Clone, Debug)]
struct Read {
    ticket: Ticket,
    deadline: Instant,
    /// The position that a quorum confirmed.
    index: Option<Index>,
}

impl Reads {
    /// Notes that an operator waits for the answer to a question.
    pub fn add(&mut self, now: Instant, question: u64, ticket: Ticket) {
        let deadline = match self.waiting.len() < WAITING_MAX {
            true => now + PATIENCE,
            false => now,
        };
        let index = None;
        let read = Read {
            ticket,
            deadline,
            index,
        };
        self.waiting.insert(question, read);
    }

    /// Notes that a quorum confirmed `index` after the question was asked.
    pub fn confirm(&mut self, question: u64, index: Index) {
        if let Some(read) = self.waiting.get_mut(&question) {
            read.index = Some(index);
        }
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When the next read is given up.
    pub fn next_deadline(&self) -> Instant {
        let deadlines = self.waiting.values().map(|read| read.deadline);
        deadlines.min().unwrap_or(Instant::NEVER)
    }

    /// Answers those whose position is applied, and gives up those that waited too long.
    pub fn answer(
        &mut self,
        now: Instant,
        applied: Index,
        published: Option<(u64, &[u8])>,
        out: &mut Vec<Output>,
    ) {
        self.waiting.retain(|_, read| {
            if read.index.is_some_and(|index| index <= applied) {
                let published = published.map(|(number, source)| Published {
                    number,
                    source: source.to_vec(),
                });
                out.push(Output::Answer {
                    ticket: read.ticket,
                    answer: Answer::Publication(published),
                });
                return false;
            }
            let late = now >= read.deadline;
            if late {
                out.push(Self::fail(read.ticket));
            }
            !late
        });
    }

    /// The answer to an operator when no quorum can be reached.
    pub fn fail(ticket: Ticket) -> Output {
        let answer = Answer::Refused {
            problem: "no quorum of the control replicas is in reach".to_owned(),
            remedy: "ask another control process".to_owned(),
        };
        Output::Answer { ticket, answer }
    }
}
