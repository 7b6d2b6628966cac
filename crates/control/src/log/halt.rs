//! A replica that can't apply a record, because a newer build proposed it.
//!
//! If it skipped the record, its state would differ from that of the other replicas, and it would answer
//! with an older configuration than was accepted. So it applies nothing from there on until a build that
//! knows the record runs on its data folder. It goes on storing and acknowledging records, since a quorum
//! may need it, and votes. It leaves elections to the others, and leads only if nobody else is elected:
//! its log may be the most recent one, which the others need. It then accepts no proposals and steps down
//! as soon as another voter holds all records.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::Index;
use eelgrassdyke_core::time::Instant;

use super::io::Output;
use super::replica::{Replica, Role};

/// Election timeouts of such a replica, in those of the others.
pub(super) const TIMEOUT_FACTOR: u32 = 4;

impl Replica {
    /// Whether this replica has met a record that it can't apply.
    pub(super) fn is_halted(&self) -> bool {
        self.halted_at.is_some()
    }

    /// Stops applying records; the one at `index` was handed out and could not be applied.
    pub(super) fn halt(
        &mut self,
        now: Instant,
        index: Index,
        problem: &str,
        out: &mut Vec<Output>,
    ) {
        if self.is_halted() || index > self.applied_index {
            return;
        }
        self.halted_at = Some(index);
        self.applied_index = index - Index(1);
        self.snapshot_requested = false;
        self.reset_election_timeout(now);
        let detail = format!("record {index}: {problem}");
        out.push(Output::Event(Event::new(Code::ApplyHalted, detail)));
    }

    /// Steps down as a leader that can't apply its records, once another voter has all of them.
    pub(super) fn tick_halted_leader(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if !self.is_halted() {
            return;
        }
        let last_index = self.log.last_index();
        let matches = leader.match_indexes();
        let voters = self.log.members().voters.keys();
        let others: Vec<_> = voters.filter(|voter| **voter != self.id).collect();
        let has_all = |voter: &&&_| matches.get(**voter) == Some(&last_index);
        let complete = others.iter().filter(has_all).count();
        let has_waited = now.since(leader.elected_at) >= self.options.election_timeout_max;
        if complete == others.len() || complete > 0 && has_waited {
            self.become_follower(now, self.hard_state.term, None, out);
        }
    }
}
