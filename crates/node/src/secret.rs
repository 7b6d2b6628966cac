//! Secrets, which are read from files and compared by digest, in constant time.

use std::path::Path;

use eelgrassdyke_core::digest::Sha256;

use crate::errors::{Error, Result};

/// The secret shared by all processes of a system.
#[derive(Clone)]
pub struct PeerSecret {
    text: String,
    /// Its digest; none if every peer is trusted.
    digest: Option<Sha256>,
}

impl PeerSecret {
    /// Reads the secret from a file; surrounding white space is ignored.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::read(path, e))?;
        let text = text.trim().to_owned();
        let printable = text.bytes().all(|b| b.is_ascii_graphic());
        if text.len() < 16 || !printable {
            return Err(Error::Content {
                path: path.to_owned(),
                problem:
                    "the secret is too short or contains other characters than printable ASCII"
                        .to_owned(),
                remedy: "use at least 16 random letters and digits",
            });
        }
        let digest = Some(Sha256::of(text.as_bytes()));
        Ok(Self { text, digest })
    }

    /// Trusts every peer; for a network that only processes of the system can reach.
    pub fn trust_all() -> Self {
        Self {
            text: String::new(),
            digest: None,
        }
    }

    /// The secret as sent to peers.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether `text` is the secret.
    pub fn matches(&self, text: &str) -> bool {
        self.digest
            .is_none_or(|digest| Sha256::of(text.as_bytes()) == digest)
    }
}

/// Digests of the operators' tokens.
#[derive(Clone, Debug, Default)]
pub struct OperatorTokens {
    digests: Vec<Sha256>,
}

impl OperatorTokens {
    /// Reads digests from a file, one per line; `#` begins a comment.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::read(path, e))?;
        let mut digests = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let digest = line.parse().map_err(|error| Error::Content {
                path: path.to_owned(),
                problem: format!("line {}: {error}", index + 1),
                remedy: "write one digest per line",
            })?;
            digests.push(digest);
        }
        Ok(Self { digests })
    }

    /// Whether `token` belongs to an operator; takes the same time for each position in the list.
    pub fn contains(&self, token: &str) -> bool {
        let digest = Sha256::of(token.as_bytes());
        self.digests
            .iter()
            .fold(false, |found, known| found | (*known == digest))
    }
}
