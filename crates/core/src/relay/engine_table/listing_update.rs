//! Updates of the table by the list of engines, and the grace period after an outage of the store.

use crate::relay::EngineEntry;
use crate::relay::ListingChange;
use crate::relay::ListingDelta;
use crate::relay::PeerListing;
use crate::relay::StoreGap;
use crate::time::MilliTime;

use super::EngineTable;

impl EngineTable {
    /// Records a read of the list from the store that started at `start` and ended at `now`, before its changes are
    /// applied.
    ///
    /// Missing engines are kept for a while if entries of live ones may have lapsed before the read.
    pub fn record_read(&mut self, gap: &StoreGap, start: MilliTime, now: MilliTime) {
        self.grace.record_read(gap, start, now);
    }

    /// Records what another process said at `now` or later of the newest list, before its changes are applied.
    pub fn record_peer(&mut self, gap: &StoreGap, peer: &PeerListing, now: MilliTime) {
        self.grace.record_peer(gap, peer, now);
    }

    /// Records for how long another process still keeps missing engines after an outage that it has seen itself, in
    /// milliseconds.
    pub fn record_peer_grace(&mut self, grace_ms: u64, now: MilliTime) {
        self.grace.record_peer_grace(grace_ms, now);
    }

    /// Returns whether the list that was last confirmed to be the newest at `confirmed` was known to be whole then.
    pub fn is_whole(&self, confirmed: MilliTime) -> bool {
        self.grace.is_whole(confirmed)
    }

    /// Returns how long missing engines are still kept, in milliseconds.
    pub fn grace_left_ms(&self, now: MilliTime) -> u64 {
        self.grace.left_ms(now)
    }

    /// Returns how long missing engines are still kept after an outage that this process has seen itself, given what is
    /// known of the store since the held list was confirmed, in milliseconds.
    pub fn own_grace_left_ms(&self, gap: &StoreGap, now: MilliTime) -> u64 {
        self.grace.own_left_ms(gap, now)
    }

    /// Applies the changes of the list.
    ///
    /// Engines that the list lacks after an outage are kept for a grace period, unless they were
    /// draining. So are those that the first list of a new era of the store lacks.
    pub fn update(&mut self, delta: &ListingDelta, now: MilliTime) -> ListingChange {
        let mut change = ListingChange::default();
        let mut added = Vec::new();
        for listed in &delta.changed {
            let Some(record) = self.admit_record(listed, delta.version, now) else {
                continue;
            };
            let known = self.position(&record.id);
            if let Ok(index) = known {
                let entry = &mut self.entries[index];
                if entry.record.started_ms == record.started_ms {
                    if record.is_draining && !entry.record.is_draining {
                        change.draining.push(record.id.clone());
                    }
                    entry.record = record;
                    entry.is_missing = false;
                    continue;
                }
                // A new incarnation starts without the recorded state of the previous one.
                change.lost.push(entry.record.incarnation());
                let replaced = std::mem::replace(entry, EngineEntry::new(record, now));
                self.record_removed(&replaced.record, now);
            } else {
                let mut entry = EngineEntry::new(record, now);
                self.restore_availability(&mut entry);
                added.push(entry);
            }
            change.added.push(listed.id.clone());
        }
        self.remove_listed(delta, &mut change, now);
        self.entries.extend(added);
        self.entries
            .sort_by(|left, right| left.record.id.cmp(&right.record.id));
        if !change.added.is_empty() || !change.removed.is_empty() {
            self.index_tags();
        }
        change
    }

    /// Removes the engines that the delta removes, or marks them as missing during the grace period.
    fn remove_listed(&mut self, delta: &ListingDelta, change: &mut ListingChange, now: MilliTime) {
        let mut gone: Vec<&str> = delta.removed.iter().map(String::as_str).collect();
        gone.sort_unstable();
        self.held_back
            .retain(|record| gone.binary_search(&record.id.as_str()).is_err());
        // An engine that the store listed in this era and lists no more has gone since.
        let is_first_of_era = delta.version.is_of_later_era(delta.base);
        let is_kept = self.grace.is_active(now) || is_first_of_era && self.grace.is_settling(now);
        let removed = self.entries.extract_if(.., |entry| {
            if gone.binary_search(&entry.record.id.as_str()).is_err() {
                return false;
            }
            entry.is_missing = is_kept && !entry.record.is_draining;
            !entry.is_missing
        });
        let removed: Vec<EngineEntry> = removed.collect();
        for entry in removed {
            self.record_removed(&entry.record, now);
            // Without the time of its start, the next engine of this name can't be told from this one.
            if entry.record.started_ms == 0 {
                self.availability.remove(&entry.record.incarnation());
            }
            change.lost.push(entry.record.incarnation());
            change.removed.push(entry.record.id);
        }
    }

    /// Removes the engines that the newest listing lacks, once it counts as complete; returns their
    /// identifiers.
    ///
    /// A process whose list is confirmed to be the newest reads no other one until the list
    /// changes, which may be long after the engine has left. `confirmed` is the time of the last
    /// confirmation. A list confirmed long before the grace period ended is incomplete: the store
    /// may have become unavailable again before all engines had registered.
    pub fn remove_missing(&mut self, confirmed: MilliTime, now: MilliTime) -> Vec<String> {
        if !self.grace.is_list_complete(confirmed, now) {
            return Vec::new();
        }
        let missing = self.entries.extract_if(.., |entry| entry.is_missing);
        let missing: Vec<EngineEntry> = missing.collect();
        if !missing.is_empty() {
            self.index_tags();
        }
        let removed = missing.into_iter().map(|entry| {
            self.record_removed(&entry.record, now);
            entry.record.id
        });
        removed.collect()
    }
}
