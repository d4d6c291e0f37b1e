use dandelionroad_core::time::MilliTime;

/// One millisecond in microseconds, the unit of the simulation.
pub(super) const MILLI_US: u64 = 1_000;

/// One second in microseconds.
pub(super) const SECOND_US: u64 = 1_000_000;

/// Converts a simulated time in microseconds to the time type of the core, in whole milliseconds.
pub(super) fn milli_time(time_us: u64) -> MilliTime {
    MilliTime::from_millis(time_us / MILLI_US)
}
