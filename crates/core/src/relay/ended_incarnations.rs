use crate::time::MilliTime;

use super::incarnation_end::IncarnationEnd;

/// The maximum number of incarnations that are kept; the one that ended longest ago is dropped first.
const MAX_INCARNATIONS: usize = 4_096;

/// The time for which an incarnation is kept, in milliseconds.
///
/// A restored copy is some seconds old, so that it names none that ended long before.
const RETENTION_MS: u64 = 3_600_000;

/// An incarnation that has ended.
#[derive(Clone, Debug)]
struct EndedIncarnation {
    incarnation: String,
    end: IncarnationEnd,
    ended_at: MilliTime,
}

/// The incarnations of engines that left or were removed from the list.
///
/// A store that comes back from an older copy lists them as they were before.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedIncarnations {
    /// Sorted by incarnation.
    ended: Vec<EndedIncarnation>,
}

impl EndedIncarnations {
    /// Records an end; one that was removed while it left counts as one that leaves.
    pub(super) fn record(&mut self, incarnation: &str, end: IncarnationEnd, now: MilliTime) {
        match self.position(incarnation) {
            Ok(index) => {
                let known = &mut self.ended[index];
                if end == IncarnationEnd::Leaving {
                    known.end = end;
                }
                known.ended_at = now;
            }
            Err(index) => {
                let incarnation = incarnation.to_owned();
                let ended = EndedIncarnation {
                    incarnation,
                    end,
                    ended_at: now,
                };
                self.ended.insert(index, ended);
                self.drop_excess(now);
            }
        }
    }

    /// Returns how an incarnation ended, if it did.
    pub(super) fn get(&self, incarnation: &str) -> Option<IncarnationEnd> {
        let index = self.position(incarnation).ok()?;
        Some(self.ended[index].end)
    }

    /// Forgets that an incarnation was removed, as the list has it again; one that leaves stays so.
    pub(super) fn record_listed(&mut self, incarnation: &str) {
        if let Ok(index) = self.position(incarnation)
            && self.ended[index].end == IncarnationEnd::Removed
        {
            self.ended.remove(index);
        }
    }

    fn drop_excess(&mut self, now: MilliTime) {
        self.ended
            .retain(|ended| now.since(ended.ended_at) <= RETENTION_MS);
        if self.ended.len() <= MAX_INCARNATIONS {
            return;
        }
        let ended = self.ended.iter().enumerate();
        let oldest = ended.min_by_key(|(_, ended)| ended.ended_at);
        if let Some((index, _)) = oldest {
            self.ended.remove(index);
        }
    }

    fn position(&self, incarnation: &str) -> Result<usize, usize> {
        self.ended
            .binary_search_by(|ended| ended.incarnation.as_str().cmp(incarnation))
    }
}
