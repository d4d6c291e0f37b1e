use serde::Deserialize;
use serde::Serialize;

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// The key of the row, by which scans are ordered.
    pub key: String,
    /// The version of the row, which each write increases.
    pub version: u64,
    /// The value of the row, as text that the service does not interpret.
    pub value: String,
}
