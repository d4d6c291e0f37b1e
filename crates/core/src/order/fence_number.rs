use serde::Deserialize;
use serde::Serialize;

use crate::time::MilliTime;

/// A fencing number: each start of the process beside an engine takes a higher one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FenceNumber(u64);

impl FenceNumber {
    /// Returns the number that follows the one stored in the row `fence/<endpoint>`.
    ///
    /// The number is at least the wall-clock time in milliseconds. A process that starts while the
    /// table service is down can therefore use the time alone and still exceeds the numbers of
    /// earlier starts, as long as the clock was not set back.
    pub fn next(stored: Option<FenceNumber>, now: MilliTime) -> FenceNumber {
        let follower = stored.map_or(0, |number| number.0.saturating_add(1));
        FenceNumber(follower.max(now.as_millis()))
    }

    /// Returns the number as it is sent to the engine.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}
