use serde::Deserialize;
use serde::Serialize;

use super::PartReport;
use super::StoredCrash;

/// What must be known about crashes by processes that start when no other one is left to tell them.
///
/// The size is bounded, so that it fits into one row of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashSnapshot {
    /// The crashes that are attributed to requests.
    pub crashes: Vec<StoredCrash>,
    /// The prompt parts that are refused, or suspected while no request is known to have been served with them.
    pub parts: Vec<PartReport>,
}

impl CrashSnapshot {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.parts.is_empty()
    }

    /// Returns the snapshot as it would be `elapsed_ms` later without any news.
    #[must_use]
    pub fn aged(mut self, elapsed_ms: u64) -> CrashSnapshot {
        let elapsed_ms = u32::try_from(elapsed_ms).unwrap_or(u32::MAX);
        for stored in &mut self.crashes {
            stored.seen_age_ms = stored.seen_age_ms.saturating_add(elapsed_ms);
        }
        for report in &mut self.parts {
            for crash in &mut report.crashes {
                crash.age_ms = crash.age_ms.saturating_add(elapsed_ms);
            }
            report.served_age_ms = report
                .served_age_ms
                .map(|age_ms| age_ms.saturating_add(elapsed_ms));
        }
        self
    }
}
