//! Guards against an engine that gets work although it has said that it leaves or wants none, against one that is
//! left out for longer than it asked for, and against what one engine said being held against another.

use dandelionroad_core::relay::EngineAvailability;
use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::ListingDelta;
use dandelionroad_core::relay::ServicePicker;
use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: MilliTime = MilliTime::from_millis(100_000);

/// The maximum pause that counts, in milliseconds.
const MAX_PAUSE_MS: u64 = 3_600_000;

fn record(id: &str, started_ms: u64) -> EngineRecord {
    EngineRecord {
        id: id.to_owned(),
        service: "knots".to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".to_owned(),
        is_draining: false,
        slots: 4,
        kind: None,
        layers: LayerRange::new(0, 0),
        started_ms,
    }
}

fn delta(changed: Vec<EngineRecord>, removed: &[&str]) -> ListingDelta {
    ListingDelta {
        base: StoreVersion::UNREAD,
        version: StoreVersion::new(0, 1),
        digest: 0,
        changed,
        removed: removed.iter().map(|id| (*id).to_owned()).collect(),
    }
}

fn is_picked(table: &EngineTable, now: MilliTime) -> bool {
    ServicePicker::new(table, "knots")
        .pick(&[], now, 1)
        .is_some()
}

/// Random notices of some incarnations, beside a plain model of what each has said.
#[test]
fn availability_random_notices() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut availability = EngineAvailability::new();
        let mut leaving = [false; 4];
        let mut ends = [(0_u64, 0_u64); 4];
        let mut now = START;
        for _ in 0..60 {
            now = now.plus(random.random_range(0..400));
            let engine = random.random_range(0..4);
            let name = format!("e{}@{}", engine / 2, engine % 2);
            match random.random_range(0..4) {
                0 => {
                    let is_new = availability.record_leaving(&name, now);
                    assert_eq!(is_new, !leaving[engine], "seed {seed}");
                    leaving[engine] = true;
                }
                1 => {
                    let pause_ms = match random.random_range(0..4) {
                        0 => u64::MAX,
                        1 => 0,
                        _ => random.random_range(0..3_000),
                    };
                    availability.record_pause(&name, pause_ms, random.random(), now);
                    let pause_ms = pause_ms.min(MAX_PAUSE_MS);
                    let (earliest, latest) = &mut ends[engine];
                    if pause_ms > 0 {
                        let end = now.plus(pause_ms).as_millis();
                        *earliest = (*earliest).max(end);
                        *latest = (*latest).max(end + (pause_ms / 4).min(2_000));
                    }
                }
                2 => availability.expire(now),
                _ if random.random_bool(0.1) => {
                    availability.remove(&name);
                    leaving[engine] = false;
                    ends[engine] = (0, 0);
                }
                _ => {}
            }
            for engine in 0..4 {
                let name = format!("e{}@{}", engine / 2, engine % 2);
                assert_eq!(
                    availability.is_leaving(&name),
                    leaving[engine],
                    "seed {seed}"
                );
                let end = availability.paused_until(&name).as_millis();
                let (earliest, latest) = ends[engine];
                // A pause that has ended may be forgotten.
                let is_over = earliest <= now.as_millis() && end <= now.as_millis();
                assert!(is_over || (earliest..=latest).contains(&end), "seed {seed}");
            }
        }
    }
}

/// Guards against memory that grows with engines that come and go.
#[test]
fn availability_is_bounded() {
    let mut availability = EngineAvailability::new();
    for number in 0..10_000 {
        availability.record_leaving(&format!("e{number}@1"), START.plus(number));
    }
    assert_eq!(availability.len(), 4_096);
    assert!(availability.is_leaving("e9999@1"));
    availability.expire(START.plus(10_000 + 2 * MAX_PAUSE_MS));
    assert!(availability.is_empty());
}

/// Processes come back at different times.
#[test]
fn availability_spreads_returns() {
    let ends = (0..100).map(|seed| {
        let mut availability = EngineAvailability::new();
        availability
            .record_pause("e1@1", 4_000, seed, START)
            .unwrap()
    });
    let mut ends: Vec<u64> = ends.map(|end| end.since(START)).collect();
    ends.sort_unstable();
    assert!(ends[0] >= 4_000 && ends[99] <= 5_000, "{ends:?}");
    let in_window = |from: u64| {
        ends.iter()
            .filter(move |end| (from..from + 100).contains(*end))
    };
    assert!(
        (4_000..5_000).all(|from| in_window(from).count() < 30),
        "{ends:?}"
    );
}

/// The row of an engine changes, lapses and comes back: what it has said holds. Another incarnation begins anew.
#[test]
fn table_keeps_what_engines_said() {
    let mut table = EngineTable::new();
    table.update(&delta(vec![record("e1", 5)], &[]), START);
    assert!(table.record_leaving("e1", START));
    assert!(!is_picked(&table, START));
    let changed = EngineRecord {
        slots: 8,
        ..record("e1", 5)
    };
    table.update(&delta(vec![changed], &[]), START);
    assert!(!is_picked(&table, START));
    table.update(&delta(vec![], &["e1"]), START);
    table.update(&delta(vec![record("e1", 5)], &[]), START.plus(10_000));
    assert!(!is_picked(&table, START.plus(10_000)));
    assert_eq!(table.count_unavailable(START), (1, 0));
    table.update(&delta(vec![record("e1", 9)], &[]), START.plus(20_000));
    assert!(is_picked(&table, START.plus(20_000)));
}

/// The row does not tell when the engine started, so that a restart looks like a row that lapsed.
#[test]
fn table_forgets_engine_without_start_time() {
    let mut table = EngineTable::new();
    table.update(&delta(vec![record("e1", 0)], &[]), START);
    table.record_leaving("e1", START);
    table.update(&delta(vec![], &["e1"]), START);
    table.update(&delta(vec![record("e1", 0)], &[]), START);
    assert!(is_picked(&table, START));
}

#[test]
fn table_pause_of_service() {
    let mut table = EngineTable::new();
    let records = vec![record("e1", 1), record("e2", 1), record("e3", 1)];
    table.update(&delta(records, &[]), START);
    let first = table.record_pause("e1", 1_000, 1, START).unwrap();
    table.record_pause("e2", 5_000, 1, START).unwrap();
    assert_eq!(
        table.service_pause_end("knots", START),
        None,
        "e3 takes work"
    );
    table.record_leaving("e3", START);
    assert_eq!(table.service_pause_end("knots", START), Some(first));
    assert_eq!(table.count_unavailable(START), (1, 2));
    assert_eq!(table.service_pause_end("knots", first), None);
    assert!(is_picked(&table, first));
}
