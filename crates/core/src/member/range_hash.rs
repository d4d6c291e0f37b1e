use serde::Deserialize;
use serde::Serialize;

/// The hash over one range of the hash tree: the members whose name hashes share a prefix of
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeHash {
    /// The prefix as a number.
    #[serde(rename = "p")]
    pub prefix: u16,
    /// The number of digits of the prefix.
    #[serde(rename = "d")]
    pub depth: u8,
    /// The hash over the records of the range.
    #[serde(rename = "h")]
    pub hash: u32,
}

impl RangeHash {
    /// The number of digits of a leaf's prefix.
    ///
    /// This gives 4,096 leaves, so that a leaf holds two members in a system of 8,180.
    pub const LEAF_DEPTH: u8 = 3;
}
