//! Lists of a store that has come back from an older copy, which may name engines that have ended since.

use crate::relay::EngineRecord;
use crate::relay::ListingDelta;
use crate::relay::StoreVersion;
use crate::relay::incarnation_end::IncarnationEnd;
use crate::time::MilliTime;

use super::EngineTable;

/// The time from the first sight of a new era for which incarnations that were removed before are not used although
/// the list has them, in milliseconds.
///
/// The copy's row of an engine that has ended lapses three missed heartbeats of 1.2 s after the return, and the list
/// is read each second. A row that is still listed then is that of an engine that was only silent for a while.
const HOLD_BACK_MS: u64 = 5_000;

impl EngineTable {
    /// Records the first sight of a new era of the store.
    ///
    /// Until live engines have registered again, those that the first list of the era lacks are kept, and those that
    /// were known to leave or were removed stay unused although the list has them.
    pub fn begin_era(&mut self, now: MilliTime) {
        self.grace.begin_era(now);
        self.held_back_until = now.plus(HOLD_BACK_MS);
    }

    /// Returns the registrations of removed incarnations that the list has had for so long that they count again, as
    /// changes of the list at `version`.
    pub fn release_held_back(
        &mut self,
        version: StoreVersion,
        now: MilliTime,
    ) -> Option<ListingDelta> {
        if self.held_back.is_empty() || now < self.held_back_until {
            return None;
        }
        Some(ListingDelta {
            base: version,
            version,
            digest: 0,
            changed: std::mem::take(&mut self.held_back),
            removed: Vec::new(),
        })
    }

    /// Returns a listed record as far as it agrees with what is known of the incarnation; `None` if the incarnation
    /// was removed before the store came back from an older copy.
    pub(super) fn admit_record(
        &mut self,
        record: &EngineRecord,
        version: StoreVersion,
        now: MilliTime,
    ) -> Option<EngineRecord> {
        self.held_back.retain(|held| held.id != record.id);
        let mut record = record.clone();
        // Without the time of its start, the next engine of this name can't be told from this one.
        if record.started_ms == 0 {
            return Some(record);
        }
        let incarnation = record.incarnation();
        let end = self.ended.get(&incarnation);
        let end = end.filter(|_| version.names_era());
        if end == Some(IncarnationEnd::Removed) && now < self.held_back_until {
            // The list has lost the row of the incarnation that is in use, if there is one.
            if let Some(entry) = self.get_mut(&record.id) {
                entry.is_missing = true;
            }
            self.held_back.push(record);
            return None;
        }
        record.is_draining |= end == Some(IncarnationEnd::Leaving);
        match record.is_draining {
            true => self
                .ended
                .record(&incarnation, IncarnationEnd::Leaving, now),
            false => self.ended.record_listed(&incarnation),
        }
        Some(record)
    }

    /// Records that an incarnation was removed from the list or replaced there.
    pub(super) fn record_removed(&mut self, record: &EngineRecord, now: MilliTime) {
        if record.started_ms > 0 {
            let incarnation = record.incarnation();
            self.ended
                .record(&incarnation, IncarnationEnd::Removed, now);
        }
    }
}
