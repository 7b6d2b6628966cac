//! Control's state machine: it joins the log, the state and the soft state.

use std::time::Duration;

use eelgrassdyke_core::config::{Submission, Verdict};
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Process, Term, Ticket, Version};
use eelgrassdyke_core::time::{Instant, Wall};
use eelgrassdyke_core::wire::claim::{self, Ask};
use eelgrassdyke_core::wire::follow::{Follow, Update};
use eelgrassdyke_core::wire::report::Kept;
use eelgrassdyke_core::wire::{Message, Sender};

use crate::directory::Directory;
use crate::followers::{Follower, Followers};
use crate::io::{Answer, FollowerStatus, Input, Options, Output, Query, Status};
use crate::report::Ledger;
use crate::state::{Action, Command, Effect, State};

/// Time between two looks at leases and followers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The state machine of the control role.
pub struct Control {
    options: Options,
    me: Sender,
    state: State,
    directory: Directory,
    followers: Followers,
    ledger: Ledger,
    pushed: (Version, u64),
    next_sweep: Instant,
}

impl Control {
    /// A control process that has heard nothing yet.
    pub fn new(me: Sender, options: Options) -> Self {
        Self {
            directory: Directory::new(me.process.clone(), me.incarnation),
            state: State::default(),
            followers: Followers::default(),
            ledger: Ledger::default(),
            pushed: (Version(0), 0),
            next_sweep: Instant(0),
            me,
            options,
        }
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Mail { from, message } => self.take_mail(now, &from, message, out),
            Input::Submit { ticket, submission } => self.submit(now, ticket, submission, out),
            Input::Query { ticket, query } => {
                let answer = self.query(now, query);
                out.push(Output::Answer { ticket, answer });
            }
            Input::Tick => {}
        }
        self.sweep(now, out);
        self.push_changes(now, out);
    }

    /// When control next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        self.next_sweep
    }

    /// Whether this replica can reach a quorum.
    pub fn is_ready(&self) -> bool {
        true
    }

    /// Version of the configuration applied.
    pub fn version(&self) -> Version {
        self.state.config.version()
    }

    fn wall(&self, now: Instant) -> Wall {
        Wall(self.options.wall_at_zero.0 + now.0 / 1000)
    }

    fn take_mail(&mut self, now: Instant, from: &Sender, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Beat(beat) => out.extend(self.directory.hear(now, beat).map(Output::Event)),
            Message::Follow(follow) => self.take_follow(now, from, follow, out),
            Message::Claim(ask) => self.take_claim(now, from, ask, out),
            Message::Report(page) => {
                self.ledger.hear(now, &page);
                let kept = Kept {
                    incarnation: page.incarnation,
                    sequence: page.sequence,
                };
                out.push(Output::Send {
                    to: from.address,
                    message: Message::ReportKept(kept),
                });
            }
            _ => {}
        }
    }

    fn submit(
        &mut self,
        now: Instant,
        ticket: Ticket,
        submission: Submission,
        out: &mut Vec<Output>,
    ) {
        let operation = submission.operation.clone();
        let command = Command {
            at: self.wall(now),
            action: Action::Submit(submission),
        };
        let Effect::Verdict(verdict) = self.state.apply(&command) else {
            return;
        };
        let code = match &verdict {
            Verdict::Accepted { .. } => Code::ConfigAccepted,
            _ => Code::ConfigRefused,
        };
        let detail = format!("version {}", self.version());
        out.push(Output::Event(
            Event::new(code, detail).operation(&operation),
        ));
        out.push(Output::Answer {
            ticket,
            answer: Answer::Verdict(verdict),
        });
    }

    fn take_claim(&mut self, now: Instant, from: &Sender, ask: Ask, out: &mut Vec<Output>) {
        let (request, name) = (ask.request.clone(), ask.name.clone());
        let command = Command {
            at: self.wall(now),
            action: Action::Claim(ask),
        };
        let Effect::Claim(finding) = self.state.apply(&command) else {
            return;
        };
        let answer = claim::Answer {
            request,
            name,
            finding,
        };
        out.push(Output::Send {
            to: from.address,
            message: Message::Claimed(answer),
        });
    }

    fn take_follow(&mut self, now: Instant, from: &Sender, follow: Follow, out: &mut Vec<Output>) {
        self.followers.hear(now, from, follow.clone());
        let follower = Follower {
            address: from.address,
            follow,
            heard: now,
        };
        self.update(now, &from.process, &follower, out);
    }

    /// Sends a follower what it lacks, and so confirms what it holds.
    fn update(
        &mut self,
        now: Instant,
        process: &Process,
        follower: &Follower,
        out: &mut Vec<Output>,
    ) {
        let follow = &follower.follow;
        let config = self.state.config.since(follow.version, &follow.digest);
        let directory = follow
            .wants_directory
            .then(|| self.directory.since(now, follow.directory.as_ref()));
        if let Some(directory) = &directory {
            self.followers
                .note_directory(process, directory.revision.clone());
        }
        let update = Update {
            present: self.version(),
            confirmed: true,
            config,
            directory,
        };
        out.push(Output::Send {
            to: follower.address,
            message: Message::Update(update),
        });
    }

    fn query(&self, now: Instant, query: Query) -> Answer {
        match query {
            Query::Config => Answer::Config {
                version: self.version(),
                document: self.state.config.document().clone(),
            },
            Query::Status => Answer::Status(self.status(now)),
            Query::Report => Answer::Report(self.ledger.lines(now)),
        }
    }

    fn status(&self, now: Instant) -> Status {
        let mut followers = std::collections::BTreeMap::new();
        for (process, follower) in self.followers.iter() {
            let status = FollowerStatus {
                address: follower.address,
                version: follower.follow.version,
                heard_ms: now.since(follower.heard).as_millis() as u64,
            };
            followers.insert(process.clone(), status);
        }
        Status {
            process: self.me.process.clone(),
            leads: true,
            leader: Some(self.me.address),
            term: Term(0),
            quorum: true,
            version: self.version(),
            followers,
            servers: self.directory.servers(),
        }
    }

    fn sweep(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.followers.expire(now);
        out.extend(self.directory.expire(now).into_iter().map(Output::Event));
    }

    /// Pushes a new configuration or directory to everybody who follows.
    fn push_changes(&mut self, now: Instant, out: &mut Vec<Output>) {
        let present = (self.version(), self.directory.revision());
        if present == self.pushed {
            return;
        }
        let config_changed = present.0 != self.pushed.0;
        self.pushed = present;
        for (process, follower) in self.followers.subscribed(now) {
            if config_changed || follower.follow.wants_directory {
                self.update(now, &process, &follower, out);
            }
        }
    }
}
