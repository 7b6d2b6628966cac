//! Replication of records and transfer of snapshots from the leader to the other members.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Members, Message, Record};

use super::io::{Output, Snapshot};
use super::leader::SnapshotTransfer;
use super::replica::{Replica, Role};

/// Heartbeat intervals after which an unacknowledged part of a snapshot is sent again. Rounds are no measure, as
/// each read query may start one.
const PART_RETRY_INTERVALS: u32 = 5;

/// Largest snapshot that is accepted.
const SNAPSHOT_BYTES_MAX: usize = 1 << 30;

/// Snapshot that is being received in parts.
#[derive(Clone, Debug)]
pub struct IncomingSnapshot {
    index: Index,
    term: Term,
    members: Members,
    data: Vec<u8>,
}

impl Replica {
    /// Sends a member the records that it lacks, up to [`in_flight_max`] messages, or the next part
    /// of a snapshot.
    ///
    /// [`in_flight_max`]: super::Options::in_flight_max
    pub(super) fn replicate_to(&mut self, now: Instant, id: Id, out: &mut Vec<Output>) {
        let (base_index, commit_index) = (self.log.base_index(), self.commit_index);
        let (batch_bytes, in_flight_max) = (
            self.options.batch_bytes,
            self.options.in_flight_max as usize,
        );
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let Some(peer) = leader.peers.get_mut(&id) else {
            return;
        };
        if peer.next_index <= base_index {
            self.send_snapshot_part(now, id, out);
            return;
        }
        let mut bodies = Vec::new();
        let mut push_append =
            |log: &super::entries::MemoryLog, first: Index, records: Vec<Record>| {
                let previous_index = first - Index(1);
                bodies.push(Body::Append {
                    previous_index,
                    previous_term: log.term_at(previous_index).unwrap_or_default(),
                    records,
                    commit_index,
                    round,
                });
            };
        while !peer.probing && peer.in_flight.len() < in_flight_max {
            let records = self.log.batch(peer.next_index, batch_bytes);
            let Some(last) = records.last().map(|record| record.index) else {
                break;
            };
            push_append(&self.log, peer.next_index, records);
            peer.next_index = last.next();
            peer.in_flight.push_back(last);
            peer.heartbeat_due = false;
        }
        // A heartbeat without records still shows whether the log matches before `next_index`.
        if std::mem::take(&mut peer.heartbeat_due) {
            push_append(&self.log, peer.next_index, Vec::new());
        }
        for body in bodies {
            self.send(id, body, out);
        }
    }

    /// Sends the next part of a snapshot to a member that lacks records before the log's base.
    fn send_snapshot_part(&mut self, now: Instant, id: Id, out: &mut Vec<Output>) {
        let retry_after = self.options.heartbeat_interval * PART_RETRY_INTERVALS;
        let snapshot_part_bytes = self.options.snapshot_part_bytes;
        let commit_index = self.commit_index;
        let base_index = self.log.base_index();
        let cached = self.cached_snapshot.as_ref();
        let usable = cached
            .filter(|snapshot| snapshot.index >= base_index)
            .cloned();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let Some(peer) = leader.peers.get_mut(&id) else {
            return;
        };
        let heartbeat_due = std::mem::take(&mut peer.heartbeat_due);
        if peer.transfer.is_none() {
            peer.transfer = usable.as_ref().map(SnapshotTransfer::new);
        }
        let mut bodies = Vec::new();
        let mut lacks_snapshot = false;
        match &mut peer.transfer {
            None => lacks_snapshot = true,
            Some(transfer) => {
                let sent_at = transfer.sent_at;
                if sent_at.is_none_or(|sent_at| now.since(sent_at) >= retry_after) {
                    transfer.sent_at = Some(now);
                    bodies.push(next_part(transfer, snapshot_part_bytes, round));
                }
            }
        }
        // Index 0 matches every log, so this is a pure heartbeat.
        if heartbeat_due && bodies.is_empty() {
            bodies.push(Body::Append {
                previous_index: Index(0),
                previous_term: Term(0),
                records: Vec::new(),
                commit_index,
                round,
            });
        }
        for body in bodies {
            self.send(id, body, out);
        }
        if lacks_snapshot {
            self.request_snapshot(out);
        }
    }

    /// Handles a message from a leader.
    pub(super) fn handle_leader_message(
        &mut self,
        now: Instant,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let round = match &message.body {
            Body::Append { round, .. } | Body::InstallSnapshot { round, .. } => *round,
            _ => return,
        };
        if message.term < self.hard_state.term {
            // The newer term in the response makes the old leader step down.
            let body = Body::AppendResponse {
                matched: false,
                index: Index(0),
                round,
                knows_settled: true,
            };
            self.send(message.from, body, out);
            return;
        }
        if message.term == self.hard_state.term && self.is_leader() {
            return;
        }
        self.become_follower(now, message.term, Some(message.from), out);
        self.last_leader_contact = now;
        self.restart.end();
        self.reset_election_timeout(now);
        match message.body {
            Body::Append {
                previous_index,
                previous_term,
                records,
                commit_index,
                ..
            } => {
                let previous = (previous_index, previous_term);
                self.handle_append(message.from, previous, records, commit_index, round, out);
            }
            Body::InstallSnapshot {
                last_index,
                last_term,
                members,
                offset,
                data,
                done,
                ..
            } => {
                let header = (last_index, last_term, members);
                self.handle_snapshot_part(message.from, header, offset, &data, done, round, out);
            }
            _ => {}
        }
    }

