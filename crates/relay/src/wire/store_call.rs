use super::StoreTable;
use super::StoreWrite;

/// A call of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads the rows of a table, after the key `after` if there are more than one answer holds.
    Read {
        /// The table.
        table: StoreTable,
        /// The last key of the answer before.
        after: Option<String>,
    },
    /// Waits for changes of a table after a version.
    Watch {
        /// The table.
        table: StoreTable,
        /// The version from which on changes are wanted.
        version: u64,
        /// The longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// Writes a row.
    Write(StoreWrite),
}
