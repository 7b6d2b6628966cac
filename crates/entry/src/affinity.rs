//! Remembers which server last read a prompt, to send what begins alike to the same cache.
//!
//! A prompt is cut into blocks; each block is named by a hash of everything up to its end. The
//! index is a guess: it is fed by the entry's own dispatches, corrected by what answers say of the
//! cache, forgets with age, and is bounded. A wrong guess costs no more than a cold cache.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::id::Server;
use eelgrassdyke_core::time::Instant;

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 256;

/// Blocks of a prompt that are looked at.
const BLOCKS_MAX: usize = 32;

/// Blocks remembered.
const ENTRIES_MAX: usize = 1 << 16;

/// Time after which a block that was not used is taken to have left the cache.
const AGE_MAX: Duration = Duration::from_secs(120);

/// Names the blocks of a prompt by hashes, shortest prefix first.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0xCBF2_9CE4_8422_2325_u64;
    let mut names = Vec::new();
    for block in prompt.chunks_exact(BLOCK_BYTES).take(BLOCKS_MAX) {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01B3);
        }
        names.push(hash);
    }
    names
}

/// Which server last read which blocks.
#[derive(Clone, Debug, Default)]
pub struct Affinity {
    entries: BTreeMap<u64, (Server, Instant)>,
    ages: BTreeSet<(Instant, u64)>,
}

impl Affinity {
    /// The server that read the longest part of a prompt, and which fraction of it.
    pub fn find(&self, now: Instant, blocks: &[u64]) -> Option<(&Server, f64)> {
        for (at, block) in blocks.iter().enumerate().rev() {
            let Some((server, used)) = self.entries.get(block) else {
                continue;
            };
            if now.since(*used) < AGE_MAX {
                return Some((server, (at + 1) as f64 / blocks.len() as f64));
            }
        }
        None
    }

    /// Notes that a server reads a prompt.
    pub fn note(&mut self, now: Instant, blocks: &[u64], server: &Server) {
        for block in blocks {
            self.remove(*block);
            self.entries.insert(*block, (server.clone(), now));
            self.ages.insert((now, *block));
        }
        while self.entries.len() > ENTRIES_MAX {
            let Some((_, oldest)) = self.ages.pop_first() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }

    /// Notes that a server turned out to hold nothing of a prompt that it was thought to hold.
    pub fn correct(&mut self, blocks: &[u64], server: &Server) {
        for block in blocks {
            let held = self.entries.get(block);
            if held.is_some_and(|(holder, _)| holder == server) {
                self.remove(*block);
            }
        }
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove(&mut self, block: u64) {
        if let Some((_, used)) = self.entries.remove(&block) {
            self.ages.remove(&(used, block));
        }
    }
}
