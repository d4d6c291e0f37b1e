//! Guards against memory of engines that stays unused because entries without callers hold a part of it.

mod chain_support;

use dandelionroad_core::relay::DemandTable;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::SharedDemand;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::chain_support::NOW;
use crate::chain_support::SERVICE;
use crate::chain_support::record;
use crate::chain_support::table;

const ENTRIES: usize = 25;

/// The entries that get four fifths of the callers.
const BUSY_ENTRIES: usize = 3;

/// The engines hold 20 requests together, fewer than there are entries.
const ENGINES: u16 = 4;

const ENGINE_REQUESTS: usize = 5;

const REQUEST_UNITS: f64 = 80_000.0;

const REQUEST_TOKENS: f64 = 1_000.0;

const RUN_MS: u64 = 500;

const REPORT_MS: u64 = 100;

/// The time that a request waits for memory before it is refused, in milliseconds.
const WAIT_MS: u64 = 500;

/// Entries of one zone that share engines.
struct SharingWorld {
    is_weighted: bool,
    tables: Vec<EngineTable>,
    demands: Vec<DemandTable>,
    /// The entry, the engine and the end of each run.
    running: Vec<(usize, String, u64)>,
    /// The entry and the arrival of each request that waits.
    waiting: Vec<(usize, u64)>,
    tally: SharingTally,
}

#[derive(Debug, Default)]
struct SharingTally {
    /// Requests of the busy entries, then of the others.
    arrived: [u32; 2],
    refused: [u32; 2],
    /// Arrivals that found no room at once while an engine had room.
    misses: u32,
    over_capacity: u32,
}

impl SharingWorld {
    fn new(is_weighted: bool) -> SharingWorld {
        let record = |number| record(number, "a", "large", LayerRange::new(0, 80));
        SharingWorld {
            is_weighted,
            tables: vec![table((0..ENGINES).map(record).collect()); ENTRIES],
            demands: vec![DemandTable::new("a"); ENTRIES],
            running: Vec::new(),
            waiting: Vec::new(),
            tally: SharingTally::default(),
        }
    }

    fn exchange_reports(&mut self, entry: usize, now: u64, rounding_offset: f64) {
        let (mut loads, mut demands) = (Vec::new(), Vec::new());
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            loads.extend(self.tables[other].own_loads());
            demands.extend(self.demands[other].own_demands());
        }
        let (table, demand) = (&mut self.tables[entry], &mut self.demands[entry]);
        table.set_peer_loads(&loads);
        demand.set_peer_demands(&demands);
        demand.refresh(MilliTime::from_millis(now));
        table.divide_capacity(|_| ENTRIES as u32, demand, rounding_offset);
    }

    fn arrive(&mut self, entry: usize, now: u64) {
        self.tally.arrived[class_of(entry)] += 1;
        if self.is_weighted {
            let now = MilliTime::from_millis(now);
            self.demands[entry].record_arrival(service(), 0, REQUEST_TOKENS, now);
        }
        if !self.start(entry, now) {
            let has_room = self.running.len() < usize::from(ENGINES) * ENGINE_REQUESTS;
            self.tally.misses += u32::from(has_room);
            self.waiting.push((entry, now));
        }
    }

    /// Starts a request if its entry has a part of a free engine left, and returns whether it started.
    fn start(&mut self, entry: usize, now: u64) -> bool {
        let capacity = ENGINE_REQUESTS as f64 * REQUEST_UNITS;
        let table = &mut self.tables[entry];
        let engine = table.entries().iter().find(|engine| {
            capacity - engine.units() >= REQUEST_UNITS
                && engine.remaining_share(capacity, REQUEST_UNITS) > 0.0
        });
        let Some(id) = engine.map(|engine| engine.record.id.clone()) else {
            return false;
        };
        table.add_request(&id, REQUEST_UNITS);
        let at_engine = self.running.iter().filter(|run| run.1 == id).count();
        self.tally.over_capacity += u32::from(at_engine >= ENGINE_REQUESTS);
        self.running.push((entry, id, now + RUN_MS));
        true
    }

    fn serve_waiting(&mut self, entry: usize, now: u64) {
        for (owner, arrival) in std::mem::take(&mut self.waiting) {
            if owner == entry && now >= arrival + WAIT_MS {
                self.tally.refused[class_of(entry)] += 1;
            } else if owner != entry || !self.start(entry, now) {
                self.waiting.push((owner, arrival));
            }
        }
    }

    fn end_runs(&mut self, now: u64) {
        for (entry, id, _) in self.running.extract_if(.., |run| run.2 <= now) {
            self.tables[entry].remove_request(&id, REQUEST_UNITS);
        }
    }
}

fn service() -> u64 {
    hash_text(0, SERVICE)
}

