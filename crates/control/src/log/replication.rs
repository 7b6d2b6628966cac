//! Records and snapshots on their way from the leader to the other members.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Members, Message, Record};

use super::io::{Output, Snapshot};
use super::leader::Install;
use super::replica::{Replica, Role};

/// Rounds after which a part of a snapshot is sent again.
const PART_ROUNDS: u64 = 5;

/// Largest snapshot that is taken over, in bytes.
const SNAPSHOT_BYTES_MAX: usize = 1 << 30;

/// A snapshot that arrives in parts.
#[derive(Clone, Debug)]
pub struct Incoming {
    index: Index,
    term: Term,
    members: Members,
    data: Vec<u8>,
}

impl Replica {
    /// Sends a member what it lacks, as far as its window goes.
    pub(super) fn feed(&mut self, id: Id, out: &mut Vec<Output>) {
        let (base, commit) = (self.log.base(), self.commit);
        let (batch_bytes, window) = (
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
        if peer.next <= base {
            self.feed_snapshot(id, out);
            return;
        }
        let mut bodies = Vec::new();
        let mut append = |log: &super::entries::Entries, next: Index, records: Vec<Record>| {
            let previous_index = next - Index(1);
            bodies.push(Body::Append {
                previous_index,
                previous_term: log.term(previous_index).unwrap_or_default(),
                records,
                commit_index: commit,
                round,
            });
        };
        while !peer.probing && peer.under_way.len() < window {
            let records = self.log.batch(peer.next, batch_bytes);
            let Some(last) = records.last().map(|record| record.index) else {
                break;
            };
            append(&self.log, peer.next, records);
            peer.next = last.next();
            peer.under_way.push_back(last);
            peer.beat = false;
        }
        // Without records the message still shows whether those before it arrived.
        if std::mem::take(&mut peer.beat) {
            append(&self.log, peer.next, Vec::new());
        }
        for body in bodies {
            self.send(id, body, out);
        }
    }

    /// Sends the next part of a snapshot to a member that lacks more than the log still holds.
    fn feed_snapshot(&mut self, id: Id, out: &mut Vec<Output>) {
        let snapshot_part_bytes = self.options.snapshot_part_bytes;
        let commit = self.commit;
        let base = self.log.base();
        let cached = self.snapshot_cache.as_ref();
        let fresh = cached.filter(|snapshot| snapshot.index >= base).cloned();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let Some(peer) = leader.peers.get_mut(&id) else {
            return;
        };
        let beat = std::mem::take(&mut peer.beat);
        if peer.install.is_none() {
            peer.install = fresh.as_ref().map(Install::new);
        }
        let mut bodies = Vec::new();
        let mut lacks_snapshot = false;
        match &mut peer.install {
            None => lacks_snapshot = true,
            Some(install) => {
                let sent = install.sent;
                if sent.is_none_or(|sent| round >= sent + PART_ROUNDS) {
                    install.sent = Some(round);
                    bodies.push(part(install, snapshot_part_bytes, round));
                }
            }
        }
        // Position zero matches every log, so this only shows that the leader is there.
        if beat && bodies.is_empty() {
            bodies.push(Body::Append {
                previous_index: Index(0),
                previous_term: Term(0),
                records: Vec::new(),
                commit_index: commit,
                round,
            });
        }
        for body in bodies {
            self.send(id, body, out);
        }
        if lacks_snapshot {
            self.want_snapshot(out);
        }
    }

    /// Takes in what a leader sends.
    pub(super) fn take_leader(&mut self, now: Instant, message: Message, out: &mut Vec<Output>) {
        let round = match &message.body {
            Body::Append { round, .. } | Body::InstallSnapshot { round, .. } => *round,
            _ => return,
        };
        if message.term < self.hard.term {
            // The newer term in the answer makes the old leader step down.
            let body = Body::AppendResponse {
                matched: false,
                index: Index(0),
                round,
            };
            self.send(message.from, body, out);
            return;
        }
        if message.term == self.hard.term && self.is_leader() {
            return;
        }
        self.follow(now, message.term, Some(message.from), out);
        self.heard = now;
        self.delay_election(now);
        match message.body {
            Body::Append {
                previous_index,
                previous_term,
                records,
                commit_index: commit,
                ..
            } => {
                let previous = (previous_index, previous_term);
                self.take_append(message.from, previous, records, commit, round, out);
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
                let head = (last_index, last_term, members);
                self.take_part(message.from, head, offset, &data, done, round, out);
            }
            _ => {}
        }
    }

    fn take_append(
        &mut self,
        from: Id,
        previous: (Index, Term),
        mut records: Vec<Record>,
        commit: Index,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        let (mut index, term) = previous;
        if index < self.log.base() {
            // What the own snapshot covers is committed, and so matches.
            let base = self.log.base();
            let end = index + Index(records.len() as u64);
            records.retain(|record| record.index > base);
            index = base.min(end);
        } else if self.log.term(index) != Some(term) {
            let body = Body::AppendResponse {
                matched: false,
                index: self.hint(index),
                round,
            };
            self.send(from, body, out);
            return;
        }
        let end = index + Index(records.len() as u64);
        let known = |record: &Record| self.log.term(record.index) == Some(record.term);
        let new = records.iter().position(|record| !known(record));
        if let Some(at) = new {
            let records = records.split_off(at);
            if records[0].index <= self.commit {
                self.diverge(records[0].index, out);
                return;
            }
            self.append(records);
        }
        self.verified = self.verified.max(end);
        let told = commit;
        let commit = told.min(self.verified);
        if commit > self.commit {
            self.commit = commit;
            self.apply(out);
        }
        self.caught_up |= told == commit && self.log.term(told) == Some(self.hard.term);
        self.answer(from, round, out);
    }

    /// Where the leader may go on from after a mismatch at `index`.
    fn hint(&self, index: Index) -> Index {
        let Some(term) = self.log.term(index) else {
            return self.log.last().min(index - Index(1));
        };
        // Skips the whole term that doesn't match, in one step.
        let mut hint = index - Index(1);
        while hint > self.commit && self.log.term(hint) == Some(term) {
            hint = hint - Index(1);
        }
        hint
    }

    /// A leader contradicts what is committed, which no correct leader does.
    fn diverge(&self, index: Index, out: &mut Vec<Output>) {
        let detail = format!(
            "the leader's record {index} contradicts a committed one; \
             empty this replica's data folder and add it as a new replica"
        );
        out.push(Output::Event(Event::new(Code::InputRefused, detail)));
    }

    /// Says how far the log matches the leader's, durably.
    fn answer(&mut self, to: Id, round: u64, out: &mut Vec<Output>) {
        self.round = round;
        let body = Body::AppendResponse {
            matched: true,
            index: self.verified.min(self.durable),
            round,
        };
        self.send(to, body, out);
    }

    /// Says again how far the log matches, after a write became durable.
    pub(super) fn acknowledge(&mut self, out: &mut Vec<Output>) {
        if let Some(leader) = self.leader
            && leader != self.id
            && self.verified > Index(0)
        {
            self.answer(leader, self.round, out);
        }
    }

    #[expect(clippy::too_many_arguments)]
    fn take_part(
        &mut self,
        from: Id,
        head: (Index, Term, Members),
        offset: u64,
        data: &[u8],
        done: bool,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        let (index, term, members) = head;
        // Records that follow a position that matches may have been acknowledged, so they stay.
        let known = self.log.term(index) == Some(term);
        if index <= self.commit || known {
            self.verified = self.verified.max(index);
            if index > self.commit {
                self.commit = index;
                self.apply(out);
            }
            self.incoming = None;
            self.answer(from, round, out);
            return;
        }
        let incoming = self.incoming.take();
        let same = incoming.filter(|incoming| (incoming.index, incoming.term) == (index, term));
        let mut incoming = same.unwrap_or_else(|| Incoming {
            index,
            term,
            members,
            data: Vec::new(),
        });
        let held = incoming.data.len();
        let fits = offset as usize == held && held + data.len() <= SNAPSHOT_BYTES_MAX;
        if fits {
            incoming.data.extend_from_slice(data);
        }
        if !(fits && done) {
            let offset = incoming.data.len() as u64;
            self.incoming = Some(incoming);
            self.send(from, Body::InstallProgress { offset, round }, out);
            return;
        }
        self.verified = index;
        self.restore(
            Snapshot {
                index,
                term,
                members: incoming.members,
                data: incoming.data.into(),
            },
            out,
        );
        self.answer(from, round, out);
    }
}

/// The next part of a snapshot.
fn part(install: &Install, snapshot_part_bytes: usize, round: u64) -> Body {
    let snapshot = &install.snapshot;
    let end = (install.offset + snapshot_part_bytes).min(snapshot.data.len());
    Body::InstallSnapshot {
        last_index: snapshot.index,
        last_term: snapshot.term,
        members: snapshot.members.clone(),
        offset: install.offset as u64,
        data: snapshot.data[install.offset..end].to_vec(),
        done: end == snapshot.data.len(),
        round,
    }
}
