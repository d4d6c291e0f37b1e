//! The row `crash/<fingerprint>` of the table service, which holds the crashed runs of a request.

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::RowCheck;
use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableClient;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_clients::table::TableRow;
use serde::Deserialize;
use serde::Serialize;

/// The maximum number of commits of one change, which may conflict with commits of other entries.
const MAX_COMMIT_ATTEMPTS: u32 = 4;

/// The prefix of the keys of these rows.
const KEY_PREFIX: &str = "crash/";

/// The maximum number of rows of one scan.
const SCAN_ROWS: u32 = 256;

/// The crashed runs of a request, as stored in the table service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct CrashRow {
    /// The version of the row, which is not part of its value.
    #[serde(skip)]
    pub(super) version: u64,
    /// The runs as `request/attempt`, sorted.
    pub(super) runs: Vec<String>,
}

/// Adds runs to the row of a request, or clears it if `runs` is `None`, and returns the stored row.
///
/// The row is read again after each commit. Since runs have unique names, this also shows whether a
/// commit whose response was lost took effect.
pub(super) async fn write_runs(
    table: &dyn TableClient,
    fingerprint: &str,
    runs: Option<&[String]>,
) -> Result<CrashRow, PlatformError> {
    let key = format!("{KEY_PREFIX}{fingerprint}");
    let mut row = read_row(table, &key).await?;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let mut wanted = row.clone();
        match runs {
            Some(runs) => wanted.runs.extend_from_slice(runs),
            None => wanted.runs.clear(),
        }
        wanted.runs.sort();
        wanted.runs.dedup();
        if wanted.runs == row.runs {
            break;
        }
        let check = RowCheck {
            key: key.clone(),
            version: (row.version > 0).then_some(row.version),
        };
        let write = RowWrite {
            key: key.clone(),
            value: serde_json::to_string(&wanted).ok(),
        };
        let commit = TableCommit {
            checks: vec![check],
            writes: vec![write],
        };
        // The next read shows the result, also after a conflict or a lost response.
        let _ = table.commit(&commit).await;
        row = read_row(table, &key).await?;
    }
    Ok(row)
}

/// Reads the rows of all requests; returns those with crashed runs, each with its fingerprint.
pub(super) async fn scan_rows(
    table: &dyn TableClient,
) -> Result<Vec<(String, CrashRow)>, PlatformError> {
    let mut found = Vec::new();
    let mut after = String::new();
    loop {
        let rows = table.scan(KEY_PREFIX, &after, SCAN_ROWS).await?;
        let is_last = rows.len() < SCAN_ROWS as usize;
        for row in &rows {
            let parsed = parse_row(row);
            let fingerprint = row.key.strip_prefix(KEY_PREFIX);
            if let Some(fingerprint) = fingerprint.filter(|_| !parsed.runs.is_empty()) {
                found.push((fingerprint.to_owned(), parsed));
            }
        }
        match rows.into_iter().next_back() {
            Some(last) if !is_last => after = last.key,
            _ => return Ok(found),
        }
    }
}

/// Reads the row of a request.
pub(super) async fn read_runs(
    table: &dyn TableClient,
    fingerprint: &str,
) -> Result<CrashRow, PlatformError> {
    read_row(table, &format!("{KEY_PREFIX}{fingerprint}")).await
}

async fn read_row(table: &dyn TableClient, key: &str) -> Result<CrashRow, PlatformError> {
    let found = table.read(key).await?;
    Ok(found.as_ref().map(parse_row).unwrap_or_default())
}

fn parse_row(found: &TableRow) -> CrashRow {
    let row: CrashRow = serde_json::from_str(&found.value).unwrap_or_default();
    CrashRow {
        version: found.version,
        ..row
    }
}
