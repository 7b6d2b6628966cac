//! Drives one core: hands it inputs with the present instant and wakes it at its deadlines.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;

use crate::clock::Clock;

/// Longest sleep between two looks at a core's deadline.
const SLEEP_MAX: Duration = Duration::from_millis(500);

/// A decision core, as the shell sees it.
pub trait Core {
    /// What goes in.
    type Input;
    /// What comes out.
    type Output;

    /// The input that says only that time has passed.
    fn tick() -> Self::Input;

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    fn handle(&mut self, now: Instant, input: Self::Input, out: &mut Vec<Self::Output>);

    /// When the core next needs a tick.
    fn next_deadline(&self) -> Instant;
}

/// Implements [`Core`] by the inherent methods of a core.
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

/// One core and its wake_sender.
pub struct Driver<C: Core> {
    core: RefCell<C>,
    clock: Clock,
    sleeping_until: Cell<Instant>,
    wake_sender: UnboundedSender<()>,
    wake_receiver: RefCell<Option<UnboundedReceiver<()>>>,
}

impl<C: Core + 'static> Driver<C> {
    /// Wraps a core.
    pub fn new(core: C, clock: Clock) -> Self {
        let (wake_sender, wake_receiver) = unbounded();
        Self {
            core: RefCell::new(core),
            clock,
            sleeping_until: Cell::new(Instant(0)),
            wake_sender,
            wake_receiver: RefCell::new(Some(wake_receiver)),
        }
    }

    /// Hands an input to the core; the caller carries out the outputs.
    pub fn handle_input(&self, input: C::Input) -> Vec<C::Output> {
        let mut out = Vec::new();
        let mut core = self.core.borrow_mut();
        core.handle(self.clock.now(), input, &mut out);
        if core.next_deadline() < self.sleeping_until.get() {
            // The sleeping task holds the other end, so this can't fail while it matters.
            let _ = self.wake_sender.unbounded_send(());
        }
        out
    }

    /// Reads something off the core.
    pub fn read<T>(&self, read: impl FnOnce(&C) -> T) -> T {
        read(&self.core.borrow())
    }

    /// Wakes the core at each of its deadlines, for ever; `tick` feeds it.
    pub async fn run(self: Rc<Self>, tick: impl Fn()) {
        let Some(mut wake_receiver) = self.wake_receiver.borrow_mut().take() else {
            return;
        };
        loop {
            let now = self.clock.now();
            let deadline = self.core.borrow().next_deadline();
            if deadline <= now {
                tick();
                // Lets the others run, also when a core keeps asking for the present.
                monoio::time::sleep(Duration::from_micros(100)).await;
                continue;
            }
            self.sleeping_until.set(deadline);
            let timeout = deadline.since(now).min(SLEEP_MAX);
            let _ = monoio::time::timeout(timeout, wake_receiver.next()).await;
            self.sleeping_until.set(Instant(0));
        }
    }
}
