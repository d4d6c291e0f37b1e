use dandelionroad_core::time::MilliTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A steady clock that counts the time in which the host is suspended.
///
/// Ages of keys and leases are measured with it: they pass also while the process stands still.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the host's start.
    pub fn now(self) -> MilliTime {
        let time = clock_gettime(ClockId::Boottime);
        let millis = time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000;
        MilliTime::from_millis(millis)
    }
}
