//! Guards against engines that are used long after they left, as a call to the store failed once, and against live
//! engines that are dropped because their registrations lapsed in an outage of the store.

mod chain_support;

use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::ListingDelta;
use dandelionroad_core::relay::ListingPlan;
use dandelionroad_core::relay::ListingStatus;
use dandelionroad_core::relay::ListingStep;
use dandelionroad_core::relay::PeerListing;
use dandelionroad_core::relay::StoreGap;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;

use crate::chain_support::record;
use crate::chain_support::table;

/// The time at which the list was last known to be whole in these tests, in milliseconds.
const WHOLE_MS: u64 = 60_000;

fn at(millis: u64) -> MilliTime {
    MilliTime::from_millis(millis)
}

/// Returns a table with an engine, the list of which was whole at [`WHOLE_MS`].
fn whole_table() -> EngineTable {
    let mut table = table(vec![record(1, "a", "large", LayerRange::new(0, 40))]);
    table.record_read(&StoreGap::default(), at(WHOLE_MS), at(WHOLE_MS));
    assert!(table.is_whole(at(WHOLE_MS)));
    table
}

/// Records what another process says, after reads of this one that did not fail.
fn confirm(table: &mut EngineTable, is_whole: bool, grace_ms: u64, now: u64) {
    let peer = PeerListing {
        confirmed: at(now),
        is_whole,
        grace_ms,
    };
    table.record_peer(&StoreGap::default(), &peer, at(now));
}

fn gap(confirmed: u64, failed: u64) -> StoreGap {
    StoreGap {
        confirmed: Some(at(confirmed)),
        failed: Some(at(failed)),
    }
}

/// Records a read that ended at once.
fn read(table: &mut EngineTable, now: u64, gap: StoreGap) {
    table.record_read(&gap, at(now), at(now));
}

/// Applies a list without the engine; returns whether it is still used.
fn keeps_missing(table: &mut EngineTable, now: u64) -> bool {
    let delta = ListingDelta {
        removed: vec!["e001".to_owned()],
        ..ListingDelta::default()
    };
    table.update(&delta, at(now));
    table.remove_missing(at(now), at(now));
    table.get("e001").is_some()
}

/// A call failed in an outage long before. The list was confirmed since, so the next own read is no end of an outage
/// (review, case 14).
#[test]
fn record_read_after_old_failure() {
    let mut table = whole_table();
    let failed = WHOLE_MS - 30_000;
    read(&mut table, WHOLE_MS + 2_230, gap(WHOLE_MS, failed));
    assert!(!keeps_missing(&mut table, WHOLE_MS + 2_230));
}

/// Registrations lapse in an outage; engines that are still missing 2 s after it have left.
#[test]
fn record_read_after_outage() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    read(&mut table, back, gap(WHOLE_MS, back - 200));
    assert!(keeps_missing(&mut table, back));
    assert!(keeps_missing(&mut table, back + 1_900));
    table.remove_missing(at(back + 2_000), at(back + 2_000));
    assert!(table.get("e001").is_none());
}

/// No registration can lapse within two seconds, so an engine that is missing after a short outage has left.
#[test]
fn record_read_after_short_outage() {
    let mut table = whole_table();
    let back = WHOLE_MS + 1_900;
    read(&mut table, back, gap(WHOLE_MS, back - 200));
    assert!(!keeps_missing(&mut table, back));
    assert!(!table.is_whole(at(back)), "registrations may lapse shortly");
}

/// Further reads in the grace period don't prolong it.
#[test]
fn record_read_within_grace_period() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    read(&mut table, back, gap(WHOLE_MS, back - 200));
    read(&mut table, back + 1_300, gap(back, back - 200));
    assert_eq!(table.grace_left_ms(at(back + 1_300)), 700);
    assert!(!table.is_whole(at(back + 1_300)));
    read(&mut table, back + 2_000, gap(back + 1_300, back - 200));
    assert!(table.is_whole(at(back + 2_000)));
}

/// The store is away again before all engines have registered. The list was confirmed in between, but has not been
/// whole, so the engines are kept once more.
#[test]
fn record_read_after_second_outage() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    read(&mut table, back, gap(WHOLE_MS, back - 200));
    assert!(keeps_missing(&mut table, back));
    let again = back + 2_100;
    read(&mut table, again, gap(back, again - 200));
    assert!(keeps_missing(&mut table, again + 1_000));
}

/// The store is away once more within the grace period, which only another process meets. The engines that missed their
/// time to register are kept as long as the other process keeps them.
#[test]
fn record_peer_grace_within_grace_period() {
    let mut table = whole_table();
    let mut other = whole_table();
    let back = WHOLE_MS + 8_000;
    for table in [&mut table, &mut other] {
        read(table, back, gap(WHOLE_MS, back - 200));
        assert!(keeps_missing(table, back));
    }
    // The store is away from 1.0 s to 1.9 s, and the other process reads it again after 2.3 s.
    let away = gap(back, back + 1_000);
    let grace_ms = other.own_grace_left_ms(&away, at(back + 1_400));
    table.record_peer_grace(grace_ms, at(back + 1_400));
    assert!(keeps_missing(&mut table, back + 2_000));
    read(&mut other, back + 2_300, away);
    let grace_ms = other.own_grace_left_ms(&away, at(back + 2_400));
    table.record_peer_grace(grace_ms, at(back + 2_400));
    assert!(keeps_missing(&mut table, back + 3_800));
}

