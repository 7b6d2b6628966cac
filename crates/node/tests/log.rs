//! Tests of the log: the line limit per event code, and a writer that never blocks the process.

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
fn lines_of_an_event_code_are_limited_and_omitted_ones_counted() {
    let mut budget = LineBudget::default();
    let mut omitted = Vec::new();
    let mut logged = 0;
    for _ in 0..1000 {
        logged += u64::from(budget.admit(at(2000), Code::RequestRefused, &mut omitted));
    }
    // Other event codes are not affected.
    assert!(budget.admit(at(2001), Code::LeaderLost, &mut omitted));
    assert!(omitted.is_empty());
    assert!(budget.admit(at(3000), Code::RequestRefused, &mut omitted));
    assert_eq!(omitted, [(Code::RequestRefused, 1000 - logged)]);
    omitted.clear();
    budget.end_window(&mut omitted);
    assert!(omitted.is_empty());
}

/// A writer whose reader has stopped: each write blocks until the sender of `resume` is dropped.
struct BlockedWriter {
    resume: Receiver<()>,
    entered: Sender<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let _ = self.entered.send(());
        let _ = self.resume.recv();
        self.text.lock().unwrap().extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stopped_reader_does_not_block_and_omitted_lines_are_counted() {
    let (resume_sender, resume) = channel();
    let (entered, in_write) = channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let out = BlockedWriter {
        resume,
        entered,
        text: text.clone(),
    };
    let sink = Sink::start(out).expect("the thread starts");
    let sender = sink.sender();
    sender.push(b"first".to_vec());
    in_write.recv().expect("the writer thread writes");
    // The writer is blocked now: all of these calls return at once, and most lines are dropped.
    for number in 0..100_000 {
        sender.push(format!("line {number}").into_bytes());
    }
    drop(resume_sender);
    // Queued lines are written before the sink ends.
    drop(sink);
    let text = String::from_utf8(text.lock().unwrap().clone()).expect("the lines are UTF-8");
    let written = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    assert!(
        (1..10_000).contains(&written),
        "{written} lines were written"
    );
    let last = text.lines().last().expect("lines were written");
    let omission: serde_json::Value = serde_json::from_str(last).expect("the line is JSON");
    let expected = format!("{} lines were left out", 100_000 - written);
    let message = omission["message"]
        .as_str()
        .expect("the line has a message");
    assert!(
        message.starts_with(&expected),
        "{message}, {written} written"
    );
}
