use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The time between two looks at the count, in milliseconds.
const LOOK_MS: u64 = 1_000;

/// The log lines that were left out because the reader of the output was too slow.
///
/// One count for the process, like the logger itself.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Counts a log line that was left out.
pub(super) fn count_dropped() {
    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
}

/// Returns the log lines that were left out since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Says in the log how many lines were left out, whenever there were some.
pub async fn report_dropped_lines() {
    let mut reported = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let dropped = dropped_lines();
        if dropped > reported {
            // May be left out as well; the next one that is written has the whole count.
            spdlog::warn!("log: lines left out", kv: { lines = dropped - reported, total = dropped });
            reported = dropped;
        }
    }
}
