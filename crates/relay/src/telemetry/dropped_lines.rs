use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The interval at which the count of dropped lines is checked, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// The number of log lines that were dropped because the reader of the output was too slow.
///
/// It is global, as the logger is.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Counts a dropped log line.
pub(super) fn count_dropped() {
    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
}

/// Returns the number of log lines that were dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Logs the number of newly dropped lines at an interval, if there are any.
pub async fn report_dropped_lines() {
    let mut reported = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let dropped = dropped_lines();
        if dropped > reported {
            // This line may be dropped as well; the total of the next one includes it.
            spdlog::warn!("log: lines dropped, the reader of the output is too slow", kv: {
                lines = dropped - reported,
                total = dropped,
            });
            reported = dropped;
        }
    }
}
