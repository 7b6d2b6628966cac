//! Prefix affinity: which server last processed the prefix of a prompt.
//!
//! Prompts with the same prefix are sent to the same server, to hit its cache. A prompt is divided
//! into blocks; each block is identified by a hash of the prompt up to the end of the block. The
//! index is an estimate: it is filled from the entry's own dispatches, corrected by the cache hits
//! that responses report, expires with age, and is bounded. A wrong estimate costs no more than a
//! cache miss.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::id::Server;
use eelgrassdyke_core::time::Instant;

/// Bytes of a prompt per block.
const BLOCK_BYTES: usize = 256;

/// Maximum number of blocks of a prompt that are hashed.
const PROMPT_BLOCKS_MAX: usize = 32;

/// Maximum number of tracked blocks.
const BLOCKS_TRACKED_MAX: usize = 1 << 16;

/// Time after which an unused block is assumed to be evicted from the cache.
const BLOCK_TTL: Duration = Duration::from_secs(120);

/// FNV-1a hashes of the prefixes of a prompt that end with each of its blocks, shortest first.
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

/// Index from block hash to the server that last processed the block.
#[derive(Clone, Debug, Default)]
pub struct PrefixAffinity {
    by_block: BTreeMap<u64, (Server, Instant)>,
    by_age: BTreeSet<(Instant, u64)>,
}

impl PrefixAffinity {
    /// The server that processed the longest prefix of a prompt, and that prefix as a fraction of
    /// the prompt.
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

    /// Records that a server processes a prompt.
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

    /// Removes the blocks of a prompt that are attributed to a server but were not in its cache.
    pub fn invalidate(&mut self, blocks: &[u64], server: &Server) {
        for block in blocks {
            let tracked = self.by_block.get(block);
            if tracked.is_some_and(|(tracked_server, _)| tracked_server == server) {
                self.remove_block(*block);
            }
        }
    }

    /// Number of tracked blocks.
    pub fn len(&self) -> usize {
        self.by_block.len()
    }

    /// Whether no block is tracked.
    pub fn is_empty(&self) -> bool {
        self.by_block.is_empty()
    }

    fn remove_block(&mut self, block: u64) {
        if let Some((_, last_used)) = self.by_block.remove(&block) {
            self.by_age.remove(&(last_used, block));
        }
    }
}
