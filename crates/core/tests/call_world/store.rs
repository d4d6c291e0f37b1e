//! The store of the simulated world.

use dandelionroad_core::dispatch::CallRow;
use dandelionroad_core::dispatch::CommitResult;
use dandelionroad_core::dispatch::RowChange;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::dispatch::VersionedRow;

use super::World;

impl World {
    /// Returns the row, or `None` if the store does not answer.
    pub(super) fn read(&mut self, key: &RowKey) -> Option<Option<VersionedRow>> {
        if !self.is_store_up || self.draw_fault(10) {
            return None;
        }
        let found = self.rows.iter().find(|(known, _)| known == key);
        Some(found.map(|(_, row)| row.clone()))
    }

    pub(super) fn commit(&mut self, change: RowChange) -> CommitResult {
        if !self.is_store_up {
            return CommitResult::Unsent;
        }
        if !self.draw_fault(4) {
            return self.apply(change);
        }
        match self.draw(4) {
            0 => return CommitResult::Unsent,
            1 => {}
            2 => self.delayed.push(change),
            _ => {
                self.apply(change);
            }
        }
        CommitResult::Lost
    }

    pub(super) fn apply_delayed(&mut self) {
        if !self.delayed.is_empty() && self.is_store_up {
            let index = self.draw(self.delayed.len());
            let change = self.delayed.remove(index);
            self.apply(change);
        }
    }

    pub(super) fn apply(&mut self, change: RowChange) -> CommitResult {
        let version_of = |key: &RowKey| {
            let found = self.rows.iter().find(|(known, _)| known == key);
            found.map(|(_, row)| row.version)
        };
        let is_previous_unchanged = change.previous_version.is_none()
            || change.key.previous().and_then(|key| version_of(&key)) == change.previous_version;
        if version_of(&change.key) != change.version || !is_previous_unchanged {
            return CommitResult::Conflict;
        }
        if let CallRow::Void {
            is_refusal: true, ..
        } = change.row
        {
            self.refusal_steps.push(self.step);
        }
        self.last_version += 1;
        self.rows.retain(|(known, _)| *known != change.key);
        let row = VersionedRow {
            version: self.last_version,
            row: change.row,
        };
        self.rows.push((change.key, row));
        CommitResult::Committed
    }
}