/// A process that doesn't reach the store reports this all the time. The others must not keep engines that have left
/// without end, and not at all if their lists were whole.
#[test]
fn record_peer_grace_without_end() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    table.record_peer_grace(2_000, at(back - 100));
    assert_eq!(table.grace_left_ms(at(back - 100)), 0);
    read(&mut table, back, gap(WHOLE_MS, back - 200));
    for elapsed in (0..4_000).step_by(100) {
        table.record_peer_grace(2_000, at(back + elapsed));
        assert!(keeps_missing(&mut table, back + elapsed));
    }
    table.record_peer_grace(2_000, at(back + 4_000));
    assert!(!keeps_missing(&mut table, back + 4_000));
}

/// A process that has failed to read the store hands its grace period on with the list. One that knew the list to be
/// whole just before must not take it over: it would use an engine that left for two seconds more.
#[test]
fn record_peer_with_grace_after_whole_list() {
    let mut table = whole_table();
    let now = WHOLE_MS + 1_000;
    confirm(&mut table, false, 1_900, now);
    assert!(!keeps_missing(&mut table, now));
}

/// The store is away once more within the grace period, and another process confirms the list before the read of this one
/// has failed. The engines that missed their time to register are kept.
#[test]
fn record_read_after_outage_within_grace_period() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    read(&mut table, back, gap(WHOLE_MS, back - 200));
    assert!(keeps_missing(&mut table, back));
    let failed = back + 800;
    read(&mut table, back + 1_600, gap(back + 1_400, failed));
    assert_eq!(table.grace_left_ms(at(back + 1_600)), 2_000);
    // The same failure prolongs it once.
    read(&mut table, back + 2_300, gap(back + 2_200, failed));
    assert_eq!(table.grace_left_ms(at(back + 2_300)), 1_300);
    // Once the list has been whole again, an old failure tells nothing.
    read(&mut table, back + 3_600, gap(back + 3_500, failed));
    assert!(table.is_whole(at(back + 3_600)));
    read(&mut table, back + 9_000, gap(back + 8_900, failed));
    assert_eq!(table.grace_left_ms(at(back + 9_000)), 0);
}

/// A process takes a grace period over and has itself seen no failure since its list was whole. A failure of long before
/// must not prolong it.
#[test]
fn record_peer_with_grace_after_old_failure() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    for (now, grace_ms) in [(back, 900), (back + 300, 600)] {
        let peer = PeerListing {
            confirmed: at(now),
            is_whole: false,
            grace_ms,
        };
        table.record_peer(&gap(now - 300, WHOLE_MS - 30_000), &peer, at(now));
    }
    assert_eq!(table.grace_left_ms(at(back + 300)), 600);
}

/// A process that has missed the outage's length takes the grace period over, also if its own list was confirmed
/// meanwhile by one that is in its grace period.
#[test]
fn record_peer_with_grace_after_outage() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    confirm(&mut table, false, 1_900, back);
    confirm(&mut table, false, 1_400, back + 500);
    assert!(!table.is_whole(at(back + 500)));
    assert!(keeps_missing(&mut table, back + 1_800));
    table.remove_missing(at(back + 1_900), at(back + 1_900));
    assert!(table.get("e001").is_none());
}

/// A figure of another process must not keep engines for longer than a grace period lasts.
#[test]
fn record_peer_with_long_grace() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    confirm(&mut table, false, u64::MAX, back);
    assert_eq!(table.grace_left_ms(at(back)), 2_000);
}

/// A process that has started after the outage knows nothing of it and confirms its list as whole. This must not end
/// the grace period of the others.
#[test]
fn record_peer_whole_within_grace_period() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    read(&mut table, back, gap(WHOLE_MS, back - 200));
    confirm(&mut table, true, 0, back + 300);
    assert!(keeps_missing(&mut table, back + 400));
}

/// A process that has started after the outage confirms the list as whole, and this one has seen the outage by calls
/// that failed.
#[test]
fn record_peer_whole_after_own_outage() {
    let mut table = whole_table();
    let back = WHOLE_MS + 8_000;
    let peer = PeerListing {
        confirmed: at(back),
        is_whole: true,
        grace_ms: 0,
    };
    table.record_peer(&gap(WHOLE_MS, back - 200), &peer, at(back));
    assert!(keeps_missing(&mut table, back));
}

/// The time from which an engine that left in calm times must get no requests, counted through: the list is confirmed,
/// the reader is lost right after, and this process reads the store once its list is due. Its calls failed long before.
/// The sum must stay below the bound for each bound of the users' deployments, and for others.
#[test]
fn record_read_within_any_drain_bound() {
    for drain_ms in (1_000..=20_000).step_by(250) {
        let plan = ListingPlan::new(drain_ms / 3);
        for rank in [0, 3, 20] {
            let mut table = whole_table();
            let due_ms = (0..).step_by(25).find(|age_ms| {
                let status = ListingStatus {
                    age_ms: *age_ms,
                    rank,
                    ..ListingStatus::default()
                };
                plan.next_step(&status) == ListingStep::ReadStore
            });
            let now = WHOLE_MS + due_ms.unwrap();
            read(&mut table, now, gap(WHOLE_MS, WHOLE_MS - 5_000));
            assert!(!keeps_missing(&mut table, now), "{drain_ms}");
            assert!(now < WHOLE_MS + drain_ms, "{drain_ms}");
        }
    }
}
