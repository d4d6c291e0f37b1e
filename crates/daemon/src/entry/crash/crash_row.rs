//! The row `crash/<fingerprint>` of the table service, which holds the crashed runs of a request.

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::RowCheck;
use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableClient;
use dandelionroad_clients::table::TableCommit;
use serde::Deserialize;
use serde::Serialize;

/// The maximum number of commits of one change, which may conflict with commits of other entries.
const MAX_COMMIT_ATTEMPTS: u32 = 4;

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
    let key = format!("crash/{fingerprint}");
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

async fn read_row(table: &dyn TableClient, key: &str) -> Result<CrashRow, PlatformError> {
    let Some(found) = table.read(key).await? else {
        return Ok(CrashRow::default());
    };
    let row: CrashRow = serde_json::from_str(&found.value).unwrap_or_default();
    Ok(CrashRow {
        version: found.version,
        ..row
    })
}
