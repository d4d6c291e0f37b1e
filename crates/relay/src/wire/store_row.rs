/// A row of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRow {
    /// The key within its table.
    pub key: String,
    /// The bytes; none if the row was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the row.
    pub version: u64,
}
