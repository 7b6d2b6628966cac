//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
}

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// The greatest numeric id among them, if any has one.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete; an error if an event is too large.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<CompleteEvents>, &'static str> {
        // The delimiter of an event may straddle the buffered and the new bytes.
        let searched = self.incomplete.len().saturating_sub(3);
        self.incomplete.extend_from_slice(data);
        let Some(end) = last_event_end(&self.incomplete, searched) else {
            if self.incomplete.len() > EVENT_BYTES_MAX {
                return Err("a server-sent event exceeds the size limit");
            }
            return Ok(None);
        };
        let bytes = self.incomplete.split_to(end).freeze();
        let last_id = event_ids(&bytes).max();
        Ok(Some(CompleteEvents { bytes, last_id }))
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.incomplete.is_empty()
    }
}

/// End of the last complete event, which is the end of an empty line.
fn last_event_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut end = None;
    for index in start..bytes.len() {
        let prefix = &bytes[..=index];
        if prefix.ends_with(b"\n\n") || prefix.ends_with(b"\n\r\n") {
            end = Some(index + 1);
        }
    }
    end
}

/// Numeric ids of the events.
fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
