//! Durability: disk jobs, messages held back until a write is durable, application of committed
//! records, and snapshots.

use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Payload, Record};

use super::entries::{self, MemoryLog};
use super::io::{Job, Output, Snapshot, Write};
use super::replica::{Replica, Role};

/// Writes in a row that an election takes: the candidate's vote for itself and the others' votes.
const ELECTION_WRITES: u32 = 2;

/// A job that is not durable.
#[derive(Clone, Debug)]
pub struct PendingJob {
    number: u64,
    issued_at: Instant,
    /// Last record of the log at the time of the job; durable once the job is. None if the job writes no
    /// records.
    last_record: Option<(Index, Term)>,
}

impl Replica {
    /// Sends a message once all writes so far are durable.
    pub(super) fn send_durable(&mut self, to: Id, body: Body, out: &mut Vec<Output>) {
        let job = self.last_issued_job + u64::from(!self.pending_writes.is_empty());
        if job <= self.last_durable_job {
            self.send(to, body, out);
            return;
        }
        self.held_messages.push_back((job, to, body));
    }

    pub(super) fn persist_hard_state(&mut self) {
        self.pending_writes
            .push(Write::HardState(self.hard_state.clone()));
    }

    /// Appends records to the log; they replace all records from the index of the first on.
    pub(super) fn append(&mut self, records: Vec<Record>) {
        let Some(first) = records.first().map(|record| record.index) else {
            return;
        };
        if first <= self.log.last_index() {
            self.log.truncate_from(first);
            self.durable_index = self.durable_index.min(first - Index(1));
        }
        for record in &records {
            self.log.append(record.clone());
        }
        if let Some(Write::Records(written)) = self.pending_writes.last_mut()
            && written
                .last()
                .is_some_and(|last| last.index.next() == first)
        {
            written.extend(records);
            return;
        }
        self.pending_writes.push(Write::Records(records));
    }

    /// Issues the pending writes as one job.
    pub(super) fn issue_job(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.pending_writes.is_empty() {
            return;
        }
        self.last_issued_job += 1;
        let writes = std::mem::take(&mut self.pending_writes);
        let writes_records = |write: &Write| !matches!(write, Write::HardState(_));
        let last_record = (self.log.last_index(), self.log.last_term());
        self.pending_jobs.push_back(PendingJob {
            number: self.last_issued_job,
            issued_at: now,
            last_record: writes.iter().any(writes_records).then_some(last_record),
        });
        out.push(Output::Persist(Job {
            number: self.last_issued_job,
            writes,
        }));
    }

    pub(super) fn handle_persisted(&mut self, now: Instant, job: u64, out: &mut Vec<Output>) {
        self.last_durable_job = self.last_durable_job.max(job);
        let write_age = self.write_age(now);
        if write_age >= self.options.election_timeout_min / ELECTION_WRITES {
            let detail = format!("job {job}");
            let event = Event::new(Code::DiskSlow, detail).with_fact("write_ms", write_age);
            out.push(Output::Event(event));
        }
        while let Some(job) = self.pending_jobs.front()
            && job.number <= self.last_durable_job
        {
            // The record may have been replaced since, by one of another term.
            if let Some((index, term)) = job.last_record
                && self.log.term_at(index) == Some(term)
            {
                self.durable_index = self.durable_index.max(index);
            }
            self.pending_jobs.pop_front();
        }
        while let Some((job, ..)) = self.held_messages.front()
            && *job <= self.last_durable_job
        {
            if let Some((_, to, body)) = self.held_messages.pop_front() {
                self.send(to, body, out);
            }
        }
        self.continue_after_persist(now, out);
    }

