//! Retry budget: limits retries to a share of first attempts.
//!
//! Retries during a brown-out multiply the load that caused it. Each first attempt earns a fraction
//! of a retry; while the balance is below one retry, a failed request is refused.

use eelgrassdyke_core::unit::Permille;

/// Maximum balance, in thousandths of a retry.
const BALANCE_MAX: u64 = 20 * 1000;

/// Balance lent to a new budget, in thousandths of a retry.
const INITIAL_LOAN: u64 = 10 * 1000;

/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1000;

/// The retry budget of a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: Permille,
    balance: u64,
    /// Rest of the initial loan, in thousandths of a retry.
    loan: u64,
}

impl RetryBudget {
    /// A budget whose balance is an initial loan, repaid out of its earnings.
    pub fn new(share: Permille) -> Self {
        Self {
            share,
            balance: INITIAL_LOAN,
            loan: INITIAL_LOAN,
        }
    }

    /// Sets the retries allowed per first attempt.
    pub fn set_share(&mut self, share: Permille) {
        self.share = share;
    }

    /// Adds the earnings of one first attempt.
    pub fn earn(&mut self) {
        let repayment = self.loan.min(self.share.0 / 2);
        self.loan -= repayment;
        self.balance = (self.balance + self.share.0 - repayment).min(BALANCE_MAX);
    }

    /// Whether the balance covers a retry.
    pub fn has_retry(&self) -> bool {
        self.balance >= RETRY_COST
    }

    /// Spends one retry if the balance covers it.
    pub fn try_spend(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
