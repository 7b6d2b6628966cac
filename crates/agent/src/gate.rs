//! Lets attempts in, queues them, and passes them on to the back end in turn.

use std::time::Duration;

use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::{Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::ServerState;
use eelgrassdyke_core::wire::dispatch::{Credit, Dispatch, Frame};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal};

use crate::agent::Agent;
use crate::io::Output;
use crate::keys::Admission;
use crate::work::Work;

/// When an entry may come back to a full or draining agent.
const COME_BACK: Duration = Duration::from_millis(500);

/// Time in the queue that credits allow for, beyond the time of service.
const CREDIT_QUEUE: Duration = Duration::from_secs(1);

impl Agent {
    /// Takes in a dispatch: refuses or queues it.
    pub(crate) fn take_dispatch(
        &mut self,
        now: Instant,
        ticket: Ticket,
        dispatch: Dispatch,
        out: &mut Vec<Output>,
    ) {
        let work = Work::new(now, dispatch);
        let dispatch = &work.dispatch;
        let share = self.share(&dispatch.team);
        self.books
            .counts_mut(&dispatch.team, &dispatch.service)
            .received += 1;
        if let Err(refusal) = self.admit(now, &work, &share) {
            self.refuse(ticket, &work, refusal, out);
            return;
        }
        out.push(self.event(Code::AttemptQueued, &work, ""));
        let entry = dispatch.attempt.request.entry.clone();
        *self.entries.entry(entry).or_default() += 1;
        let item = work.item(ticket);
        self.works.insert(ticket, work);
        if let Some(shed) = self.queue.push(item, share) {
            let wait = self.pace.work_off(self.queue.cost());
            let refusal =
                Refusal::not_run(Reason::ShareExceeded).with_retry_after(wait.max(COME_BACK));
            self.drop_queued(shed.ticket, refusal, out);
        }
    }

    /// What a team is entitled to on this service.
    pub(crate) fn share(&self, team: &Team) -> Share {
        let spec = self.follower.document().teams.get(team);
        let share = spec.and_then(|spec| spec.shares.get(&self.options.service));
        share.cloned().unwrap_or_default()
    }

    /// Whether a dispatch may be queued; admits its key if it has one.
    fn admit(&mut self, now: Instant, work: &Work, share: &Share) -> Result<(), Refusal> {
        let dispatch = &work.dispatch;
        let other = dispatch.server != self.options.server;
        if other || dispatch.incarnation != self.me.incarnation {
            return Err(Refusal::not_run(Reason::WrongIncarnation));
        }
        // A second copy of a dispatch that runs must not be refused as not run.
        let key = work.claim();
        if let Some((name, claim)) = &key {
            match self.keys.admit(name, *claim) {
                Admission::Granted => {}
                Admission::Sealed => return Err(Refusal::not_run(Reason::KeySealed)),
                Admission::Taken => return Err(Refusal::may_have_run(Reason::StillRunning)),
            }
        }
        let fits = match self.state() {
            ServerState::Up => self.foresee(now, work, share),
            _ => Err(Refusal::not_run(Reason::Draining).with_retry_after(COME_BACK)),
        };
        if let (Err(_), Some((name, claim))) = (&fits, &key) {
            self.keys.release(name, *claim);
        }
        fits
    }

