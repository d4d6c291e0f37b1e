use serde::Deserialize;
use serde::Serialize;

/// A row of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreRow {
    /// The key within its table.
    pub key: String,
    /// The bytes; none if the row was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the row.
    pub version: u64,
}
