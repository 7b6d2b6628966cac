//! Splits a body of server-sent events at their ends.

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// The data of the event that ends a whole stream.
const DONE: &[u8] = b"data: [DONE]";

/// Gathers bytes until an event is whole.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    held: Vec<u8>,
    done: bool,
}

impl Splitter {
    /// Adds bytes and gives every event that is whole now.
    pub fn push(&mut self, data: &[u8]) -> Vec<Vec<u8>> {
        self.held.extend_from_slice(data);
        let mut events = Vec::new();
        while let Some(end) = find(&self.held, EVENT_END) {
            let rest = self.held.split_off(end + EVENT_END.len());
            let event = std::mem::replace(&mut self.held, rest);
            self.done |= event.starts_with(DONE);
            events.push(event);
        }
        events
    }

    /// Whether the event that ends a whole stream was seen.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Bytes held of an event that is not whole.
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
