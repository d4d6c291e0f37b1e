use dandelionroad_core::relay::StoreVersion;

use super::StoreRow;

/// A response of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The rows of a page, or the changed rows in the order of the changes.
    Rows {
        /// The rows.
        rows: Vec<StoreRow>,
        /// Whether the table has further pages.
        has_more: bool,
        /// The store's version at the time of the response, with its era.
        version: StoreVersion,
        /// The store's monotonic clock, in milliseconds.
        store_ms: u64,
    },
    /// The row was written.
    Written {
        /// The store's version after the write, with its era.
        version: StoreVersion,
        /// The store's monotonic clock, in milliseconds.
        store_ms: u64,
    },
    /// The row does not have the expected version; nothing was written.
    Conflict,
    /// The store no longer holds the changes after the given version.
    HistoryLost,
    /// The store is busy or rejects this process; nothing was done.
    Unavailable {
        /// The HTTP status.
        status: u16,
    },
}
