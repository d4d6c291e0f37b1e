use super::StoreTable;

/// A write of one row, conditional on the row's version if one is given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreWrite {
    /// The table.
    pub table: StoreTable,
    /// The key within the table.
    pub key: String,
    /// The new value.
    pub value: Vec<u8>,
    /// The version that the row must have, 0 if it must not exist; `None` writes unconditionally.
    pub expected_version: Option<u64>,
}
