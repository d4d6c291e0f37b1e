use serde::Deserialize;
use serde::Serialize;

/// A condition of a commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowCheck {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have, or `None` if it must be absent.
    pub version: Option<u64>,
}
