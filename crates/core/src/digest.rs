//! SHA-256 digests.
//!
//! Bearer tokens are stored only as digests, and a configuration is identified by the digest of its
//! canonical form. Digests are compared in constant time.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Result of parsing a digest.
pub type Result<T> = std::result::Result<T, Error>;

/// A text is not a digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a digest is 64 hexadecimal digits; make one with `eelgrassctl token --file FILE`")]
pub struct Error;

/// A SHA-256 digest, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Sha256([u8; 32]);

impl Sha256 {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(sha2::Sha256::digest(bytes).into())
    }

    /// The first 128 bits, for large sets that tolerate a negligible probability of collision.
    pub fn first_128_bits(&self) -> (u64, u64) {
        let [first, second, ..] = self.words();
        (first, second)
    }

    /// The digest as little-endian words, least significant first.
    fn words(&self) -> [u64; 4] {
        let mut words = [0; 4];
        for (word, chunk) in words.iter_mut().zip(self.0.chunks_exact(8)) {
            let bytes = chunk.iter().rev();
            *word = bytes.fold(0, |word, byte| word << 8 | u64::from(*byte));
        }
        words
    }
}

/// An incremental digest of a set: the sum of its members' digests modulo 2^256.
///
/// Adding or removing a member takes constant time, whatever the size of the set. It detects sets
/// that differ by accident; it does not resist deliberate collisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DigestSum([u64; 4]);

impl DigestSum {
    /// Adds a member of the set.
    pub fn add(&mut self, member: &Sha256) {
        let mut carry = false;
        for (word, other) in self.0.iter_mut().zip(member.words()) {
            let (sum, first) = word.overflowing_add(other);
            let (sum, second) = sum.overflowing_add(u64::from(carry));
            (*word, carry) = (sum, first || second);
        }
    }

    /// Removes a member of the set.
    pub fn remove(&mut self, member: &Sha256) {
        let mut borrow = false;
        for (word, other) in self.0.iter_mut().zip(member.words()) {
            let (difference, first) = word.overflowing_sub(other);
            let (difference, second) = difference.overflowing_sub(u64::from(borrow));
            (*word, borrow) = (difference, first || second);
        }
    }

    /// The digest of the set.
    pub fn digest(&self) -> Sha256 {
        let mut bytes = [0; 32];
        for (chunk, word) in bytes.chunks_exact_mut(8).zip(self.0) {
            chunk.copy_from_slice(&word.to_le_bytes());
        }
        Sha256(bytes)
    }
}

impl PartialEq for Sha256 {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Sha256 {}

impl fmt::Debug for Sha256 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Sha256 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for Sha256 {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(Error);
        }
        let mut bytes = [0; 32];
        for (byte, at) in bytes.iter_mut().zip((0..64).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| Error)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Sha256 {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Sha256> for String {
    fn from(digest: Sha256) -> Self {
        digest.to_string()
    }
}
