//! What a replica makes durable, what waits for that, and what it hands out to apply.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Payload, Record};

use super::entries::{self, Entries};
use super::io::{Job, Output, Snapshot, Write};
use super::replica::{Replica, Role};

/// The end of the log that a job makes durable.
#[derive(Clone, Debug)]
pub struct Mark {
    job: u64,
    index: Index,
    term: Term,
}

impl Replica {
    /// Sends a message once everything written so far is durable.
    pub(super) fn send_durable(&mut self, to: Id, body: Body, out: &mut Vec<Output>) {
        let job = self.issued + u64::from(!self.writes.is_empty());
        if job <= self.done {
            self.send(to, body, out);
            return;
        }
        self.held.push_back((job, to, body));
    }

    pub(super) fn write_hard(&mut self) {
        self.writes.push(Write::HardState(self.hard.clone()));
    }

    /// Appends records to the log, in place of what is at their position and after it.
    pub(super) fn append(&mut self, records: Vec<Record>) {
        let Some(first) = records.first().map(|record| record.index) else {
            return;
        };
        if first <= self.log.last() {
            self.log.cut(first);
            self.durable = self.durable.min(first - Index(1));
        }
        for record in &records {
            self.log.push(record.clone());
        }
        if let Some(Write::Records(written)) = self.writes.last_mut()
            && written
                .last()
                .is_some_and(|last| last.index.next() == first)
        {
            written.extend(records);
            return;
        }
        self.writes.push(Write::Records(records));
    }

    /// Hands out the writes gathered as one job.
    pub(super) fn finish(&mut self, out: &mut Vec<Output>) {
        if self.writes.is_empty() {
            return;
        }
        self.issued += 1;
        let writes = std::mem::take(&mut self.writes);
        if writes
            .iter()
            .any(|write| !matches!(write, Write::HardState(_)))
        {
            self.marks.push_back(Mark {
                job: self.issued,
                index: self.log.last(),
                term: self.log.last_term(),
            });
        }
        out.push(Output::Persist(Job {
            number: self.issued,
            writes,
        }));
    }

    pub(super) fn take_persisted(&mut self, now: Instant, job: u64, out: &mut Vec<Output>) {
        self.done = self.done.max(job);
        while let Some(mark) = self.marks.front()
            && mark.job <= self.done
        {
            // A mark counts only while the records that it stands for are still in the log.
            if self.log.term(mark.index) == Some(mark.term) {
                self.durable = self.durable.max(mark.index);
            }
            self.marks.pop_front();
        }
        while let Some((job, ..)) = self.held.front()
            && *job <= self.done
        {
            if let Some((_, to, body)) = self.held.pop_front() {
                self.send(to, body, out);
            }
        }
        self.persisted(now, out);
    }

    /// Goes on with what waited for the disk.
    fn persisted(&mut self, now: Instant, out: &mut Vec<Output>) {
        match &self.role {
            Role::Leader(_) => self.advance_commit(now, out),
            Role::Candidate { pre: false, .. } => self.count_own_vote(now, out),
            Role::Follower => self.acknowledge(out),
            _ => {}
        }
    }

    /// Whether everything written so far is durable.
    pub(super) fn is_settled(&self) -> bool {
        self.writes.is_empty() && self.done >= self.issued
    }

    /// Hands out the records that became committed.
    pub(super) fn apply(&mut self, out: &mut Vec<Output>) {
        while self.applied < self.commit {
            let Some(record) = self.log.get(self.applied.next()).cloned() else {
                break;
            };
            self.applied = record.index;
            self.applied_bytes += entries::size(&record);
            if let Payload::Members(members) = &record.payload {
                let detail = members.to_string();
                out.push(Output::Event(Event::new(Code::MembersChanged, detail)));
            }
            let token = match self.tokens.remove(&record.index) {
                Some((term, token)) if term == record.term => Some(token),
                _ => None,
            };
            out.push(Output::Apply { record, token });
        }
        let records = (self.applied - self.snapshot).0;
        let due = records >= self.options.snapshot_records
            || self.applied_bytes >= self.options.snapshot_bytes;
        if due && records > 0 {
            self.want_snapshot(out);
        }
    }

    pub(super) fn want_snapshot(&mut self, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.snapshot_wanted, true) {
            out.push(Output::RequestSnapshot);
        }
    }

    pub(super) fn take_snapshot(&mut self, data: Vec<u8>, out: &mut Vec<Output>) {
        self.snapshot_wanted = false;
        let index = self.applied;
        let Some(term) = self.log.term(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            data: data.into(),
        };
        if self.is_leader() {
            self.snapshot_cache = Some(snapshot.clone());
        }
        if index == self.snapshot {
            return;
        }
        self.snapshot = index;
        self.applied_bytes = 0;
        let records = self.log.from(index.next());
        let write = Write::Snapshot {
            snapshot,
            hard: self.hard.clone(),
            records,
        };
        self.writes.push(write);
        let keep = Index(self.options.retained_records);
        let trim = index - keep;
        if trim > self.log.base() {
            self.log.trim(trim);
        }
        let detail = format!("up to {index}");
        out.push(Output::Event(Event::new(Code::SnapshotTaken, detail)));
    }

    /// Starts the log anew from a snapshot that the leader sent.
    pub(super) fn restore(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let base = (snapshot.index, snapshot.term);
        self.log = Entries::new(base, snapshot.members.clone());
        self.durable = Index(0);
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.snapshot = snapshot.index;
        self.applied_bytes = 0;
        self.writes.push(Write::Snapshot {
            snapshot: snapshot.clone(),
            hard: self.hard.clone(),
            records: Vec::new(),
        });
        let detail = format!("up to {}", snapshot.index);
        out.push(Output::Event(Event::new(Code::SnapshotInstalled, detail)));
        out.push(Output::RestoreSnapshot(snapshot));
    }
}
