//! Splits a stream of server-sent events into single events.
//!
//! Lines end with a line feed, or with a carriage return and a line feed. Each event with a `data`
//! field counts as one token. Comments, which engines send to keep a connection open, are dropped,
//! so that a resumed stream counts the same number of tokens.

/// The data of the event that ends a complete stream.
const DONE: &[u8] = b"[DONE]";

/// Buffers bytes until an event is complete.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Start of the incomplete line in the buffer.
    line_start: usize,
    /// Number of bytes of the buffer already searched for a line feed.
    scanned: usize,
    has_data: bool,
    done: bool,
    last_data: Vec<u8>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(offset) = self.buffer[self.scanned..].iter().position(|b| *b == b'\n') {
            let end = self.scanned + offset + 1;
            let line = trim_line_end(&self.buffer[self.line_start..end]);
            if !line.is_empty() {
                self.parse_line(self.line_start, end);
                continue;
            }
            let rest = self.buffer.split_off(end);
            let event = std::mem::replace(&mut self.buffer, rest);
            self.line_start = 0;
            self.scanned = 0;
            if std::mem::take(&mut self.has_data) {
                events.push(event);
            }
        }
        self.scanned = self.buffer.len();
        events
    }

    /// Whether the event that ends a complete stream was received.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Value of the last `data` line before the end of the stream.
    pub fn last_data(&self) -> &[u8] {
        &self.last_data
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Parses a complete, non-empty line of an event.
    fn parse_line(&mut self, start: usize, end: usize) {
        self.line_start = end;
        self.scanned = end;
        let line = trim_line_end(&self.buffer[start..end]);
        let Some(value) = line.strip_prefix(b"data:") else {
            return;
        };
        self.has_data = true;
        let value = value.strip_prefix(b" ").unwrap_or(value);
        if value == DONE {
            self.done = true;
            return;
        }
        self.last_data.clear();
        self.last_data.extend_from_slice(value);
    }
}

fn trim_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}
