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
    /// The numeric id of each, if it has one; comments between events are left out.
    pub ids: Vec<Option<u64>>,
}

impl CompleteEvents {
    /// Whether the ids increase, all after `last`. With `all_numbered`, each event must have one.
    pub fn follow(&self, mut last: Option<u64>, all_numbered: bool) -> bool {
        for id in &self.ids {
            match id {
                Some(id) if last.is_some_and(|last| *id <= last) => return false,
                None if all_numbered => return false,
                _ => last = id.or(last),
            }
        }
        true
    }
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
        let ids = event_ids(&bytes);
        let last_id = ids.iter().flatten().copied().max();
        Ok(Some(CompleteEvents {
            bytes,
            last_id,
            ids,
        }))
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

/// The numeric id of each event.
fn event_ids(events: &[u8]) -> Vec<Option<u64>> {
    let mut ids = Vec::new();
    // The id of an event that has begun.
    let mut current = None;
    for line in events.split(|byte| *byte == b'\n') {
        match line.strip_suffix(b"\r").unwrap_or(line) {
            b"" => ids.extend(current.take()),
            [b':', ..] => {}
            field => {
                let id = current.get_or_insert(None);
                *id = numeric_id(field).or(*id);
            }
        }
    }
    ids
}

fn numeric_id(field: &[u8]) -> Option<u64> {
    let value = field.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
