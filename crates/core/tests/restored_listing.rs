//! Guards against a list of engines that is wrong after the store has come back from an older copy: newer lists that
//! are dropped, engines that left and are used again, and live engines that are lost.

mod chain_support;

use dandelionroad_core::relay::EngineListing;
use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;

use crate::chain_support::record;

/// A process that reads the list itself.
#[derive(Default)]
struct ReadingProcess {
    listing: EngineListing,
    table: EngineTable,
}

impl ReadingProcess {
    fn read(&mut self, records: &[EngineRecord], version: (u64, u64), now: u64) {
        let version = StoreVersion::new(version.0, version.1);
        if let Some(delta) = self.listing.record_read(records.to_vec(), version) {
            self.table.update(&delta, MilliTime::from_millis(now));
        }
    }

    fn usable(&self, now: u64) -> Vec<&str> {
        let now = MilliTime::from_millis(now);
        let usable = self.table.entries().iter();
        let usable = usable.filter(|entry| entry.is_usable(now));
        usable.map(|entry| entry.record.id.as_str()).collect()
    }
}

fn engine(number: u16) -> EngineRecord {
    EngineRecord {
        started_ms: 1_000,
        ..record(number, "a", "small", LayerRange::new(0, 10))
    }
}

fn draining(number: u16) -> EngineRecord {
    EngineRecord {
        is_draining: true,
        ..engine(number)
    }
}

/// A list of a new era was dropped as long as its version was lower, and an answer of an earlier era that arrives late
/// must not replace it.
#[test]
fn record_read_orders_by_era() {
    let mut process = ReadingProcess::default();
    process.read(&[engine(1), engine(2)], (0, 90), 0);
    process.read(&[draining(1), engine(2)], (1, 40), 100);
    assert_eq!(process.usable(200), ["e002"]);
    process.read(&[engine(1), engine(2), engine(3)], (0, 95), 300);
    assert_eq!(process.usable(400), ["e002"]);
}

/// A copy from before an engine began to leave, or was removed, must not bring it back into use.
#[test]
fn ended_incarnation_in_copy_stays_unused() {
    let mut process = ReadingProcess::default();
    process.read(&[engine(1), engine(2), engine(3)], (1, 80), 0);
    process.read(&[draining(1), engine(3)], (1, 90), 1_000);
    process.table.begin_era(MilliTime::from_millis(2_000));
    process.read(&[engine(1), engine(2), engine(3)], (2, 80), 2_000);
    assert_eq!(process.usable(2_500), ["e003"]);
    // A new incarnation is used at once.
    let restarted = EngineRecord {
        started_ms: 5_000,
        ..engine(1)
    };
    process.read(&[restarted, engine(2), engine(3)], (2, 85), 3_000);
    assert_eq!(process.usable(3_100), ["e001", "e003"]);
    // An engine that was only silent is still listed once the rows of ended ones have lapsed.
    let release = |process: &mut ReadingProcess, now| {
        let (version, now) = (process.listing.version(), MilliTime::from_millis(now));
        let delta = process.table.release_held_back(version, now);
        delta.map(|delta| process.table.update(&delta, now))
    };
    assert!(release(&mut process, 6_900).is_none());
    assert!(release(&mut process, 7_000).is_some());
    assert_eq!(process.usable(7_000), ["e001", "e002", "e003"]);
}

/// The copy lacks engines that started after it; they register again within two seconds. An engine that the list of
/// the new era had and then lacks has left.
#[test]
fn engines_missing_in_copy_are_kept_for_a_while() {
    let mut process = ReadingProcess::default();
    process.read(&[engine(1), engine(2), engine(3)], (1, 90), 0);
    process.table.begin_era(MilliTime::from_millis(1_000));
    process.read(&[engine(1), engine(2)], (2, 40), 1_000);
    assert_eq!(process.usable(1_100), ["e001", "e002", "e003"]);
    process.read(&[engine(1)], (2, 45), 1_500);
    assert_eq!(process.usable(1_600), ["e001", "e003"]);
    let confirmed = MilliTime::from_millis(2_900);
    process
        .table
        .remove_missing(confirmed, MilliTime::from_millis(2_999));
    assert_eq!(process.usable(2_999), ["e001", "e003"]);
    process
        .table
        .remove_missing(confirmed, MilliTime::from_millis(3_000));
    assert_eq!(process.usable(3_000), ["e001"]);
}

/// Without an era, the list decides as before: an engine that no longer says that it leaves is used.
#[test]
fn listed_state_counts_without_era() {
    let mut process = ReadingProcess::default();
    process.read(&[draining(1), engine(2)], (0, 80), 0);
    process.read(&[engine(1)], (0, 81), 1_000);
    process.read(&[engine(1), engine(2)], (0, 82), 2_000);
    assert_eq!(process.usable(2_100), ["e001", "e002"]);
}
