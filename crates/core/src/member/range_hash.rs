use serde::Deserialize;
use serde::Serialize;

/// The hash of the members whose hashed names start with some hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeHash {
    /// The digits as a number.
    #[serde(rename = "p")]
    pub prefix: u16,
    /// The number of digits.
    #[serde(rename = "d")]
    pub depth: u8,
    /// The hash.
    #[serde(rename = "h")]
    pub hash: u32,
}

impl RangeHash {
    /// The number of digits of the smallest ranges, the leaves: 4,096 of them, so that a leaf holds
    /// two members at 8,180.
    pub const LEAF_DEPTH: u8 = 3;
}
