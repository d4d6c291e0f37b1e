//! Reads the configuration from the table service.
//!
//! Each accepted ticket is a record of a log, and the latest state of each object is a row beside
//! it. A process replays the log from its own revision, or loads the objects first if the log is
//! long.

use std::sync::Arc;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::TableClient;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::LogRecord;
use dandelionroad_core::config::ObjectChange;
use dandelionroad_core::config::row_keys::LOG_PREFIX;
use dandelionroad_core::config::row_keys::OBJECT_PREFIX;
use dandelionroad_core::config::row_keys::REVISION_KEY;
use dandelionroad_core::config::row_keys::log_key;
use serde::de::DeserializeOwned;

/// The maximum number of rows of one scan.
const SCAN_ROWS: u32 = 256;

/// The maximum number of log records that a starting process replays; beyond it, the objects are
/// read first.
const MAX_LOG_RECORDS: u64 = 1_024;

/// Returns the latest configuration of the table service, starting from the local one.
///
/// Replays the log records after the revision of `held`. A process without configuration that is
/// more than [`MAX_LOG_RECORDS`] behind reads the revision, then all objects, and then replays the
/// log from that revision. Tickets committed while the objects are read are thus applied again,
/// which makes the result consistent.
pub(crate) async fn catch_up(
    table: &dyn TableClient,
    held: &Arc<ConfigState>,
) -> Result<Arc<ConfigState>, PlatformError> {
    let mut config = held.clone();
    if held.revision == 0 {
        let newest = read_revision(table).await?;
        if newest > MAX_LOG_RECORDS {
            config = Arc::new(read_objects(table, newest).await?);
        }
    }
    loop {
        let rows = table
            .scan(LOG_PREFIX, &log_key(config.revision), SCAN_ROWS)
            .await?;
        for row in &rows {
            let record: LogRecord = parse(&row.key, &row.value)?;
            if record.revision != config.revision + 1 {
                return Err(PlatformError::Invalid {
                    system: "table service",
                    detail: format!("{} does not follow revision {}", row.key, config.revision),
                });
            }
            Arc::make_mut(&mut config).apply(&record.ticket);
        }
        if rows.len() < SCAN_ROWS as usize {
            return Ok(config);
        }
    }
}

async fn read_revision(table: &dyn TableClient) -> Result<u64, PlatformError> {
    match table.read(REVISION_KEY).await? {
        Some(row) => parse(&row.key, &row.value),
        None => Ok(0),
    }
}

/// Reads all objects, each in its state at `revision` or later.
async fn read_objects(
    table: &dyn TableClient,
    revision: u64,
) -> Result<ConfigState, PlatformError> {
    let mut config = ConfigState::new();
    let mut after = String::new();
    loop {
        let rows = table.scan(OBJECT_PREFIX, &after, SCAN_ROWS).await?;
        for row in &rows {
            let change: ObjectChange = parse(&row.key, &row.value)?;
            config.apply_change(&change);
        }
        match rows.last() {
            Some(last) if rows.len() == SCAN_ROWS as usize => after = last.key.clone(),
            _ => break,
        }
    }
    config.revision = revision;
    Ok(config)
}

fn parse<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, PlatformError> {
    serde_json::from_str(value).map_err(|error| PlatformError::Invalid {
        system: "table service",
        detail: format!("row {key}: {error}"),
    })
}
