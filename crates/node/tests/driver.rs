//! The driver of a core whose timers are wrong.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_node::clock::Clock;
use eelgrassdyke_node::driver::{Core, Driver};
use eelgrassdyke_node::runtime::block_on;
use eelgrassdyke_node::timeline::Timeline;
use test_case::test_case;

/// Asks for a tick at the present again and again.
struct Restless {
    deadline: fn(Instant) -> Instant,
    now: Instant,
    ticks: u32,
}

enum Input {
    Tick,
    Call,
}

impl Core for Restless {
    type Input = Input;
    type Output = ();

    fn tick() -> Input {
        Input::Tick
    }

    fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<()>) {
        self.now = now;
        match input {
            Input::Tick => self.ticks += 1,
            Input::Call => out.push(()),
        }
    }

    fn next_deadline(&self) -> Instant {
        (self.deadline)(self.now)
    }
}

/// A core whose deadline stays in the past must leave the processor to other tasks, and must still get their
/// inputs.
#[test_case(|_| Instant(0); "the start of the clock")]
#[test_case(|now| now; "the present")]
fn core_that_always_asks_for_the_present_leaves_time_to_others(deadline: fn(Instant) -> Instant) {
    let answered = block_on(async move {
        let clock = Clock::default();
        let process = "entry-1".parse().unwrap();
        let timeline = Timeline::new(process, Incarnation(1), clock, 16);
        let core = Restless {
            deadline,
            now: Instant(0),
            ticks: 0,
        };
        let driver = Rc::new(Driver::new(core, clock, Rc::new(timeline)));
        let ticker = Rc::clone(&driver);
        monoio::spawn(Rc::clone(&driver).run(move || drop(ticker.handle_input(Input::Tick))));
        let answered = Cell::new(0);
        for _ in 0..100 {
            monoio::time::sleep(Duration::from_millis(10)).await;
            answered.set(answered.get() + driver.handle_input(Input::Call).len());
        }
        (answered.get(), driver.read(|core| core.ticks))
    });
    let (answered, ticks) = answered.unwrap();
    assert_eq!(answered, 100);
    // One each 10 ms, and a few more at the start.
    assert!((10..200).contains(&ticks), "{ticks} ticks");
}
