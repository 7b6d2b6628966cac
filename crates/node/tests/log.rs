//! The log: a line of JSON for each event, a bound by kind, and a writer that holds nobody up.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_node::log::{LineBudget, Sink};

fn at(millis: u64) -> Instant {
    Instant(0) + Duration::from_millis(millis)
}

#[test]
fn lines_of_one_kind_are_bounded_and_what_is_left_out_is_counted() {
    let mut budget = LineBudget::default();
    let mut omitted = Vec::new();
    let mut logged = 0;
    for _ in 0..1000 {
        logged += u64::from(budget.admit(at(2000), Code::RequestRefused, &mut omitted));
    }
    // Others are not held back by it.
    assert!(budget.admit(at(2001), Code::LeaderLost, &mut omitted));
    assert!(omitted.is_empty());
    assert!(budget.admit(at(3000), Code::RequestRefused, &mut omitted));
    assert_eq!(omitted, [(Code::RequestRefused, 1000 - logged)]);
    omitted.clear();
    budget.end_window(&mut omitted);
    assert!(omitted.is_empty());
}

/// A reader that has stopped: each write waits until it is let go.
struct Stopped {
    go_on: Receiver<()>,
    entered: Sender<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stopped {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let _ = self.entered.send(());
        let _ = self.go_on.recv();
        self.text.lock().unwrap().extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_holds_nobody_up_and_costs_counted_lines() {
    let (let_go, go_on) = channel();
    let (entered, in_write) = channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let out = Stopped {
        go_on,
        entered,
        text: text.clone(),
    };
    let sink = Sink::start(out).expect("the thread starts");
    let lines = sink.sender();
    lines.push(b"first".to_vec());
    in_write.recv().expect("the writer begins");
    // The writer stands still now; all of these return at once, and most of them are dropped.
    for number in 0..100_000 {
        lines.push(format!("line {number}").into_bytes());
    }
    drop(let_go);
    // What waits is written before the sink ends.
    drop(sink);
    let text = String::from_utf8(text.lock().unwrap().clone()).expect("it is text");
    let kept = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    assert!((1..10_000).contains(&kept), "{kept} lines waited");
    let last = text.lines().last().expect("there are lines");
    let told: serde_json::Value = serde_json::from_str(last).expect("it is JSON");
    let expected = format!("{} lines were left out", 100_000 - kept);
    let message = told["message"].as_str().expect("it has a message");
    assert!(message.starts_with(&expected), "{message}, {kept} kept");
}
