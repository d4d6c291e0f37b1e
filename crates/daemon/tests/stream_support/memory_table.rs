use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use dandelionroad_clients::ClientFuture;
use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::CommitReply;
use dandelionroad_clients::table::TableClient;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_clients::table::TableRow;

/// An in-memory table service whose outage tests can switch on.
#[derive(Default)]
pub(crate) struct MemoryTable {
    rows: Mutex<HashMap<String, (u64, String)>>,
    is_down: AtomicBool,
}

impl MemoryTable {
    /// Fails every call from now on.
    pub(crate) fn take_down(&self) {
        self.is_down.store(true, Ordering::SeqCst);
    }

    /// Returns the value of any row whose key starts with `prefix`, or `None` if there is none.
    pub(crate) fn value_with_prefix(&self, prefix: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let found = rows.iter().find(|(key, _)| key.starts_with(prefix));
        found.map(|(_, (_, value))| value.clone())
    }

    fn check_up(&self) -> Result<(), PlatformError> {
        match self.is_down.load(Ordering::SeqCst) {
            true => Err(PlatformError::Unreachable {
                system: "the table service",
                detail: "taken down".to_owned(),
            }),
            false => Ok(()),
        }
    }

    fn apply(&self, commit: &TableCommit) -> CommitReply {
        let mut rows = self.rows.lock().unwrap();
        for check in &commit.checks {
            let version = rows.get(&check.key).map(|(version, _)| *version);
            if version != check.version {
                let key = check.key.clone();
                return CommitReply::Conflict { key };
            }
        }
        for write in &commit.writes {
            let version = rows.get(&write.key).map_or(1, |(version, _)| version + 1);
            match &write.value {
                Some(value) => rows.insert(write.key.clone(), (version, value.clone())),
                None => rows.remove(&write.key),
            };
        }
        CommitReply::Committed
    }
}

impl TableClient for MemoryTable {
    fn commit<'a>(&'a self, commit: &'a TableCommit) -> ClientFuture<'a, CommitReply> {
        Box::pin(async move { self.check_up().map(|()| self.apply(commit)) })
    }

    fn read<'a>(&'a self, key: &'a str) -> ClientFuture<'a, Option<TableRow>> {
        Box::pin(async move {
            self.check_up()?;
            let rows = self.rows.lock().unwrap();
            Ok(rows.get(key).map(|(version, value)| TableRow {
                key: key.to_owned(),
                version: *version,
                value: value.clone(),
            }))
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: u32,
    ) -> ClientFuture<'a, Vec<TableRow>> {
        Box::pin(async move {
            self.check_up()?;
            let rows = self.rows.lock().unwrap();
            let found = rows.iter();
            let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
            let mut found: Vec<TableRow> = found
                .map(|(key, (version, value))| TableRow {
                    key: key.clone(),
                    version: *version,
                    value: value.clone(),
                })
                .collect();
            found.sort_by(|left, right| left.key.cmp(&right.key));
            found.truncate(limit as usize);
            Ok(found)
        })
    }
}
