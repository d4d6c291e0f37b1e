use dandelionroad_clients::table::CommitReply;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_clients::table::TableRow;

/// The in-memory rows of the table service, sorted by key.
#[derive(Clone, Debug, Default)]
pub struct RowStore {
    rows: Vec<TableRow>,
    /// The version of the last transaction. All rows share this counter, so a row that is deleted
    /// and written again never gets an earlier version.
    last_version: u64,
}

impl RowStore {
    /// Creates an empty store.
    pub fn new() -> RowStore {
        RowStore::default()
    }

    /// Commits a transaction: applies all writes, or none if a check fails.
    pub fn commit(&mut self, commit: &TableCommit) -> CommitReply {
        for check in &commit.checks {
            if self.get(&check.key).map(|row| row.version) != check.version {
                let key = check.key.clone();
                return CommitReply::Conflict { key };
            }
        }
        self.last_version += 1;
        for write in &commit.writes {
            match &write.value {
                Some(value) => self.put(&write.key, value),
                None => self.remove(&write.key),
            }
        }
        CommitReply::Committed
    }

    /// Returns the row `key`, or `None` if it is absent.
    pub fn get(&self, key: &str) -> Option<&TableRow> {
        Some(&self.rows[self.find(key).ok()?])
    }

    /// Returns, in key order, up to `limit` rows whose keys start with `prefix` and sort after
    /// `after`.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> &[TableRow] {
        let first = self
            .rows
            .partition_point(|row| row.key.as_str() < prefix || row.key.as_str() <= after);
        let rows = &self.rows[first..];
        let matching = rows.partition_point(|row| row.key.starts_with(prefix));
        &rows[..matching.min(limit)]
    }

    /// Returns the version of the last transaction.
    pub fn last_version(&self) -> u64 {
        self.last_version
    }

    /// Returns the index of the row `key`, or as an error the index at which to insert it.
    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }

    fn put(&mut self, key: &str, value: &str) {
        let row = TableRow {
            key: key.to_owned(),
            version: self.last_version,
            value: value.to_owned(),
        };
        match self.find(key) {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
    }

    fn remove(&mut self, key: &str) {
        if let Ok(index) = self.find(key) {
            self.rows.remove(index);
        }
    }
}
