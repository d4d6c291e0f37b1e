//! Random schedules of engines that come, leave, crash and lapse while the store is away for all or for one
//! process. Guards against requests to engines that left, and against forgetting engines that live.

mod chain_support;

use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::chain_support::record;

const SCHEDULES: u64 = 10_000;

/// The step of a schedule, and the time between two reads of the list, in milliseconds.
const STEP_MS: u64 = 100;
const READ_MS: u64 = 600;

/// The time within which an engine that leaves gets nothing new, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// How long entries live without a heartbeat, and how long engines take to be listed again, in milliseconds.
const LAPSE_MS: u64 = 3_600;
const RELIST_MS: u64 = 1_200;

/// The span without outages after which bounds hold, in milliseconds.
const STABLE_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EngineState {
    Live,
    /// Left or crashed, since this time.
    Gone(u64),
}

/// An engine with its entry in the store.
struct SimEngine {
    number: u16,
    state: EngineState,
    is_draining: bool,
    is_listed: bool,
    /// When its entry is written again after it lapsed.
    relisted_at: u64,
    /// When the store took its leaving.
    left_at: Option<u64>,
}

/// A process that reads the list, or is told of it by another one.
struct SimProcess {
    table: EngineTable,
    /// When the held list was known to be the newest.
    confirmed_at: u64,
    is_reached: bool,
}

impl SimProcess {
    fn read(&mut self, records: Vec<EngineRecord>, now: u64) {
        let time = MilliTime::from_millis(now);
        if !self.is_reached {
            self.table.end_outage(now - self.confirmed_at, time);
        }
        self.is_reached = true;
        self.confirmed_at = now;
        self.table.replace(records, time);
    }
}

fn listing(engines: &[SimEngine]) -> Vec<EngineRecord> {
    let listed = engines.iter().filter(|engine| engine.is_listed);
    let doc = |engine: &SimEngine| EngineRecord {
        is_draining: engine.is_draining,
        ..record(engine.number, "a", "small", LayerRange::new(0, 10))
    };
    listed.map(doc).collect()
}

/// Has an engine leave in order, vanish from the list or crash.
fn end_engine(engine: &mut SimEngine, way: u32, now: u64) {
    match way {
        0 => {
            engine.is_draining = true;
            engine.left_at = Some(now);
        }
        1 => {
            engine.is_listed = false;
            engine.left_at = Some(now);
            engine.state = EngineState::Gone(now);
        }
        _ => engine.state = EngineState::Gone(now),
    }
}

fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut engines: Vec<SimEngine> = (0..6)
        .map(|number| SimEngine {
            number,
            state: EngineState::Live,
            is_draining: false,
            is_listed: true,
            relisted_at: 0,
            left_at: None,
        })
        .collect();
    let start = 10_000;
    let mut process = SimProcess {
        table: EngineTable::new(),
        confirmed_at: start,
        is_reached: true,
    };
    process.read(listing(&engines), start);
    // The store is away for all, or turns this process away while another one tells it of the list.
    let (mut away_until, mut turned_until, mut away_since) = (0, 0, 0);
    let mut next_read = start;
    for now in (start..start + 40_000).step_by(STEP_MS as usize) {
        let is_away = now < away_until;
        if !is_away && rng.random_bool(0.01) {
            away_since = now;
            away_until = now + rng.random_range(500..8_000);
        }
        if rng.random_bool(0.01) {
            turned_until = now + rng.random_range(500..8_000);
        }
        if !is_away && rng.random_bool(0.03) {
            let index = rng.random_range(0..engines.len());
            if engines[index].state == EngineState::Live && !engines[index].is_draining {
                end_engine(&mut engines[index], rng.random_range(0..3), now);
            }
        }
        let has_lapsed = now - away_since.min(now) >= LAPSE_MS && away_since > 0;
        for engine in &mut engines {
            let is_dead_long =
                matches!(engine.state, EngineState::Gone(at) if now >= at + LAPSE_MS);
            if is_away && has_lapsed && engine.is_listed {
                // Heartbeats are lost; the entry is back when the store is.
                engine.is_listed = false;
                engine.relisted_at = away_until + rng.random_range(0..RELIST_MS);
            } else if !is_away && is_dead_long {
                engine.is_listed = false;
            } else if !is_away && engine.state == EngineState::Live && now >= engine.relisted_at {
                engine.is_listed = true;
            }
        }
        if now >= next_read {
            next_read = now + READ_MS;
            if is_away {
                process.is_reached = false;
            } else if now < turned_until {
                // Told by the reader of its zone; its own reads fail.
                process.is_reached = false;
                let held_ms = now - process.confirmed_at;
                let records = listing(&engines);
                let time = MilliTime::from_millis(now);
                process.table.end_outage(held_ms, time);
                process.table.replace(records, time);
                process.confirmed_at = now;
            } else {
                process.read(listing(&engines), now);
            }
        }
        let time = MilliTime::from_millis(now);
        let confirmed = MilliTime::from_millis(process.confirmed_at);
        process.table.remove_missing(confirmed, time);
        let is_stable = now >= away_until + STABLE_MS + DRAIN_MS;
        for engine in &engines {
            let id = format!("e{:03}", engine.number);
            let known = process.table.get(&id);
            let is_usable = known.is_some_and(|entry| entry.is_usable(time));
            if let Some(left_at) = engine.left_at {
                let is_due = now > left_at + DRAIN_MS && left_at >= away_until.min(now);
                assert!(
                    !(is_due && is_stable && is_usable),
                    "seed {seed}: {id} left at {left_at} and is usable at {now}"
                );
            } else if engine.state == EngineState::Live {
                assert!(
                    is_usable,
                    "seed {seed}: {id} lives and is not usable at {now}"
                );
            }
        }
    }
}

#[test]
fn engines_listed_in_random_schedules() {
    for seed in 0..SCHEDULES {
        play(seed);
    }
}
