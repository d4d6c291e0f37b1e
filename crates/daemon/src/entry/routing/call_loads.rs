use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::route::EndpointLoad;
use dandelionroad_core::route::LoadReport;
use dandelionroad_core::route::mix_seed;
use dandelionroad_core::time::MilliTime;

/// The service rate assumed for every endpoint, in calls per second.
///
/// It only scales the loads, which are compared with each other.
const CALLS_PER_SECOND: u64 = 1_000;

struct CallLoadTable {
    /// Sorted by endpoint.
    loads: Vec<EndpointLoad>,
    seed: u64,
}

/// The loads of the endpoints of plain services, as known to this entry.
///
/// A call counts as one work unit. The load of an endpoint combines the outstanding calls
/// of this entry with the last load report of the endpoint.
pub struct CallLoads {
    table: Mutex<CallLoadTable>,
}

impl CallLoads {
    /// Creates the loads without endpoints; `seed` determines the random choices.
    pub fn new(seed: u64) -> CallLoads {
        let loads = Vec::new();
        CallLoads {
            table: Mutex::new(CallLoadTable { loads, seed }),
        }
    }

    /// Returns the index of the less loaded of two random candidates, `None` without candidates.
    pub fn pick(&self, candidates: &[EndpointName], now: MilliTime) -> Option<usize> {
        let length = candidates.len();
        if length == 0 {
            return None;
        }
        let mut table = self.table();
        table.seed = mix_seed(table.seed);
        let left = (table.seed % length as u64) as usize;
        // The second candidate differs from the first unless there is only one.
        let step = 1 + (mix_seed(table.seed) % (length as u64 - 1).max(1)) as usize;
        let right = (left + step) % length;
        let [left_units, right_units] = [left, right].map(|index| {
            let load = table.endpoint_load(&candidates[index]);
            load.outstanding_units(now)
        });
        Some(if right_units < left_units {
            right
        } else {
            left
        })
    }

    /// Counts a call that is sent to `endpoint`.
    pub fn begin_call(&self, endpoint: &EndpointName) {
        self.table().endpoint_load(endpoint).add_work(1);
    }

    /// Records the end of a call, with the load report if the endpoint replied.
    pub fn end_call(&self, endpoint: &EndpointName, load: Option<&LoadReport>, now: MilliTime) {
        let mut table = self.table();
        let endpoint_load = table.endpoint_load(endpoint);
        endpoint_load.remove_work(1);
        if let Some(load) = load {
            endpoint_load.record_report(load, now);
        }
    }

    fn table(&self) -> MutexGuard<'_, CallLoadTable> {
        self.table
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl CallLoadTable {
    fn endpoint_load(&mut self, endpoint: &EndpointName) -> &mut EndpointLoad {
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
