//! Sizes and rates.

use crate::quantity;

quantity! {
    /// A size in bytes.
    Bytes;
    /// A count of model tokens.
    Tokens;
    /// A rate in tokens a second.
    TokenRate;
    /// A rate in requests a second.
    RequestRate;
    /// A rate in thousandths of a request a second.
    MilliRequestRate;
    /// A rate in bytes a second.
    ByteRate;
    /// A fraction in thousandths.
    Permille;
}

impl MilliRequestRate {
    /// The rate in requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Permille {
    /// 1000 thousandths: a fraction of 1.
    pub const ONE: Self = Self(1000);

    /// The value as a floating-point fraction; 1000 thousandths give 1.0.
    pub fn fraction(self) -> f64 {
        self.0 as f64 / Self::ONE.0 as f64
    }
}
