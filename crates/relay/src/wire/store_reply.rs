use super::StoreRow;

/// An answer of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// Rows, or changes of rows in order.
    Rows {
        /// The rows.
        rows: Vec<StoreRow>,
        /// Whether the table has more rows after these.
        has_more: bool,
        /// The newest version of the store.
        version: u64,
        /// The steady time of the store, in milliseconds.
        store_ms: u64,
    },
    /// The write was done.
    Written {
        /// The steady time of the store, in milliseconds.
        store_ms: u64,
    },
    /// A row did not have the expected version; nothing was written.
    Conflict,
    /// The changes after the given version are no longer known.
    HistoryLost,
    /// Nothing was done; the store is busy or refuses this process.
    Unavailable {
        /// The HTTP status.
        status: u16,
    },
}
