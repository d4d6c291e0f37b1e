use crate::time::MilliTime;

use super::EngineCrash;
use super::RunPhase;

/// A known crash and the time at which its request was last seen.
#[derive(Clone, Debug)]
pub(super) struct KnownCrash {
    pub(super) crash: EngineCrash,
    /// The phase of the run on the engine; the earlier one if there were several.
    pub(super) phase: RunPhase,
    /// The last time at which a process saw the request, as far as this process knows.
    pub(super) seen_at: MilliTime,
    /// The last time at which this process saw the request or learned of a crash of it.
    pub(super) announced_from: MilliTime,
    /// The time at which this process learned of the crash.
    pub(super) recorded_at: MilliTime,
    /// How often it was sent to the other processes.
    pub(super) sends: u32,
}
