//! Guards against processes that take callers before they know the newest configuration, and against those that wait although
//! they know it.

use dandelionroad_core::relay::ConfigSource;
use dandelionroad_core::relay::EraClock;
use dandelionroad_core::relay::StartGate;
use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::time::MilliTime;

const START: MilliTime = MilliTime::from_millis(100_000);

/// The read of a process that starts in an era must not prove its configuration until the era has settled.
#[test]
fn renews_first_era_after_settling() {
    let version = StoreVersion::new(3, 40);
    let source = ConfigSource::new(version, Some(7));
    let mut clock = EraClock::new();
    assert!(!clock.observe(version, START));
    assert!(!source.renews(Some(7), START, &clock));
    assert!(!source.renews(Some(7), START.plus(2_400), &clock));
    assert!(source.renews(Some(7), START.plus(2_500), &clock));
    // The note of an earlier era, in the copy, proves nothing.
    clock.settle(2);
    assert!(!source.renews(Some(7), START, &clock));
    clock.settle(3);
    assert!(source.renews(Some(7), START, &clock));
    // The next return is a new one.
    assert!(clock.observe(StoreVersion::new(4, 30), START.plus(9_000)));
    let read = ConfigSource::new(StoreVersion::new(4, 30), Some(7));
    assert!(!read.renews(Some(7), START.plus(9_100), &clock));
    assert!(read.renews(Some(7), START.plus(11_000), &clock));
}

/// A store that names no era never comes back from a copy, so a start waits for nothing.
#[test]
fn observe_unnamed_era_settles_nothing() {
    let version = StoreVersion::new(0, 40);
    let mut clock = EraClock::new();
    clock.observe(version, START);
    assert!(!clock.is_settling(START));
    assert!(ConfigSource::new(version, Some(7)).renews(Some(7), START, &clock));
    let mut gate = StartGate::new();
    gate.begin(version, START);
    assert!(gate.is_open());
}

/// Each of the three ways in which the gate opens, and what keeps it closed.
#[test]
fn update_opens_on_knowledge() {
    let gate = || {
        let mut gate = StartGate::new();
        gate.begin(StoreVersion::new(1, 40), START);
        gate
    };
    let late = START.plus(5_000);
    // Alone: after a second, unless rows may be missing.
    assert!(!gate().update(Some(7), false, false, START.plus(999)));
    assert!(gate().update(Some(7), false, false, START.plus(1_000)));
    assert!(!gate().update(Some(7), false, true, late));
    // Proven by a read.
    assert!(gate().update(Some(7), true, false, START));
    // Another process knows a newer one, which a read of the copy doesn't refute.
    let mut behind = gate();
    behind.record_confirmation(8);
    assert!(!behind.update(Some(7), true, false, late));
    assert!(behind.update(Some(8), false, true, late));
}
