use crate::route::mix_seed;
use crate::time::MilliTime;

use super::EngineEntry;
use super::EngineTable;

/// Picks the least loaded endpoint of a plain service.
///
/// Endpoints of plain services have few slots, and their requests have short deadlines.
#[derive(Clone, Copy, Debug)]
pub struct ServicePicker<'a> {
    table: &'a EngineTable,
    service: &'a str,
}

impl<'a> ServicePicker<'a> {
    /// Creates a picker for one service.
    pub fn new(table: &'a EngineTable, service: &'a str) -> ServicePicker<'a> {
        ServicePicker { table, service }
    }

    /// Returns the endpoint with the lowest load per slot, except those in `excluded`.
    ///
    /// Endpoints that are avoided are used only if no other one is left: a request that is sent to
    /// one may fail, while a refused request has failed already. Those that have asked for no requests are not used.
    pub fn pick(&self, excluded: &[String], now: MilliTime, seed: u64) -> Option<&'a EngineEntry> {
        let listed = || {
            let is_allowed = |entry: &&EngineEntry| !excluded.contains(&entry.record.id);
            self.listed(now).filter(is_allowed)
        };
        let usable = listed().filter(|entry| entry.is_usable(now));
        usable
            .min_by_key(|entry| load_sort_key(entry, seed))
            .or_else(|| {
                listed()
                    .min_by_key(|entry| (entry.marks.avoided_until(), load_sort_key(entry, seed)))
            })
    }

    fn listed(&self, now: MilliTime) -> impl Iterator<Item = &'a EngineEntry> + use<'a> {
        let service = self.service;
        let is_listed =
            move |entry: &&EngineEntry| entry.record.service == service && entry.accepts_work(now);
        self.table.entries().iter().filter(is_listed)
    }
}

fn load_sort_key(entry: &EngineEntry, seed: u64) -> (u64, u64) {
    let load = u64::from(entry.requests()) * 1_000 / u64::from(entry.record.slots.max(1));
    (load, mix_seed(seed ^ entry.record.started_ms))
}
