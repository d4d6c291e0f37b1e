//! Guards against lists of engines that differ between processes which exchange only changes, and against
//! a list that is older than the time within which an engine that leaves must get no requests.

mod chain_support;

use dandelionroad_core::relay::DeltaMismatch;
use dandelionroad_core::relay::EngineListing;
use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::ListingDelta;
use dandelionroad_core::relay::ListingPlan;
use dandelionroad_core::relay::ListingStatus;
use dandelionroad_core::relay::ListingStep;
use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::chain_support::record;

const SCHEDULE_COUNT: u64 = 2_000;

fn engine(number: u16, end: u16) -> EngineRecord {
    record(number, "a", "small", LayerRange::new(0, end))
}

/// A version of a store that names no era.
fn at(version: u64) -> StoreVersion {
    StoreVersion::new(0, version)
}

fn ids(listing: &EngineListing) -> Vec<&str> {
    listing.records().map(|record| record.id.as_str()).collect()
}

/// A change of one engine must not send the others again: at 3,000 engines, the whole list takes 300 KB for
/// each process and change.
#[test]
fn changes_since_version_of_read() {
    let mut reader = EngineListing::new();
    reader.record_read((0..100).map(|number| engine(number, 10)).collect(), at(5));
    let mut follower = EngineListing::new();
    let whole = reader.changes_since(follower.version());
    assert_eq!((whole.base, whole.changed.len()), (at(0), 100));
    follower.apply(whole).unwrap();
    let mut records: Vec<EngineRecord> = (1..100).map(|number| engine(number, 10)).collect();
    records[3] = engine(4, 20);
    reader.record_read(records, at(9));
    let changes = reader.changes_since(follower.version());
    assert_eq!((changes.changed.len(), changes.removed.len()), (1, 1));
    let applied = follower.apply(changes).unwrap().unwrap();
    assert_eq!(applied.removed, ["e000"]);
    assert_eq!(follower.digest(), reader.digest());
}

/// A read that was overtaken by a newer list of another process must not bring back an engine that left.
#[test]
fn record_read_older_is_ignored() {
    let mut listing = EngineListing::new();
    listing.record_read(vec![engine(1, 10)], at(9));
    assert_eq!(
        listing.record_read(vec![engine(1, 10), engine(2, 10)], at(8)),
        None
    );
    assert_eq!(ids(&listing), ["e001"]);
}

/// Changes that don't fit the held list must lead to a fetch of the whole list, not to a wrong list.
#[test]
fn apply_unfitting_changes_is_refused() {
    let mut listing = EngineListing::new();
    listing.record_read(vec![engine(1, 10)], at(5));
    let later = ListingDelta {
        base: at(7),
        version: at(9),
        ..ListingDelta::default()
    };
    assert_eq!(listing.apply(later), Err(DeltaMismatch));
    assert_eq!(listing.version(), at(5));
    let other_list = ListingDelta {
        base: at(5),
        version: at(9),
        digest: 77,
        ..ListingDelta::default()
    };
    assert_eq!(listing.apply(other_list), Err(DeltaMismatch));
    assert_eq!(listing.version(), at(0), "the whole list is fetched next");
}

/// Applies what a list returns to the engine table, as a process does.
fn update_table(table: &mut EngineTable, delta: Option<ListingDelta>) {
    if let Some(delta) = delta {
        table.update(&delta, MilliTime::from_millis(1));
    }
}

/// Changes that don't fit are refused, and the whole list follows. The engine table is updated by the changes that
/// the list returns, so a change that the refused delta brought must be among those of the whole list: otherwise
/// an engine that left stays in use.
#[test]
fn whole_list_after_refused_changes_updates_table() {
    let (mut listing, mut table) = (EngineListing::new(), EngineTable::new());
    let listed = vec![engine(1, 10), engine(2, 10)];
    update_table(&mut table, listing.record_read(listed, at(5)));
    let refused = ListingDelta {
        base: at(5),
        version: at(9),
        digest: 77,
        changed: Vec::new(),
        removed: vec!["e002".to_owned()],
    };
    assert_eq!(listing.apply(refused), Err(DeltaMismatch));
    let mut reader = EngineListing::new();
    reader.record_read(vec![engine(1, 10)], at(9));
    let whole = reader.changes_since(listing.version());
    update_table(&mut table, listing.apply(whole).unwrap());
    assert_eq!(ids(&listing), ["e001"]);
    assert!(table.get("e002").is_none());
}

/// A process that lags behind by more removals than are remembered must receive the whole list, not changes
/// that lack some of them.
#[test]
fn changes_since_forgotten_removals_are_whole() {
    let mut reader = EngineListing::new();
    let count = 5_000;
    reader.record_read((0..count).map(|number| engine(number, 10)).collect(), at(5));
    let mut follower = EngineListing::new();
    follower.apply(reader.changes_since(at(0))).unwrap();
    reader.record_read(
        (count - 1_000..count)
            .map(|number| engine(number, 10))
            .collect(),
        at(6),
    );
    reader.record_read(vec![engine(1, 10)], at(7));
    let changes = reader.changes_since(follower.version());
    assert_eq!(changes.base, at(0));
    follower.apply(changes).unwrap();
    assert_eq!(ids(&follower), ["e001"]);
}

