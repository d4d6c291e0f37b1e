use crate::wire::StoreRow;
use crate::wire::StoreTable;

/// A snapshot of the rows that a process last read from the store, served to other processes.
#[derive(Clone, Debug, Default)]
pub struct RowSnapshot {
    /// The rows of the configuration table.
    pub config: Vec<StoreRow>,
    /// The rows of the engine table.
    pub engines: Vec<StoreRow>,
}

impl RowSnapshot {
    /// Returns the HTTP path at which the rows of a table are served; `None` for a table that is not
    /// shared.
    pub fn path(table: StoreTable) -> Option<&'static str> {
        match table {
            StoreTable::Config => Some("/rows/config"),
            StoreTable::Engines => Some("/rows/engines"),
            StoreTable::Members | StoreTable::Leases => None,
        }
    }

    /// Returns the rows that are served at an HTTP path.
    pub fn rows_at(&self, path: &str) -> Option<&[StoreRow]> {
        if Some(path) == RowSnapshot::path(StoreTable::Config) {
            return Some(&self.config);
        }
        if Some(path) == RowSnapshot::path(StoreTable::Engines) {
            return Some(&self.engines);
        }
        None
    }
}
