use serde::Deserialize;
use serde::Serialize;

/// A precondition of a commit: the version of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowCheck {
    /// The key of the row whose version is checked.
    pub key: String,
    /// The version that the row must have, or `None` if it must be absent.
    pub version: Option<u64>,
}
