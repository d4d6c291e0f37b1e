use dandelionroad_core::time::MilliTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A monotonic clock that includes the time during which the host is suspended.
///
/// The ages of keys and leases are measured with it, so that they also expire during suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the host booted.
    pub fn now(self) -> MilliTime {
        let time = clock_gettime(ClockId::Boottime);
        let millis = time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000;
        MilliTime::from_millis(millis)
    }
}
