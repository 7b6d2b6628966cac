//! Bounds retries to a share of first tries.
//!
//! Retries during a brown-out multiply the load that caused it. Each first try earns a part of a
//! retry; when the earnings are spent, a failed request is refused.

use eelgrassdyke_core::unit::Permille;

/// Thousandths of a retry that may be saved up.
const SAVED_MAX: u64 = 20 * 1000;

/// Thousandths of a retry that a new budget is lent.
const LENT: u64 = 10 * 1000;

/// Thousandths that one retry costs.
const RETRY_COST: u64 = 1000;

/// Retries that a service may make.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    share: Permille,
    saved: u64,
    /// What a new budget was lent and has not paid back.
    lent: u64,
}

impl Budget {
    /// A budget that begins with a few retries, which it pays back from what it earns.
    pub fn new(share: Permille) -> Self {
        Self {
            share,
            saved: LENT,
            lent: LENT,
        }
    }

    /// Changes the share of first tries.
    pub fn set_share(&mut self, share: Permille) {
        self.share = share;
    }

    /// Earns the part of a retry that a first try brings.
    pub fn earn(&mut self) {
        let paid = self.lent.min(self.share.0 / 2);
        self.lent -= paid;
        self.saved = (self.saved + self.share.0 - paid).min(SAVED_MAX);
    }

    /// Whether the earnings allow a retry.
    pub fn is_open(&self) -> bool {
        self.saved >= RETRY_COST
    }

    /// Spends one retry, if the earnings allow it.
    pub fn spend(&mut self) -> bool {
        if !self.is_open() {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
