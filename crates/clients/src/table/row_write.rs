use serde::Deserialize;
use serde::Serialize;

/// A write or deletion of one row in a commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowWrite {
    /// The key of the row to write or delete.
    pub key: String,
    /// The new value of the row, or `None` to delete the row.
    pub value: Option<String>,
}
