/*!
Reads and commits the rows of calls that are not idempotent.

A row in the table service records the attempt that may run a call and its outcome. Commits check
the version of the row, so that two processes can't both start the same attempt.
*/

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::CommitReply;
use dandelionroad_clients::table::RowCheck;
use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableClient;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_core::dispatch::CallRow;
use dandelionroad_core::dispatch::CommitResult;
use dandelionroad_core::dispatch::RowChange;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::dispatch::VersionedRow;

/// Reads the row of a call; `None` if it is absent.
///
/// # Errors
///
/// Returns the error of the client, or `Invalid` if the row is not a valid call row.
pub(crate) async fn read_row(
    table: &dyn TableClient,
    key: &RowKey,
) -> Result<Option<VersionedRow>, PlatformError> {
    let Some(found) = table.read(&key.table_key()).await? else {
        return Ok(None);
    };
    let row = serde_json::from_str(&found.value).map_err(|error| PlatformError::Invalid {
        system: "the table service",
        detail: format!("row {}: {error}", found.key),
    })?;
    let version = found.version;
    Ok(Some(VersionedRow { version, row }))
}

/// Commits the change of a call row and classifies the result.
pub(crate) async fn commit_row(table: &dyn TableClient, change: &RowChange) -> CommitResult {
    match table.commit(&table_commit(change)).await {
        Ok(CommitReply::Committed) => CommitResult::Committed,
        Ok(CommitReply::Conflict { .. }) => CommitResult::Conflict,
        Err(PlatformError::Unreachable { .. }) => CommitResult::Unsent,
        // A rejection can come from a proxy in front of a table service that did commit the change.
        Err(_) => CommitResult::Lost,
    }
}

fn table_commit(change: &RowChange) -> TableCommit {
    let key = change.key.table_key();
    let mut checks = vec![RowCheck {
        key: key.clone(),
        version: change.version,
    }];
    if let (Some(previous), Some(version)) = (change.key.previous(), change.previous_version) {
        checks.push(RowCheck {
            key: previous.table_key(),
            version: Some(version),
        });
    }
    let value = Some(row_text(&change.row));
    TableCommit {
        checks,
        writes: vec![RowWrite { key, value }],
    }
}

fn row_text(row: &CallRow) -> String {
    serde_json::to_string(row).expect("a row of strings and numbers is valid JSON")
}

/// Returns the idempotency key that is sent to the service.
///
/// It contains the client account, so that two accounts that choose the same key don't share an
/// outcome when the service is queried by key.
pub(crate) fn service_key(key: &RowKey) -> String {
    format!("{}:{}", key.account, key.key)
}
