use serde::Deserialize;
use serde::Serialize;

/// A row of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreRow {
    /// The key within its table.
    pub key: String,
    /// The value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// The store version of the row's last change.
    pub version: u64,
}
