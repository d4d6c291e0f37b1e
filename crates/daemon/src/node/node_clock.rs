use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelionroad_core::time::MilliTime;

/// A monotonic clock that counts milliseconds since the Unix epoch.
///
/// The wall clock is read once, at the start; later adjustments of the wall clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Instant,
    epoch_ms: u64,
}

impl NodeClock {
    /// Starts the clock at the current wall-clock time.
    pub fn start() -> NodeClock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        NodeClock {
            start: Instant::now(),
            epoch_ms: since_epoch.as_millis() as u64,
        }
    }

    /// Returns the current time, which never goes back.
    pub fn now(&self) -> MilliTime {
        MilliTime::from_millis(self.epoch_ms + self.start.elapsed().as_millis() as u64)
    }
}
