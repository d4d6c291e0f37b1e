//! Guards against processes that all fill the same free KV memory before they learn of each other's
//! requests.

mod chain_support;

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::chain::RoomLimits;
use dandelionroad_core::relay::DemandTable;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::chain_support::SERVICE;
use crate::chain_support::record;
use crate::chain_support::shape;
use crate::chain_support::table;

/// The number of processes in the availability zone.
const PROCESSES: usize = 10;

/// The interval between two reports of a process, in milliseconds.
const REPORT_MS: u64 = 200;

/// The duration of a request, in milliseconds.
const RUN_MS: u64 = 2_000;

/// The size of a request, in tokens.
const TOKENS: f64 = 1_000.0;

struct RunningRequest {
    process: usize,
    chain: FoundChain,
    end: u64,
}

/// Processes that send requests to the same engines.
struct ZoneWorld {
    shape: ModelShape,
    tables: Vec<EngineTable>,
    running: Vec<RunningRequest>,
    is_divided: bool,
    sent: u64,
    over_capacity: u64,
    refused: u64,
}

impl ZoneWorld {
    fn new(is_divided: bool) -> ZoneWorld {
        let records = || {
            let group = |copy: u16| {
                let number = 10 * copy;
                [
                    record(number, "a", "middle", LayerRange::new(0, 18)),
                    record(number + 1, "a", "large", LayerRange::new(18, 49)),
                    record(number + 2, "a", "large", LayerRange::new(49, 80)),
                ]
            };
            (0..4).flat_map(group).collect()
        };
        ZoneWorld {
            shape: shape(),
            tables: (0..PROCESSES).map(|_| table(records())).collect(),
            running: Vec::new(),
            is_divided,
            sent: 0,
            over_capacity: 0,
            refused: 0,
        }
    }

    /// Returns the KV memory of an engine that is in use and its total KV memory, in tokens times
    /// layers.
    fn used_and_total_memory(&self, id: &str) -> (f64, f64) {
        let parts = self.running.iter().flat_map(|run| &run.chain.stages);
        let own = parts.filter(|part| part.id == id);
        let units: f64 = own.map(|part| TOKENS * f64::from(part.layers.len())).sum();
        let record = &self.tables[0].get(id).unwrap().record;
        let kind = self.shape.kind(record.kind.as_deref().unwrap()).unwrap();
        let capacity = self
            .shape
            .kv_capacity_units(kind.memory_mb, record.layers.len());
        (units, capacity)
    }

    /// Passes the loads of the other processes to a process and divides the capacity, if enabled.
    fn receive_reports(&mut self, process: usize, rounding_offset: f64) {
        let mut loads = Vec::new();
        for (number, table) in self.tables.iter().enumerate() {
            if number != process {
                loads.extend(table.own_loads());
            }
        }
        let table = &mut self.tables[process];
        table.set_peer_loads(&loads);
        if self.is_divided {
            let demand = DemandTable::new("a");
            table.divide_capacity(|_| PROCESSES as u32, &demand, rounding_offset);
        }
    }

    /// Sends a request from a process, or counts it as refused if there is no chain for it.
    fn send_request(&mut self, process: usize, now: u64) {
        let request = FinderRequest {
            tokens: TOKENS,
            is_resumed: false,
            ignores_refusals: false,
            zone: "a",
            excluded: &[],
            may_cross: false,
            limits: RoomLimits::whole(f64::MAX),
            seed: 0,
            now: MilliTime::from_millis(now),
        };
        let table = &self.tables[process];
        let found = ChainFinder::new(table, SERVICE, &self.shape).find(&request);
        let Some(chain) = found else {
            self.refused += 1;
            return;
        };
        self.sent += 1;
        let table = &mut self.tables[process];
        for part in &chain.stages {
            table.add_request(&part.id, TOKENS * f64::from(part.layers.len()));
        }
        let ids: Vec<String> = chain.stages.iter().map(|part| part.id.clone()).collect();
        self.running.push(RunningRequest {
            process,
            chain,
            end: now + RUN_MS,
        });
        let is_over_capacity = ids.iter().any(|id| {
            let (units, capacity) = self.used_and_total_memory(id);
            units > capacity
        });
        self.over_capacity += u64::from(is_over_capacity);
    }

    fn end_runs(&mut self, now: u64) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.end <= now);
        self.running = running;
        let ended: Vec<RunningRequest> = ended;
        for run in ended {
            for part in &run.chain.stages {
                let units = TOKENS * f64::from(part.layers.len());
                self.tables[run.process].remove_request(&part.id, units);
            }
        }
    }
}

/// Simulates a load of 4/3 of the capacity of the engines.
///
/// Returns the share of the sent requests that exceeded the KV memory, then the mean share of the KV
/// memory that was in use.
fn simulate_overload(is_divided: bool) -> (f64, f64) {
    let mut world = ZoneWorld::new(is_divided);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    // Four chains hold 50 requests or more each, for two seconds.
    let per_ms = 4.0 * 50.0 / RUN_MS as f64 * 4.0 / 3.0;
    let mut used = 0.0;
    let mut samples = 0.0;
    for now in 0..20_000_u64 {
        world.end_runs(now);
        for process in 0..PROCESSES {
            // Processes report at different times.
            if (now + 20 * process as u64).is_multiple_of(REPORT_MS) {
                world.receive_reports(process, rng.random());
            }
        }
        if rng.random_bool(per_ms) {
            world.send_request(rng.random_range(0..PROCESSES), now);
        }
        if now > 5_000 {
            let (units, capacity) = world.used_and_total_memory("e001");
            used += units / capacity;
            samples += 1.0;
        }
    }
    assert!(world.refused > 0, "the load does not fill the KV memory");
    (
        world.over_capacity as f64 / world.sent as f64,
        used / samples,
    )
}

/// Guards against sending requests to full engines under overload. Ten processes whose reports are
/// 200 ms old sent one request in three to engines that were full by then, which preempted running
/// streams.
#[test]
fn divide_capacity_prevents_overcommit() {
    let (divided, used) = simulate_overload(true);
    assert!(
        divided < 0.05,
        "a share of {divided} of the requests exceeds the KV memory"
    );
    assert!(
        used > 0.85,
        "only a share of {used} of the KV memory is used"
    );
}

/// Verifies that the test above detects the fault: without division, requests exceed the KV memory.
#[test]
fn divide_capacity_disabled_exceeds_memory() {
    let (undivided, _) = simulate_overload(false);

    assert!(
        undivided > 0.1,
        "only a share of {undivided} of the requests exceeds the KV memory"
    );
}
