//! Guards against refused callers that all return at once, or later than they may.

use dandelionroad_core::relay::ReturnSchedule;
use dandelionroad_core::time::MilliTime;

const NOW: MilliTime = MilliTime::from_millis(10_000);

/// A time left with which callers comply with any return time.
const LONG_MS: u64 = 60_000;

/// Guards against a return before the loads of other processes are known.
#[test]
fn book_room_at_once() {
    let mut schedule = ReturnSchedule::default();
    assert_eq!(schedule.book(0, NOW, 50, LONG_MS, NOW), 100);
}

/// Guards against return times with which callers do not comply: beyond a third of the time left, or beyond 6 s.
#[test]
fn book_maximum() {
    let far = NOW.plus(1_000_000);
    let book = |left_ms| ReturnSchedule::default().book(0, far, 50, left_ms, NOW);
    assert_eq!(book(3_000), 1_000);
    assert_eq!(book(LONG_MS), 6_000);
    assert_eq!(book(0), 100);
}

/// Guards against one caller whose long wait delays those after it without end.
#[test]
fn book_many_at_maximum() {
    let mut schedule = ReturnSchedule::default();
    let times = (0..1_000).map(|_| schedule.book(0, NOW, 400, LONG_MS, NOW));
    assert_eq!(times.max(), Some(6_000));
    // What was booked is over by then.
    let later = NOW.plus(10_000);
    assert_eq!(schedule.book(0, later, 400, LONG_MS, later), 100);
}

/// Guards against urgent callers that queue behind less urgent ones, and against the reverse.
#[test]
fn book_rank_between() {
    let mut schedule = ReturnSchedule::default();
    let room_at = NOW.plus(300);
    let mut book = |rank| schedule.book(rank, room_at, 100, LONG_MS, NOW);
    assert_eq!(book(0), 300);
    assert_eq!((book(2), book(2)), (400, 500));
    assert_eq!(book(1), 400, "a rank that is new comes after rank 0 only");
    assert_eq!(book(0), 400);
    assert_eq!(book(2), 600);
}
