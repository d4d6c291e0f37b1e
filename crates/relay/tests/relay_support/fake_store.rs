use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use super::http_fake::FakeResponse;

/// A row: table, key, value and version.
type FakeRow = (String, String, String, u64);

/// An in-memory store with a switch that makes it hang.
pub(crate) struct FakeStore {
    rows: RefCell<Vec<FakeRow>>,
    version: Cell<u64>,
    /// The number of returns from a copy.
    era: Cell<u64>,
    /// The rows and the version of the last copy.
    copy: RefCell<(Vec<FakeRow>, u64)>,
    started: Instant,
    changed: Notify,
    /// Whether calls hang until the switch is reset.
    pub(crate) is_hanging: Cell<bool>,
    /// The table whose calls hang.
    pub(crate) hanging_table: Cell<Option<&'static str>>,
    /// The number of reads of the engine table.
    pub(crate) listing_reads: Cell<u32>,
    /// The number of reads and long polls of the configuration table.
    pub(crate) config_reads: Cell<u32>,
}

impl FakeStore {
    pub(crate) fn new() -> Rc<FakeStore> {
        Rc::new(FakeStore {
            rows: RefCell::default(),
            version: Cell::new(0),
            era: Cell::new(0),
            copy: RefCell::default(),
            started: Instant::now(),
            changed: Notify::new(),
            is_hanging: Cell::new(false),
            hanging_table: Cell::new(None),
            listing_reads: Cell::new(0),
            config_reads: Cell::new(0),
        })
    }

    /// Writes a row on behalf of the operator or an engine.
    pub(crate) fn put(&self, table: &str, key: &str, value: &Value) {
        self.write(table, key, &value.to_string());
    }

    /// Removes a row.
    pub(crate) fn remove(&self, table: &str, key: &str) {
        self.version.set(self.version.get() + 1);
        self.rows
            .borrow_mut()
            .retain(|row| row.0 != table || row.1 != key);
        self.changed.notify_waiters();
    }

    /// Copies the rows.
    pub(crate) fn take_copy(&self) {
        *self.copy.borrow_mut() = (self.rows.borrow().clone(), self.version.get());
    }

    /// Comes back from the last copy, in the next era.
    pub(crate) fn return_from_copy(&self) {
        let (rows, version) = self.copy.borrow().clone();
        *self.rows.borrow_mut() = rows;
        self.version.set(version);
        self.era.set(self.era.get() + 1);
        self.changed.notify_waiters();
    }

    /// Returns the keys of the rows of a table.
    pub(crate) fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.borrow();
        let rows = rows.iter().filter(|row| row.0 == table);
        rows.map(|row| row.1.clone()).collect()
    }

    /// Returns the values of the rows of a table.
    pub(crate) fn values(&self, table: &str) -> Vec<String> {
        let rows = self.rows.borrow();
        let rows = rows.iter().filter(|row| row.0 == table);
        rows.map(|row| row.2.clone()).collect()
    }

    /// Answers a call; the header names the era unless it is 0.
    pub(crate) async fn answer(&self, method: &str, path: &str, body: &[u8]) -> FakeResponse {
        let response = self.answer_without_era(method, path, body).await;
        match self.era.get() {
            0 => response,
            era => response.header("era", &era.to_string()),
        }
    }

    async fn answer_without_era(&self, method: &str, path: &str, body: &[u8]) -> FakeResponse {
        while self.is_hanging.get() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        while self.hanging_table.get() == Some(segments[0]) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        if method == "POST" {
            let doc: Value = serde_json::from_slice(body).unwrap();
            let key = doc["key"].as_str().unwrap();
            let version = self.version_of(segments[0], key);
            if doc["expected"]
                .as_u64()
                .is_some_and(|expected| expected != version)
            {
                return FakeResponse::new(409, "{}");
            }
            self.write(segments[0], key, doc["value"].as_str().unwrap());
            return FakeResponse::new(
                200,
                &json!({ "version": self.version.get(), "now": self.now() }).to_string(),
            );
        }
        if segments[0] == "engines" {
            self.listing_reads.set(self.listing_reads.get() + 1);
        }
        if segments[0] == "config" {
            self.config_reads.set(self.config_reads.get() + 1);
        }
        let after: u64 = segments.get(1).map_or(0, |text| text.parse().unwrap());
        if after > self.version.get() {
            return FakeResponse::new(410, "{}");
        }
        if let Some(wait) = segments.get(2) {
            let wait = Duration::from_millis(wait.parse().unwrap());
            if self.newest_version(segments[0]) <= after {
                let _ = tokio::time::timeout(wait, self.changed.notified()).await;
            }
        }
        let rows: Vec<Value> = self
            .rows
            .borrow()
            .iter()
            .filter(|row| row.0 == segments[0] && row.3 > after)
            .map(|row| json!({ "key": row.1, "value": row.2, "version": row.3 }))
            .collect();
        let doc = json!({ "rows": rows, "version": self.version.get(), "now": self.now() });
        FakeResponse::new(200, &doc.to_string())
    }

    fn write(&self, table: &str, key: &str, value: &str) {
        self.version.set(self.version.get() + 1);
        let mut rows = self.rows.borrow_mut();
        rows.retain(|row| row.0 != table || row.1 != key);
        rows.push((
            table.to_owned(),
            key.to_owned(),
            value.to_owned(),
            self.version.get(),
        ));
        drop(rows);
        self.changed.notify_waiters();
    }

    fn version_of(&self, table: &str, key: &str) -> u64 {
        let rows = self.rows.borrow();
        let row = rows.iter().find(|row| row.0 == table && row.1 == key);
        row.map_or(0, |row| row.3)
    }

    fn newest_version(&self, table: &str) -> u64 {
        let rows = self.rows.borrow();
        let versions = rows.iter().filter(|row| row.0 == table).map(|row| row.3);
        versions.max().unwrap_or(0)
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
