//! What engines say in their answers about new work.

use crate::relay::EngineEntry;
use crate::time::MilliTime;

use super::EngineTable;

impl EngineTable {
    /// Records that an engine has said in an answer that it leaves; returns whether this is new.
    ///
    /// It gets no new work from now on, whatever its row in the list says.
    pub fn record_leaving(&mut self, id: &str, now: MilliTime) -> bool {
        let incarnation = self.incarnation(id);
        let is_new = self.availability.record_leaving(&incarnation, now);
        self.apply_availability(id);
        is_new
    }

    /// Records that an engine has asked in an answer for a pause; returns the end of the pause if it is later than
    /// the known one.
    ///
    /// `seed` differs between processes; see
    /// [`EngineAvailability::record_pause`](crate::relay::EngineAvailability::record_pause).
    pub fn record_pause(
        &mut self,
        id: &str,
        pause_ms: u64,
        seed: u64,
        now: MilliTime,
    ) -> Option<MilliTime> {
        let incarnation = self.incarnation(id);
        let seed = seed ^ self.get(id).map_or(0, |entry| u64::from(entry.tag));
        let end = self
            .availability
            .record_pause(&incarnation, pause_ms, seed, now);
        self.apply_availability(id);
        end
    }

    /// Drops what engines have said that counts no longer.
    pub fn expire_availability(&mut self, now: MilliTime) {
        self.availability.expire(now);
    }

    /// Returns the number of listed engines that leave and of those that pause.
    pub fn count_unavailable(&self, now: MilliTime) -> (usize, usize) {
        let leaving = self.entries.iter().filter(|entry| entry.is_leaving);
        let paused = self
            .entries
            .iter()
            .filter(|entry| entry.paused_until > now && !entry.is_leaving);
        (leaving.count(), paused.count())
    }

    /// Returns the time until which each endpoint of a plain service has asked for a pause; `None` if one of them
    /// takes work, or if all leave.
    pub fn service_pause_end(&self, service: &str, now: MilliTime) -> Option<MilliTime> {
        let staying = self
            .entries
            .iter()
            .filter(|entry| entry.record.service == service && !entry.is_ending());
        let end = staying.map(|entry| entry.paused_until).min()?;
        (end > now).then_some(end)
    }

    /// Sets what an engine has said earlier, as its row may have lapsed in the meantime.
    pub(super) fn restore_availability(&self, entry: &mut EngineEntry) {
        let incarnation = entry.record.incarnation();
        entry.is_leaving = self.availability.is_leaving(&incarnation);
        entry.paused_until = self.availability.paused_until(&incarnation);
    }

    fn apply_availability(&mut self, id: &str) {
        let Ok(index) = self.position(id) else {
            return;
        };
        let mut entry = self.entries[index].clone();
        self.restore_availability(&mut entry);
        self.entries[index] = entry;
    }
}
