/// A row read from the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRow {
    /// The key of the row.
    pub key: String,
    /// The version of the row, which each write increases.
    pub version: u64,
    /// The value of the row.
    pub value: String,
}
