//! Drives a state machine: passes it inputs with the current time and ticks at its deadlines.

use std::cell::{Cell, RefCell};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::time::Instant;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;

use crate::clock::Clock;
use crate::timeline::Timeline;

/// Maximum sleep between checks of a core's deadline.
const SLEEP_MAX: Duration = Duration::from_millis(500);

/// Shortest and longest pause before the next tick of a core whose deadline is still in the past after one. The
/// pause doubles from tick to tick, so that such a core takes little of the processor from other tasks.
const OVERDUE_PAUSE: RangeInclusive<Duration> =
    Duration::from_micros(100)..=Duration::from_millis(10);

/// Lateness of a wake-up from which an event reports that the process did not run.
const STALL_MIN: Duration = Duration::from_millis(500);

/// A deterministic state machine without I/O.
pub trait Core {
    /// Its inputs.
    type Input;
    /// Its outputs.
    type Output;

    /// The input for a deadline that has passed.
    fn tick() -> Self::Input;

    /// Handles an input at `now` and appends the actions to execute to `out`.
    fn handle(&mut self, now: Instant, input: Self::Input, out: &mut Vec<Self::Output>);

    /// Time of the next tick that the core needs.
    fn next_deadline(&self) -> Instant;
}

/// Implements [`Core`] with the inherent methods of a state machine.
macro_rules! impl_core {
    ($core:ty, $input:ty, $output:ty) => {
        impl Core for $core {
            type Input = $input;
            type Output = $output;

            fn tick() -> Self::Input {
                <$input>::Tick
            }

            fn handle(&mut self, now: Instant, input: Self::Input, out: &mut Vec<Self::Output>) {
                self.handle(now, input, out);
            }

            fn next_deadline(&self) -> Instant {
                self.next_deadline()
            }
        }
    };
}

impl_core!(
    eelgrassdyke_entry::Entry,
    eelgrassdyke_entry::Input,
    eelgrassdyke_entry::Output
);
impl_core!(
    eelgrassdyke_entry::direct::Direct,
    eelgrassdyke_entry::direct::Input,
    eelgrassdyke_entry::direct::Output
);
impl_core!(
    eelgrassdyke_agent::Agent,
    eelgrassdyke_agent::Input,
    eelgrassdyke_agent::Output
);
impl_core!(
    eelgrassdyke_agent::watch::Watch,
    eelgrassdyke_agent::watch::Input,
    eelgrassdyke_agent::watch::Output
);
impl_core!(
    eelgrassdyke_control::Control,
    eelgrassdyke_control::Input,
    eelgrassdyke_control::Output
);

/// A core and the timer that ticks it.
pub struct Driver<C: Core> {
    core: RefCell<C>,
    clock: Clock,
    timeline: Rc<Timeline>,
    sleeping_until: Cell<Instant>,
    wake_sender: UnboundedSender<()>,
    wake_receiver: RefCell<Option<UnboundedReceiver<()>>>,
}

impl<C: Core + 'static> Driver<C> {
    /// Creates a driver; [`Driver::run`] starts its timer.
    pub fn new(core: C, clock: Clock, timeline: Rc<Timeline>) -> Self {
        let (wake_sender, wake_receiver) = unbounded();
        Self {
            core: RefCell::new(core),
            clock,
            timeline,
            sleeping_until: Cell::new(Instant(0)),
            wake_sender,
            wake_receiver: RefCell::new(Some(wake_receiver)),
        }
    }

    /// Passes an input to the core and returns the outputs, which the caller executes.
    pub fn handle_input(&self, input: C::Input) -> Vec<C::Output> {
        let mut out = Vec::new();
        let mut core = self.core.borrow_mut();
        core.handle(self.clock.now(), input, &mut out);
        if core.next_deadline() < self.sleeping_until.get() {
            // The timer task holds the receiver, so this fails only when there is no timer to wake.
            let _ = self.wake_sender.unbounded_send(());
        }
        out
    }

    /// Reads from the core.
    pub fn read<T>(&self, read: impl FnOnce(&C) -> T) -> T {
        read(&self.core.borrow())
    }

    /// Calls `tick` at each deadline of the core, and records wake-ups that are late; never returns.
    pub async fn run(self: Rc<Self>, tick: impl Fn()) {
        let Some(mut wake_receiver) = self.wake_receiver.borrow_mut().take() else {
            return;
        };
        let mut pause = *OVERDUE_PAUSE.start();
        loop {
            let now = self.clock.now();
            let deadline = self.core.borrow().next_deadline();
            if deadline <= now {
                tick();
                monoio::time::sleep(pause).await;
                pause = (pause * 2).min(*OVERDUE_PAUSE.end());
                continue;
            }
            pause = *OVERDUE_PAUSE.start();
            self.sleeping_until.set(deadline);
            let timeout = deadline.since(now).min(SLEEP_MAX);
            let _ = monoio::time::timeout(timeout, wake_receiver.next()).await;
            self.sleeping_until.set(Instant(0));
            let late = self.clock.now().since(now + timeout);
            if late >= STALL_MIN {
                let event = Event::new(Code::ProcessStalled, "").with_fact("late_ms", late);
                self.timeline.record_event(event);
            }
        }
    }
}