/// Processes read the store at random times and exchange changes in random order. All lists of the same
/// version must be the same, and each must be the store's list at that version.
#[test]
fn listings_equal_in_random_schedules() {
    let (mut exchanges, mut mismatches) = (0, 0);
    for seed in 0..SCHEDULE_COUNT {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut stored: Vec<EngineRecord> = (0..8).map(|number| engine(number, 10)).collect();
        let mut version = 1;
        let mut history = vec![Vec::new(), stored.clone()];
        let mut listings = vec![EngineListing::new(); 4];
        let mut tables = vec![EngineTable::new(); 4];
        for _ in 0..60 {
            let process = rng.random_range(0..listings.len());
            let other = rng.random_range(0..listings.len());
            match rng.random_range(0..5) {
                0 => {
                    let number = rng.random_range(0..12);
                    let known = stored
                        .iter()
                        .position(|known| known.id == engine(number, 0).id);
                    match known {
                        Some(index) if rng.random_bool(0.5) => {
                            stored.remove(index);
                        }
                        Some(index) => stored[index] = engine(number, rng.random_range(1..40)),
                        None => stored.push(engine(number, 10)),
                    }
                    version += 1;
                    history.push(stored.clone());
                }
                1 => {
                    let delta = listings[process].record_read(stored.clone(), at(version));
                    update_table(&mut tables[process], delta);
                }
                _ => {
                    exchanges += 1;
                    let delta = listings[other].changes_since(listings[process].version());
                    // A registration that changed and changed back between two reads of the other process
                    // is missing in its changes.
                    let applied = match listings[process].apply(delta) {
                        Ok(applied) => applied,
                        Err(DeltaMismatch) => {
                            mismatches += 1;
                            let whole = listings[other].changes_since(listings[process].version());
                            assert_eq!(whole.base, at(0));
                            listings[process].apply(whole).unwrap()
                        }
                    };
                    update_table(&mut tables[process], applied);
                }
            }
        }
        for (listing, table) in listings.iter().zip(&tables) {
            let mut expected = history[listing.version().version() as usize].clone();
            expected.sort_by(|left, right| left.id.cmp(&right.id));
            let held: Vec<EngineRecord> = listing.records().cloned().collect();
            assert_eq!(held, expected, "seed {seed}, version {}", listing.version());
            let entries = table.entries().iter();
            let used: Vec<EngineRecord> = entries.map(|entry| entry.record.clone()).collect();
            assert_eq!(used, expected, "table of seed {seed}");
        }
    }
    // One exchange in a hundred may transfer a whole list again.
    let is_rare = mismatches * 100 <= exchanges;
    assert!(is_rare, "{mismatches} of {exchanges} exchanges don't fit");
}

fn status(age_ms: u64) -> ListingStatus {
    ListingStatus {
        age_ms,
        ..ListingStatus::default()
    }
}

/// While confirmations arrive, nobody but the store reader calls the store: with 300 processes, its calls
/// and bytes would otherwise grow with them.
#[test]
fn plan_reads_by_reader_only() {
    let plan = ListingPlan::new(1_000);
    let reader = ListingStatus {
        is_reader: true,
        ..status(1_000)
    };
    assert_eq!(plan.next_step(&reader), ListingStep::ReadStore);
    // A confirmation is at most an interval and 400 ms old.
    assert!(matches!(
        plan.next_step(&status(1_400)),
        ListingStep::Wait(_)
    ));
}

/// A call to the store that gets no answer takes 1.2 s, too long to wait for it before another process is
/// asked.
#[test]
fn plan_prefers_fresher_process() {
    let plan = ListingPlan::new(1_000);
    let fresher = ListingStatus {
        peer_age_ms: Some(300),
        ..status(1_700)
    };
    assert_eq!(plan.next_step(&fresher), ListingStep::FetchPeer);
    let as_old = ListingStatus {
        peer_age_ms: Some(1_600),
        ..status(1_700)
    };
    assert_eq!(plan.next_step(&as_old), ListingStep::ReadStore);
    // The reader asks the others as well when its own reads fail.
    let failing_reader = ListingStatus {
        is_reader: true,
        store_pause_ms: 400,
        ..fresher
    };
    assert_eq!(plan.next_step(&failing_reader), ListingStep::FetchPeer);
}

/// When the reader is lost, all processes of a zone find their lists too old at the same time. The first of
/// them must read the store at once and the others must leave it the time.
#[test]
fn plan_reads_by_rank() {
    let plan = ListingPlan::new(1_000);
    let ranked = |rank| ListingStatus {
        rank,
        ..status(1_650)
    };
    assert_eq!(plan.next_step(&ranked(0)), ListingStep::ReadStore);
    assert_eq!(plan.next_step(&ranked(3)), ListingStep::Wait(75));
    assert_eq!(plan.next_step(&ranked(90)), ListingStep::Wait(200));
}

/// A change that was reported is fetched at once, whatever the age of the held list.
#[test]
fn plan_fetches_superseded() {
    let superseded = ListingStatus {
        is_superseded: true,
        ..status(10)
    };
    let step = ListingPlan::new(1_000).next_step(&superseded);
    assert_eq!(step, ListingStep::FetchPeer);
}
