//! Guards against time-outs that end before their time because the clock truncates to whole milliseconds.

use dandelionroad_core::time::MilliTime;

/// The length of the time-out, in milliseconds.
const TIMEOUT_MS: u64 = 20;

/// Returns what a clock that truncates to milliseconds shows at a time in microseconds.
fn read_clock(micros: u64) -> MilliTime {
    MilliTime::from_millis(micros / 1_000)
}

/// What remains until a deadline is measured from a later reading, and counted from the exact time of this reading.
#[test]
fn deadline_is_not_early() {
    for start in 0..2_000 {
        let deadline = read_clock(start).deadline(TIMEOUT_MS);
        for later in start..start + 2_000 {
            let left_ms = deadline.since(read_clock(later));
            let end = later + left_ms * 1_000;
            let exact_end = start + TIMEOUT_MS * 1_000;
            assert!(end >= exact_end, "from {start}, measured at {later}: {end}");
            assert!(
                end <= exact_end + 2_000,
                "from {start}, measured at {later}: {end}"
            );
        }
    }
}
