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
const PROMPT_BLOCKS_MAX: usize = 32;

/// Blocks remembered.
const BLOCKS_TRACKED_MAX: usize = 1 << 16;

/// Time after which a block that was not used is taken to have left the cache.
const BLOCK_TTL: Duration = Duration::from_secs(120);

/// Names the blocks of a prompt by hashes, shortest prefix first.
pub fn prompt_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0xCBF2_9CE4_8422_2325_u64;
    let mut hashes = Vec::new();
    for block in prompt.chunks_exact(BLOCK_BYTES).take(PROMPT_BLOCKS_MAX) {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01B3);
        }
        hashes.push(hash);
    }
    hashes
}

/// Which server last read which blocks.
#[derive(Clone, Debug, Default)]
pub struct PrefixAffinity {
    by_block: BTreeMap<u64, (Server, Instant)>,
    by_age: BTreeSet<(Instant, u64)>,
}

impl PrefixAffinity {
    /// The server that read the longest part of a prompt, and which fraction of it.
    pub fn longest_match(&self, now: Instant, blocks: &[u64]) -> Option<(&Server, f64)> {
        for (index, block) in blocks.iter().enumerate().rev() {
            let Some((server, last_used)) = self.by_block.get(block) else {
                continue;
            };
            if now.since(*last_used) < BLOCK_TTL {
                return Some((server, (index + 1) as f64 / blocks.len() as f64));
            }
        }
        None
    }

    /// Notes that a server reads a prompt.
    pub fn record(&mut self, now: Instant, blocks: &[u64], server: &Server) {
        for block in blocks {
            self.remove_block(*block);
            self.by_block.insert(*block, (server.clone(), now));
            self.by_age.insert((now, *block));
        }
        while self.by_block.len() > BLOCKS_TRACKED_MAX {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                return;
            };
            self.by_block.remove(&oldest);
        }
    }

    /// Notes that a server turned out to hold nothing of a prompt that it was thought to hold.
    pub fn invalidate(&mut self, blocks: &[u64], server: &Server) {
        for block in blocks {
            let entry = self.by_block.get(block);
            if entry.is_some_and(|(owner, _)| owner == server) {
                self.remove_block(*block);
            }
        }
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.by_block.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_block.is_empty()
    }

    fn remove_block(&mut self, block: u64) {
        if let Some((_, last_used)) = self.by_block.remove(&block) {
            self.by_age.remove(&(last_used, block));
        }
    }
}
