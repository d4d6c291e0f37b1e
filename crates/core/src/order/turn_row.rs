use serde::Deserialize;
use serde::Serialize;

use crate::time::MilliTime;

/// The content of a row `turn/<slot>`: a lease on one of the few slots for concurrent loads from
/// the weight store.
///
/// A holder that is paused beyond the end of its lease only adds load to the weight store, which
/// limits its own rate; nothing else depends on the lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnRow {
    /// The endpoint that holds the turn to load from the weight store.
    pub holder: String,
    /// The end of the lease in wall-clock milliseconds.
    pub until: MilliTime,
}

impl TurnRow {
    /// Returns the row with which `holder` acquires the turn to load, or `None` while another holder
    /// has it. The lease ends `lease_ms` milliseconds after `now`.
    pub fn take(
        current: Option<&TurnRow>,
        holder: &str,
        now: MilliTime,
        lease_ms: u64,
    ) -> Option<TurnRow> {
        let is_free = current.is_none_or(|row| row.until <= now || row.holder == holder);
        is_free.then(|| TurnRow {
            holder: holder.to_owned(),
            until: now.plus(lease_ms),
        })
    }

    /// Returns whether `holder` has the turn to load and may release it.
    pub fn is_held_by(&self, holder: &str) -> bool {
        self.holder == holder
    }
}
