use crate::wire::StoreRow;
use crate::wire::StoreTable;

/// The rows that a process read last, for others that can't reach the store.
#[derive(Clone, Debug, Default)]
pub struct RowSnapshot {
    /// The rows of the configuration.
    pub config: Vec<StoreRow>,
    /// The rows of the engines.
    pub engines: Vec<StoreRow>,
}

impl RowSnapshot {
    /// Returns the path at which the rows of a table are served; none for tables that are not copied.
    pub fn path(table: StoreTable) -> Option<&'static str> {
        match table {
            StoreTable::Config => Some("/rows/config"),
            StoreTable::Engines => Some("/rows/engines"),
            StoreTable::Members | StoreTable::Leases => None,
        }
    }

    /// Returns the rows that are served at a path.
    pub fn at_path(&self, path: &str) -> Option<&[StoreRow]> {
        if Some(path) == RowSnapshot::path(StoreTable::Config) {
            return Some(&self.config);
        }
        if Some(path) == RowSnapshot::path(StoreTable::Engines) {
            return Some(&self.engines);
        }
        None
    }
}