    /// Refuses what can't meet its deadline with the queue as it is.
    fn foresee(&self, now: Instant, work: &Work, share: &Share) -> Result<(), Refusal> {
        let service = self.pace.service(work.cost());
        if now + service > work.deadline {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        if self.running < self.options.slots && self.queue.is_empty() {
            return Ok(());
        }
        let dispatch = &work.dispatch;
        let ahead = self.queue.ahead(&dispatch.team, share, dispatch.priority);
        let ready = now + self.pace.work_off(ahead) + service;
        if ready <= work.deadline {
            return Ok(());
        }
        // A team whose own queue keeps it waiting is over its share; else all are waiting.
        let reason = match ahead < self.queue.cost() {
            true => Reason::ShareExceeded,
            false => Reason::Overload,
        };
        let wait = ready.since(work.deadline).max(COME_BACK);
        Err(Refusal::not_run(reason).with_retry_after(wait))
    }

    /// Sends a refusal and counts it.
    pub(crate) fn refuse(
        &mut self,
        ticket: Ticket,
        work: &Work,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let dispatch = &work.dispatch;
        let row = self.books.counts_mut(&dispatch.team, &dispatch.service);
        *row.refused.entry(refusal.reason).or_default() += 1;
        out.push(self.event(Code::AttemptRefused, work, refusal.reason.as_str()));
        let frame = Frame::Refused {
            refusal,
            load: self.load(),
            credit: self.credit(&dispatch.team),
        };
        out.push(Output::Frame { ticket, frame });
    }

    /// What a team's entries may have open here, once anything queues.
    pub(crate) fn credit(&self, team: &Team) -> Credit {
        let (Some(rate), false) = (self.pace.rate(), self.queue.is_empty()) else {
            return Credit::default();
        };
        let part = self.queue.entitlement(team, &self.share(team));
        let time = self.pace.whole() + CREDIT_QUEUE;
        let entries = self.entries.len().max(1) as f64;
        let tokens = part * rate * time.as_secs_f64() / entries;
        Credit {
            tokens: Some(tokens.max(1.0) as u64),
        }
    }

    /// Refuses what waited until its deadline, and aborts what runs far beyond it.
    pub(crate) fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        for item in self.queue.expired(now) {
            let refusal = Refusal::not_run(Reason::Deadline);
            self.drop_queued(item.ticket, refusal, out);
        }
        while let Some((limit, ticket)) = self.limits.first().copied() {
            if limit > now {
                return;
            }
            self.limits.remove(&(limit, ticket));
            out.push(Output::Abort { ticket });
            self.fail(now, ticket, true, "the back end hangs".to_owned(), out);
        }
    }

    /// Refuses an attempt that was taken out of the queue; its key never ran.
    pub(crate) fn drop_queued(&mut self, ticket: Ticket, refusal: Refusal, out: &mut Vec<Output>) {
        let Some(work) = self.works.remove(&ticket) else {
            return;
        };
        self.close_entry(&work);
        if let Some((name, claim)) = work.claim() {
            self.keys.release(&name, claim);
        }
        self.refuse(ticket, &work, refusal, out);
    }

    /// Passes queued attempts on while slots are free.
    pub(crate) fn start_queued(&mut self, now: Instant, out: &mut Vec<Output>) {
        while self.running < self.options.slots {
            let Some(turn) = self.queue.pop() else {
                return;
            };
            let ticket = turn.item.ticket;

            // The back end is not troubled with what it can't finish in time.
            if now + self.pace.service(turn.item.cost) > turn.item.deadline {
                self.queue.finish(&turn, 0);
                let wait = self.pace.work_off(self.queue.cost());
                let refusal =
                    Refusal::not_run(Reason::Deadline).with_retry_after(wait.max(COME_BACK));
                self.drop_queued(ticket, refusal, out);
                continue;
            }
            self.start(now, ticket, turn, out);
        }
    }

    fn start(
        &mut self,
        now: Instant,
        ticket: Ticket,
        turn: crate::queue::Turn,
        out: &mut Vec<Output>,
    ) {
        let Some(work) = self.works.get_mut(&ticket) else {
            self.queue.finish(&turn, 0);
            return;
        };
        work.left = turn.item.cost;
        work.started = Some((now, turn));
        self.running += 1;
        self.backlog += work.left;
        self.limits.insert((work.limit(), ticket));
        let call = work.backend_call();
        let left = work.deadline.since(now);
        let queued = now.since(work.since).as_micros() as u64;
        let dispatch = &work.dispatch;
        let row = self.books.counts_mut(&dispatch.team, &dispatch.service);
        row.forwarded += 1;
        row.queued_us += queued;
        out.push(self.event(Code::AttemptStarted, &self.works[&ticket], ""));
        out.push(Output::Run { ticket, call, left });
    }

    /// Deals with an entry that broke off: what may run again is aborted.
    pub(crate) fn drop_entry(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(work) = self.works.get(&ticket) else {
            return;
        };
        let claimed = work.dispatch.claim.is_some();
        if self.queue.remove(ticket).is_some() {
            let refusal = Refusal::not_run(Reason::CallerGone);
            self.drop_queued(ticket, refusal, out);
            return;
        }
        if claimed {
            return;
        }
        out.push(Output::Abort { ticket });
        self.end(now, ticket, Some(Reason::CallerGone), out);
    }

    /// Notes that an entry has one attempt less here.
    pub(crate) fn close_entry(&mut self, work: &Work) {
        let entry = &work.dispatch.attempt.request.entry;
        let Some(open) = self.entries.get_mut(entry) else {
            return;
        };
        *open -= 1;
        if *open == 0 {
            self.entries.remove(entry);
        }
    }
}
