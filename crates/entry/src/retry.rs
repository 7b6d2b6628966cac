//! Bounds retries to a share of first tries.
//!
//! Retries during a brown-out multiply the load that caused it. Each first try earns a part of a
//! retry; when the earnings are spent, a failed request is refused.

use eelgrassdyke_core::unit::Permille;

/// Thousandths of a retry that may be saved up.
const BALANCE_MAX: u64 = 20 * 1000;

/// Thousandths of a retry that a new budget is lent.
const INITIAL_LOAN: u64 = 10 * 1000;

/// Thousandths that one retry costs.
const RETRY_COST: u64 = 1000;

/// Retries that a service may make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: Permille,
    balance: u64,
    /// What a new budget was lent and has not paid back.
    loan: u64,
}

impl RetryBudget {
    /// A budget that begins with a few retries, which it pays back from what it earns.
    pub fn new(share: Permille) -> Self {
        Self {
            share,
            balance: INITIAL_LOAN,
            loan: INITIAL_LOAN,
        }
    }

    /// Changes the share of first tries.
    pub fn set_share(&mut self, share: Permille) {
        self.share = share;
    }

    /// Earns the part of a retry that a first try brings.
    pub fn earn(&mut self) {
        let repayment = self.loan.min(self.share.0 / 2);
        self.loan -= repayment;
        self.balance = (self.balance + self.share.0 - repayment).min(BALANCE_MAX);
    }

    /// Whether the earnings allow a retry.
    pub fn has_retry(&self) -> bool {
        self.balance >= RETRY_COST
    }

    /// Spends one retry, if the earnings allow it.
    pub fn try_spend(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
