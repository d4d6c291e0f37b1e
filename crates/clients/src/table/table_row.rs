use serde::Deserialize;
use serde::Serialize;

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// The key.
    pub key: String,
    /// The version; each write of the row raises it.
    pub version: u64,
    /// The value.
    pub value: String,
}
