use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::route::EndpointLoad;
use dandelionroad_core::route::LoadReport;
use dandelionroad_core::route::mix_seed;
use dandelionroad_core::time::MilliTime;

/// The rate assumed for every plain service, in calls per second; only the ratio of loads counts.
const CALLS_PER_SECOND: u64 = 1_000;

struct CallTables {
    /// Sorted by endpoint.
    loads: Vec<EndpointLoad>,
    seed: u64,
}

/// The loads of plain services as this entry knows them, where a call is one unit of work.
pub struct CallLoads {
    tables: Mutex<CallTables>,
}

impl CallLoads {
    /// Creates the loads without endpoints; the seed decides the random choices.
    pub fn new(seed: u64) -> CallLoads {
        let loads = Vec::new();
        CallLoads {
            tables: Mutex::new(CallTables { loads, seed }),
        }
    }

    /// Chooses the less loaded of two random candidates and returns its index.
    pub fn pick(&self, candidates: &[EndpointName], now: MilliTime) -> Option<usize> {
        let length = candidates.len();
        if length == 0 {
            return None;
        }
        let mut tables = self.tables();
        tables.seed = mix_seed(tables.seed);
        let left = (tables.seed % length as u64) as usize;
        // The second candidate differs from the first one if there are two.
        let step = 1 + (mix_seed(tables.seed) % (length as u64 - 1).max(1)) as usize;
        let right = (left + step) % length;
        let [left_units, right_units] = [left, right].map(|index| {
            let load = tables.entry(&candidates[index]);
            load.outstanding_units(now)
        });
        Some(if right_units < left_units {
            right
        } else {
            left
        })
    }

    /// Counts a call that is handed to `endpoint`.
    pub fn begin_call(&self, endpoint: &EndpointName) {
        self.tables().entry(endpoint).add_work(1);
    }

    /// Counts the end of a call, with the load that the endpoint reported if it replied.
    pub fn end_call(&self, endpoint: &EndpointName, load: Option<&LoadReport>, now: MilliTime) {
        let mut tables = self.tables();
        let known = tables.entry(endpoint);
        known.remove_work(1);
        if let Some(load) = load {
            known.record_report(load, now);
        }
    }

    fn tables(&self) -> MutexGuard<'_, CallTables> {
        self.tables
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl CallTables {
    fn entry(&mut self, endpoint: &EndpointName) -> &mut EndpointLoad {
        let found = self
            .loads
            .binary_search_by(|load| load.endpoint.cmp(endpoint));
        let index = found.unwrap_or_else(|index| {
            let load = EndpointLoad::new(endpoint.clone(), CALLS_PER_SECOND);
            self.loads.insert(index, load);
            index
        });
        &mut self.loads[index]
    }
}
