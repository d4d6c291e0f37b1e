use super::StoreTable;
use super::StoreWrite;

/// A request to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads one page of a table's rows.
    Read {
        /// The table.
        table: StoreTable,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Long-polls a table for changes after a version.
    Watch {
        /// The table.
        table: StoreTable,
        /// The store version after which changes are returned.
        version: u64,
        /// The time after which the store responds without a change, in milliseconds.
        wait_ms: u64,
    },
    /// Writes one row, optionally on a precondition.
    Write(StoreWrite),
}
