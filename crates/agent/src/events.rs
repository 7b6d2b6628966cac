//! Splits a body of server-sent events at their ends.
//!
//! Lines end with a line feed, or a carriage return and a line feed. Each event with a `data` field
//! counts as one token of the answer; comments, which engines send to keep a connection open, are
//! dropped, so that a resumed stream counts the same tokens.

/// The data of the event that ends a whole stream.
const DONE: &[u8] = b"[DONE]";

/// Gathers bytes until an event is whole.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    held: Vec<u8>,
    /// Start of the line that is not whole yet.
    line: usize,
    /// Bytes looked at.
    seen: usize,
    has_data: bool,
    done: bool,
    last: Vec<u8>,
}

impl Splitter {
    /// Adds bytes and gives every event that is whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.held.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(found) = self.held[self.seen..].iter().position(|b| *b == b'\n') {
            let end = self.seen + found + 1;
            let line = trim(&self.held[self.line..end]);
            if !line.is_empty() {
                self.note_line(self.line, end);
                continue;
            }
            let rest = self.held.split_off(end);
            let event = std::mem::replace(&mut self.held, rest);
            self.line = 0;
            self.seen = 0;
            if std::mem::take(&mut self.has_data) {
                events.push(event);
            }
        }
        self.seen = self.held.len();
        events
    }

    /// Whether the event that ends a whole stream was seen.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The last line of data before the end of the stream.
    pub fn last(&self) -> &[u8] {
        &self.last
    }

    /// Bytes held of an event that is not whole.
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Takes in a whole line of an event.
    fn note_line(&mut self, start: usize, end: usize) {
        self.line = end;
        self.seen = end;
        let line = trim(&self.held[start..end]);
        let Some(value) = line.strip_prefix(b"data:") else {
            return;
        };
        self.has_data = true;
        let value = value.strip_prefix(b" ").unwrap_or(value);
        if value == DONE {
            self.done = true;
            return;
        }
        self.last.clear();
        self.last.extend_from_slice(value);
    }
}

/// A line without its end.
fn trim(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}
