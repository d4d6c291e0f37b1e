//! The task that deletes the rows of old calls.
//!
//! It scans all call rows page by page and starts over after the last page.

use std::sync::Weak;
use std::time::Duration;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::RowCheck;
use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_core::dispatch::CallRow;
use dandelionroad_core::dispatch::RowSweep;

use crate::node::NodeContext;

/// The interval between two pages, in milliseconds.
const PAGE_INTERVAL_MS: u64 = 1_000;

/// The maximum number of rows of a page, and thus of deletions in one transaction.
const MAX_PAGE_ROWS: u32 = 200;

const MS_PER_HOUR: u64 = 3_600_000;

/// Deletes old rows while this process is one of the three entries that poll the table service,
/// until the process stops.
pub(super) async fn run(context: Weak<NodeContext>) {
    let mut after = String::new();
    loop {
        tokio::time::sleep(Duration::from_millis(PAGE_INTERVAL_MS)).await;
        let Some(context) = context.upgrade() else {
            return;
        };
        let is_poller = {
            let members = context.members.borrow();
            members.is_poller(&context.settings.name)
        };
        if is_poller {
            // After a failure, the same page is read again.
            after = sweep_page(&context, &after).await.unwrap_or(after);
        }
    }
}

/// Deletes the expired rows of one page and returns the key after which the next page starts.
async fn sweep_page(context: &NodeContext, after: &str) -> Result<String, PlatformError> {
    let table = context.clients.table.as_ref();
    let rows = table.scan("call/", after, MAX_PAGE_ROWS).await?;
    let is_last_page = rows.len() < MAX_PAGE_ROWS as usize;
    let sweep = RowSweep::new(context.settings.record_retention_hours * MS_PER_HOUR);
    let contents: Vec<(&str, Option<CallRow>)> = rows
        .iter()
        .map(|row| (row.key.as_str(), serde_json::from_str(&row.value).ok()))
        .collect();
    let expired = sweep.expired(&contents, is_last_page, context.clock.now());
    if !expired.is_empty() {
        let mut commit = TableCommit::default();
        for row in expired.iter().map(|index| &rows[*index]) {
            let (key, version) = (row.key.clone(), Some(row.version));
            commit.checks.push(RowCheck {
                key: key.clone(),
                version,
            });
            commit.writes.push(RowWrite { key, value: None });
        }
        // After a conflict, the rows are left for the next scan.
        table.commit(&commit).await?;
    }
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    Ok(sweep
        .resume_key(&keys, is_last_page)
        .unwrap_or_default()
        .to_owned())
}
