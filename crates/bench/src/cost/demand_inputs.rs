use dandelionroad_core::relay::DemandTable;
use dandelionroad_core::relay::SharedDemand;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::time::MilliTime;

use super::stopwatch::median_ns;

const SERVICE: &str = "model";

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

/// The number of priorities with demand at each process.
const PRIORITIES: u8 = 6;

/// The demand of a process and of the others.
pub(super) struct DemandInputs {
    table: DemandTable,
    peers: Vec<SharedDemand>,
    /// The processes that share an engine of the own zone.
    sharers: u32,
}

impl DemandInputs {
    /// Creates the demand of this many processes, this one included.
    pub(super) fn new(process_count: usize) -> DemandInputs {
        let service = hash_text(0, SERVICE);
        let mut table = DemandTable::new(ZONES[0]);
        let mut peers = Vec::new();
        for priority in 0..PRIORITIES {
            table.record_arrival(service, priority, 1_000.0, MilliTime::from_millis(1_000));
            table.set_waiting(service, priority, 800.0);
            for process in 1..process_count {
                peers.push(SharedDemand {
                    service: service as u32,
                    zone: hash_text(0, ZONES[process % ZONES.len()]),
                    priority,
                    waiting_tokens: 800.0,
                    arriving_tokens: 5_000.0,
                });
            }
        }
        table.set_peer_demands(&peers);
        DemandInputs {
            table,
            peers,
            sharers: process_count.div_ceil(ZONES.len()) as u32,
        }
    }

    /// Measures the share of an engine's capacity, which each division needs for each engine.
    pub(super) fn measure_own_weight(&self) -> (u64, u64) {
        let service = hash_text(0, SERVICE);
        let weight = || self.table.own_weight(service, ZONES[0], self.sharers);
        (median_ns(weight), 0)
    }

    /// Measures the sums of the others' demand, which each division needs once.
    pub(super) fn measure_peer_sums(&self) -> (u64, u64) {
        let mut table = self.table.clone();
        let nanoseconds = median_ns(|| table.set_peer_demands(&self.peers));
        (nanoseconds, 0)
    }
}
