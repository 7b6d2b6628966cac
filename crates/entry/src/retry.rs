//! Retry budget: limits retries to a share of first attempts.
//!
//! Retries during a brown-out multiply the load that caused it. Each first attempt earns a fraction
//! of a retry; while the balance is below one retry, a failed request is refused. Amounts are kept
//! in thousandths of a retry.

use eelgrassdyke_core::unit::Permille;

/// Maximum balance, in thousandths of a retry.
const BALANCE_MAX_MILLI: u64 = 20 * 1000;

/// Balance lent to a new budget, in thousandths of a retry.
const INITIAL_LOAN_MILLI: u64 = 10 * 1000;

/// Cost of one retry, in thousandths.
const RETRY_COST_MILLI: u64 = 1000;

/// The retry budget of a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: Permille,
    balance_milli: u64,
    /// Part of the initial loan that is not yet repaid, in thousandths of a retry.
    loan_milli: u64,
}

impl RetryBudget {
    /// A budget whose balance is a loan, repaid with up to half of what each first attempt earns.
    pub fn new(share: Permille) -> Self {
        Self {
            share,
            balance_milli: INITIAL_LOAN_MILLI,
            loan_milli: INITIAL_LOAN_MILLI,
        }
    }

    /// Sets the retries allowed per first attempt.
    pub fn set_share(&mut self, share: Permille) {
        self.share = share;
    }

    /// Adds the earnings of one first attempt.
    pub fn earn(&mut self) {
        let repayment_milli = self.loan_milli.min(self.share.0 / 2);
        self.loan_milli -= repayment_milli;
        self.balance_milli =
            (self.balance_milli + self.share.0 - repayment_milli).min(BALANCE_MAX_MILLI);
    }

    /// Whether the balance covers a retry.
    pub fn has_retry(&self) -> bool {
        self.balance_milli >= RETRY_COST_MILLI
    }

    /// Spends one retry if the balance covers it.
    pub fn try_spend(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.balance_milli -= RETRY_COST_MILLI;
        true
    }
}