    /// Resumes the steps that waited for a durable write: commits, the replica's vote for itself and
    /// acknowledgements.
    fn continue_after_persist(&mut self, now: Instant, out: &mut Vec<Output>) {
        match &self.role {
            Role::Leader(_) => self.advance_commit(now, out),
            Role::Candidate(_) => self.count_own_vote(now, out),
            Role::Follower => {
                // The candidate that it has voted for gets the vote only now.
                if self.leader.is_none() && self.hard_state.vote.is_some() {
                    self.reset_election_timeout(now);
                }
                self.acknowledge_durable(out);
            }
            _ => {}
        }
    }

    /// Age of the oldest write that is not durable; zero if there is none.
    pub(super) fn write_age(&self, now: Instant) -> Duration {
        let oldest = self.pending_jobs.front();
        oldest.map_or(Duration::ZERO, |job| now.since(job.issued_at))
    }

    /// Whether all writes so far are durable.
    pub(super) fn is_all_durable(&self) -> bool {
        self.pending_writes.is_empty() && self.last_durable_job >= self.last_issued_job
    }

    /// Outputs newly committed records for application and requests a snapshot when one is due.
    pub(super) fn apply_committed(&mut self, out: &mut Vec<Output>) {
        while !self.is_halted() && self.applied_index < self.commit_index {
            let Some(record) = self.log.get(self.applied_index.next()).cloned() else {
                break;
            };
            self.applied_index = record.index;
            self.applied_bytes += entries::record_bytes(&record);
            if let Payload::Members(members) = &record.payload {
                let detail = members.to_string();
                out.push(Output::Event(Event::new(Code::MembersChanged, detail)));
            }
            let token = match self.proposal_tokens.remove(&record.index) {
                Some((term, token)) if term == record.term => Some(token),
                _ => None,
            };
            out.push(Output::Apply { record, token });
        }
        let records = (self.applied_index - self.snapshot_index).0;
        let due = records >= self.options.snapshot_records
            || self.applied_bytes >= self.options.snapshot_bytes;
        if due && records > 0 {
            self.request_snapshot(out);
        }
    }

    pub(super) fn request_snapshot(&mut self, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.snapshot_requested, true) {
            out.push(Output::RequestSnapshot);
        }
    }

    pub(super) fn handle_snapshot(&mut self, data: Vec<u8>, out: &mut Vec<Output>) {
        self.snapshot_requested = false;
        let index = self.applied_index;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            data: data.into(),
        };
        if self.is_leader() {
            self.cached_snapshot = Some(snapshot.clone());
        }
        if index == self.snapshot_index {
            return;
        }
        self.snapshot_index = index;
        self.applied_bytes = 0;
        // A replica that lacks more than the snapshot's size gets the snapshot sooner, but one that keeps up
        // must find the records that are on their way to it.
        let in_flight_bytes = self.options.batch_bytes * self.options.in_flight_max as usize;
        let retained_bytes = snapshot.data.len().max(in_flight_bytes);
        let records = self.log.records_from(index.next());
        let write = Write::Snapshot {
            snapshot,
            hard_state: self.hard_state.clone(),
            records,
        };
        self.pending_writes.push(write);
        let compact_to =
            self.log
                .retained_after(index, self.options.retained_records, retained_bytes);
        if compact_to > self.log.base_index() {
            self.log.compact_to(compact_to);
        }
        let detail = format!("up to {index}");
        out.push(Output::Event(Event::new(Code::SnapshotTaken, detail)));
    }

    /// Replaces the log by a snapshot from the leader.
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let base = (snapshot.index, snapshot.term);
        self.log = MemoryLog::new(base, snapshot.members.clone());
        self.durable_index = Index(0);
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.halted_at = None;
        self.snapshot_index = snapshot.index;
        self.applied_bytes = 0;
        self.pending_writes.push(Write::Snapshot {
            snapshot: snapshot.clone(),
            hard_state: self.hard_state.clone(),
            records: Vec::new(),
        });
        let detail = format!("up to {}", snapshot.index);
        out.push(Output::Event(Event::new(Code::SnapshotInstalled, detail)));
        out.push(Output::RestoreSnapshot(snapshot));
    }
}
