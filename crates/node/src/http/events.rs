//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is gathered, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Bytes of an event that is not whole yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
}

/// CompleteEvents events that arrived together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes, as they came.
    pub bytes: Bytes,
    /// The greatest number among them; none when they have none.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes in bytes; gives the events that they complete, or an error when one grows too large.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<CompleteEvents>, &'static str> {
        // The end of an event may lie across the old bytes and the new.
        let searched = self.incomplete.len().saturating_sub(3);
        self.incomplete.extend_from_slice(data);
        let Some(end) = last_event_end(&self.incomplete, searched) else {
            if self.incomplete.len() > EVENT_BYTES_MAX {
                return Err("an event is too large");
            }
            return Ok(None);
        };
        let bytes = self.incomplete.split_to(end).freeze();
        let last_id = event_ids(&bytes).max();
        Ok(Some(CompleteEvents { bytes, last_id }))
    }

    /// Whether no event was begun that is not whole.
    pub fn is_empty(&self) -> bool {
        self.incomplete.is_empty()
    }
}

/// Where the last whole event ends: after an empty line.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for at in from..bytes.len() {
        let rest = &bytes[..=at];
        if rest.ends_with(b"\n\n") || rest.ends_with(b"\n\r\n") {
            end = Some(at + 1);
        }
    }
    end
}

/// Numbers of the events.
fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