    fn handle_append(
        &mut self,
        from: Id,
        previous: (Index, Term),
        mut records: Vec<Record>,
        leader_commit: Index,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        let (mut index, term) = previous;
        if index < self.log.base_index() {
            // Records up to the base are committed, so they match.
            let base_index = self.log.base_index();
            let end = index + Index(records.len() as u64);
            records.retain(|record| record.index > base_index);
            index = base_index.min(end);
        } else if self.log.term_at(index) != Some(term) {
            let body = Body::AppendResponse {
                matched: false,
                index: self.conflict_hint(index),
                round,
                knows_settled: true,
            };
            self.send(from, body, out);
            return;
        }
        let end = index + Index(records.len() as u64);
        let matches = |record: &Record| self.log.term_at(record.index) == Some(record.term);
        let first_new = records.iter().position(|record| !matches(record));
        if let Some(at) = first_new {
            let records = records.split_off(at);
            if records[0].index <= self.commit_index {
                self.report_divergence(records[0].index, out);
                return;
            }
            self.append(records);
        }
        self.verified_index = self.verified_index.max(end);
        let commit_index = leader_commit.min(self.verified_index);
        if commit_index > self.commit_index {
            self.commit_index = commit_index;
            self.apply_committed(out);
        }
        self.caught_up |= leader_commit == commit_index
            && self.log.term_at(leader_commit) == Some(self.hard_state.term);
        self.send_append_response(from, round, out);
    }

    /// Last index at which the logs may match after a mismatch at `index`.
    fn conflict_hint(&self, index: Index) -> Index {
        let Some(term) = self.log.term_at(index) else {
            return self.log.last_index().min(index - Index(1));
        };
        // Skips all records of the mismatching term, to save one round trip per record.
        let mut hint = index - Index(1);
        while hint > self.commit_index && self.log.term_at(hint) == Some(term) {
            hint = hint - Index(1);
        }
        hint
    }

    /// Reports a record of the leader that conflicts with a committed one, which a correct leader
    /// never sends.
    fn report_divergence(&self, index: Index, out: &mut Vec<Output>) {
        let detail = format!(
            "the leader's record {index} conflicts with a committed one; \
             empty this replica's data folder and add it as a new replica"
        );
        out.push(Output::Event(Event::new(Code::InputRefused, detail)));
    }

    /// Acknowledges the log up to the last index that is durable and matches the leader's log.
    fn send_append_response(&mut self, to: Id, round: u64, out: &mut Vec<Output>) {
        self.last_round = round;
        let body = Body::AppendResponse {
            matched: true,
            index: self.verified_index.min(self.durable_index),
            round,
            knows_settled: true,
        };
        self.send(to, body, out);
    }

    /// Sends another acknowledgement after a write has become durable.
    pub(super) fn acknowledge_durable(&mut self, out: &mut Vec<Output>) {
        if let Some(leader) = self.leader
            && leader != self.id
            && self.verified_index > Index(0)
        {
            self.send_append_response(leader, self.last_round, out);
        }
    }

    #[expect(clippy::too_many_arguments)]
    fn handle_snapshot_part(
        &mut self,
        from: Id,
        header: (Index, Term, Members),
        offset: u64,
        data: &[u8],
        done: bool,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        let (index, term, members) = header;
        // If the record at `index` matches, later ones may have been acknowledged, so the log
        // stays.
        let matches = self.log.term_at(index) == Some(term);
        if index <= self.commit_index || matches {
            self.verified_index = self.verified_index.max(index);
            if index > self.commit_index {
                self.commit_index = index;
                self.apply_committed(out);
            }
            self.incoming_snapshot = None;
            self.send_append_response(from, round, out);
            return;
        }
        let incoming = self.incoming_snapshot.take();
        let resumed = incoming.filter(|incoming| (incoming.index, incoming.term) == (index, term));
        let mut incoming = resumed.unwrap_or_else(|| IncomingSnapshot {
            index,
            term,
            members,
            data: Vec::new(),
        });
        let received = incoming.data.len();
        let fits = offset as usize == received && received + data.len() <= SNAPSHOT_BYTES_MAX;
        if fits {
            incoming.data.extend_from_slice(data);
        }
        if !(fits && done) {
            let offset = incoming.data.len() as u64;
            self.incoming_snapshot = Some(incoming);
            self.send(from, Body::InstallProgress { offset, round }, out);
            return;
        }
        self.verified_index = index;
        self.install_snapshot(
            Snapshot {
                index,
                term,
                members: incoming.members,
                data: incoming.data.into(),
            },
            out,
        );
        self.send_append_response(from, round, out);
    }
}

/// The next part of a snapshot.
fn next_part(transfer: &SnapshotTransfer, snapshot_part_bytes: usize, round: u64) -> Body {
    let snapshot = &transfer.snapshot;
    let end = (transfer.offset + snapshot_part_bytes).min(snapshot.data.len());
    Body::InstallSnapshot {
        last_index: snapshot.index,
        last_term: snapshot.term,
        members: snapshot.members.clone(),
        offset: transfer.offset as u64,
        data: snapshot.data[transfer.offset..end].to_vec(),
        done: end == snapshot.data.len(),
        round,
    }
}