/// Returns 0 for an entry that gets many callers, and 1 for one that gets few.
fn class_of(entry: usize) -> usize {
    usize::from(entry >= BUSY_ENTRIES)
}

/// Simulates a minute of arrivals at 0.7 times what the engines can run.
fn simulate(is_weighted: bool) -> SharingTally {
    let mut world = SharingWorld::new(is_weighted);
    let mut rng = ChaCha8Rng::seed_from_u64(23);
    for now in 0..60_000_u64 {
        world.end_runs(now);
        for entry in 0..ENTRIES {
            // Entries report at different times.
            if (now + 4 * entry as u64).is_multiple_of(REPORT_MS) {
                world.exchange_reports(entry, now, rng.random());
                world.serve_waiting(entry, now);
            }
        }
        if rng.random_bool(0.7 * 20.0 / RUN_MS as f64) {
            let entry = match rng.random_bool(0.8) {
                true => rng.random_range(0..BUSY_ENTRIES),
                false => rng.random_range(BUSY_ENTRIES..ENTRIES),
            };
            world.arrive(entry, now);
        }
    }
    world.tally
}

/// Guards against room that stays unused beside requests without room: with an even division, an entry with many
/// callers gets no more of a full engine than one without any.
#[test]
fn weighted_division_uses_room() {
    let (even, weighted) = (simulate(false), simulate(true));
    let seen = format!("even {even:?}, weighted {weighted:?}");
    println!("{seen}");
    assert!(weighted.misses * 3 < even.misses * 2, "{seen}");
    assert!(weighted.refused[0] * 10 < even.refused[0], "{seen}");
    // An entry with little demand is still served.
    assert!(weighted.refused[1] * 5 < weighted.arrived[1] * 3, "{seen}");
    let arrived: u32 = weighted.arrived.iter().sum();
    assert!(weighted.over_capacity * 50 < arrived, "{seen}");
}

/// Guards against weights that leave memory unused or promise it twice: the weights of a zone add up to 1, also
/// once an entry is silent, whose part then goes to the others. An entry without demand keeps a small part.
#[test]
fn own_weight_sums_to_one() {
    let arriving = [9_000.0, 800.0, 200.0, 0.0];
    let weights = |live: &[usize]| -> Vec<f64> {
        let weight = |own: &usize| {
            let mut demand = DemandTable::new("a");
            if arriving[*own] > 0.0 {
                // The mean over the first 100 ms, the shortest span of the moving average.
                demand.record_arrival(service(), 1, arriving[*own] * 0.0975, NOW);
            }
            let others = live.iter().filter(|other| *other != own);
            let report = |other: &usize| shared_demand("a", 1, 0.0, arriving[*other]);
            demand.set_peer_demands(&others.map(report).collect::<Vec<_>>());
            demand
                .own_weight(service(), "a", live.len() as u32)
                .unwrap()
        };
        live.iter().map(weight).collect()
    };
    let all = weights(&[0, 1, 2, 3]);
    assert!((all.iter().sum::<f64>() - 1.0).abs() < 0.01, "{all:?}");
    assert!(all[0] > 0.8 && (0.02..0.03).contains(&all[3]), "{all:?}");
    let left = weights(&[1, 2, 3]);
    assert!((left.iter().sum::<f64>() - 1.0).abs() < 0.01, "{left:?}");
    assert!(left[0] > 0.7 && left[1] > 0.2, "{left:?}");
}

/// Guards against a service without shortage control that is divided otherwise than before, against entries of
/// another zone that take over an engine, and against work of the same or a less urgent priority counted as earlier.
#[test]
fn demand_counts_by_service_zone_and_priority() {
    let mut demand = DemandTable::new("a");
    demand.record_arrival(service(), 1, 500.0, NOW);
    assert_eq!(demand.own_weight(hash_text(0, "other"), "a", 4), None);
    assert_eq!(demand.own_weight(service(), "b", 4), Some(0.25));
    let peers = [(0, 300.0), (1, 20.0), (2, 1.0)];
    demand.set_peer_demands(
        &peers.map(|(priority, tokens)| shared_demand("b", priority, tokens, tokens)),
    );
    assert_eq!(demand.waiting_before(service(), 2), 320.0);
    let arriving = demand.arriving(service(), 1) - demand.own_demands()[0].arriving_tokens;
    assert!((arriving - 20.0).abs() < 1e-6, "{arriving}");
    demand.refresh(NOW.plus(30_000));
    assert_eq!(demand.own_demands(), []);
}

fn shared_demand(zone: &str, priority: u8, waiting: f64, arriving: f64) -> SharedDemand {
    SharedDemand {
        service: service() as u32,
        zone: hash_text(0, zone),
        priority,
        waiting_tokens: waiting,
        arriving_tokens: arriving,
    }
}
