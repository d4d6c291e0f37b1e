//! Guards against a process that reads the store for the others although it doesn't reach it, and against one that is
//! passed over because a call failed long before.

use dandelionroad_core::relay::StoreContact;
use dandelionroad_core::time::MilliTime;

fn at(millis: u64) -> MilliTime {
    MilliTime::from_millis(millis)
}

/// Returns the contact of a process that the store answered at 60 s.
fn answered() -> StoreContact {
    let mut contact = StoreContact::new();
    contact.record_answer(at(60_000));
    contact
}

/// A process that has not called the store, or not lately, knows nothing of it.
#[test]
fn is_reached_without_recent_answer() {
    assert!(!StoreContact::new().is_reached(at(60_000)));
    assert!(answered().is_reached(at(63_999)));
    assert!(!answered().is_reached(at(64_000)));
}

/// The store reader must leave its role with the first read that fails.
#[test]
fn is_reached_after_failed_read() {
    let mut contact = answered();
    contact.record_failure(at(60_100), at(61_300));
    assert!(!contact.is_reached(at(61_300)));
    contact.record_answer(at(61_600));
    assert!(contact.is_reached(at(61_600)));
}

/// A read failed in an outage, and the process has relied on the store reader since. Its other calls are answered, so it
/// can read the store for the others when that one is lost.
#[test]
fn is_reached_after_old_failure() {
    let mut contact = StoreContact::new();
    contact.record_failure(at(5_000), at(6_200));
    contact.record_answer(at(60_000));
    assert!(contact.is_reached(at(60_100)));
}

/// A process of an older version that can't decode a new configuration must leave it to another one, for as long as it
/// fails to.
#[test]
fn is_reached_with_unreadable_configuration() {
    let mut contact = answered();
    contact.record_unreadable(at(60_100));
    contact.record_answer(at(62_000));
    assert!(!contact.is_reached(at(62_100)));
    contact.record_answer(at(64_000));
    assert!(contact.is_reached(at(64_100)));
}

/// A failed call that ends late is older than one that started after it.
#[test]
fn failed_start_is_newest() {
    let mut contact = answered();
    contact.record_failure(at(61_000), at(61_050));
    contact.record_failure(at(60_100), at(61_300));
    assert_eq!(contact.failed_start(at(61_300)), Some(at(61_000)));
}

/// A read that hangs fails with its time-out only, after the store was back for others.
#[test]
fn failed_start_of_overdue_read() {
    let mut contact = answered();
    contact.begin_read(at(61_000), at(61_300));
    contact.begin_read(at(61_200), at(62_100));
    assert_eq!(contact.failed_start(at(61_299)), None);
    assert_eq!(contact.failed_start(at(61_300)), Some(at(61_000)));
    assert_eq!(contact.failed_start(at(62_100)), Some(at(61_200)));
    contact.end_read(at(61_200), at(62_100));
    contact.end_read(at(61_000), at(61_300));
    assert_eq!(contact.failed_start(at(62_100)), None);
}

/// A long poll and a read start in the same millisecond. The end of the read must not leave its earlier time to the poll.
#[test]
fn failed_start_of_equal_starts() {
    let mut contact = answered();
    contact.begin_read(at(61_000), at(62_100));
    contact.begin_read(at(61_000), at(61_300));
    contact.end_read(at(61_000), at(61_300));
    assert_eq!(contact.failed_start(at(62_099)), None);
    assert_eq!(contact.failed_start(at(62_100)), Some(at(61_000)));
}
