use super::CallRow;

/// A row as the table service returned it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRow {
    /// The version, for the check of a later commit.
    pub version: u64,
    /// The content of the row.
    pub row: CallRow,
}
