//! Decoding of batches from other builds.
//!
//! A message of a kind that this build doesn't know can't be decoded, but must not take the other
//! messages of its batch with it: a newer build may send votes and heartbeats beside it.

use serde::de::IgnoredAny;

use super::{Batch, Error, Message, Result, decode};

/// A batch without the messages that this build can't decode.
#[derive(Debug)]
pub struct KnownBatch {
    /// The batch, with the messages that were decoded.
    pub batch: Batch,
    /// Number of skipped messages.
    pub skipped: usize,
    /// Why the first of them could not be decoded.
    pub first_error: Option<Error>,
}

impl Batch {
    /// Decodes a batch and skips messages and fields that this build doesn't know.
    pub fn decode_known(bytes: &[u8]) -> Result<KnownBatch> {
        if let Ok(batch) = decode(bytes) {
            return Ok(KnownBatch {
                batch,
                skipped: 0,
                first_error: None,
            });
        }
        decode_by_message(bytes)
    }
}

/// Decodes each message on its own.
fn decode_by_message(bytes: &[u8]) -> Result<KnownBatch> {
    let mut rest = bytes;
    let (mut from, mut stamp, mut messages) = (None, None, None);
    let (mut skipped, mut first_error) = (0, None);
    for _ in 0..rmp::decode::read_map_len(&mut rest)? {
        let name: String = rmp_serde::from_read(&mut rest)?;
        match name.as_str() {
            "from" => from = Some(decode(next_value(&mut rest)?)?),
            "stamp" => stamp = Some(decode(next_value(&mut rest)?)?),
            "messages" => {
                let mut known = Vec::new();
                for _ in 0..rmp::decode::read_array_len(&mut rest)? {
                    match decode::<Message>(next_value(&mut rest)?) {
                        Ok(message) => known.push(message),
                        Err(error) => {
                            skipped += 1;
                            first_error.get_or_insert(error);
                        }
                    }
                }
                messages = Some(known);
            }
            _ => {
                next_value(&mut rest)?;
            }
        }
    }
    let batch = Batch {
        from: from.ok_or(Error::MissingField("from"))?,
        stamp: stamp.ok_or(Error::MissingField("stamp"))?,
        messages: messages.ok_or(Error::MissingField("messages"))?,
    };
    Ok(KnownBatch {
        batch,
        skipped,
        first_error,
    })
}

/// The bytes of the next value; `rest` continues after it.
fn next_value<'a>(rest: &mut &'a [u8]) -> Result<&'a [u8]> {
    let start = *rest;
    rmp_serde::from_read::<_, IgnoredAny>(&mut *rest)?;
    Ok(&start[..start.len() - rest.len()])
}
