use super::CallRow;
use super::RowKey;

/// A transaction that writes one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// The row to write.
    pub key: RowKey,
    /// The version that the row must have, or `None` if it must be absent.
    pub version: Option<u64>,
    /// The version that the row of the previous attempt must have, or `None` if it is not checked.
    pub previous_version: Option<u64>,
    /// The new content.
    pub row: CallRow,
}
