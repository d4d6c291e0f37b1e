use serde::Deserialize;
use serde::Serialize;

use crate::time::MilliTime;

/// A fencing token: each start of the process beside an engine uses a higher number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FenceNumber(u64);

impl FenceNumber {
    /// Returns the number that follows the one stored in the row `fence/<endpoint>`.
    ///
    /// The number is at least the wall-clock time in milliseconds. A process that starts while the
    /// table service is down can therefore use the time alone and still exceeds the numbers of
    /// earlier starts, unless the clock was set back.
    pub fn next(stored: Option<FenceNumber>, now: MilliTime) -> FenceNumber {
        let successor = stored.map_or(0, |number| number.0.saturating_add(1));
        FenceNumber(successor.max(now.as_millis()))
    }

    /// Returns the number as it is sent to the engine.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}
