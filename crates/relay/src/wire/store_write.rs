use super::StoreTable;

/// A row to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreWrite {
    /// The table.
    pub table: StoreTable,
    /// The key within the table.
    pub key: String,
    /// The bytes.
    pub value: Vec<u8>,
    /// The version that the row must have, 0 for none; nothing is checked without.
    pub expected_version: Option<u64>,
}
