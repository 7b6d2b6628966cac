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
    /// A rate in bytes a second.
    ByteRate;
    /// A part of a whole, in thousandths.
    Permille;
}

impl Permille {
    /// The whole: 1000 thousandths.
    pub const WHOLE: Self = Self(1000);

    /// The part as a fraction between 0 and 1.
    pub fn fraction(self) -> f64 {
        self.0 as f64 / Self::WHOLE.0 as f64
    }
}
