use serde::Deserialize;
use serde::Serialize;

/// A point in time in milliseconds.
///
/// The caller chooses the origin: a daemon uses a monotonic clock, a test starts at zero. Values
/// with different origins must not be mixed.
///
/// # Example
///
/// ```
/// use dandelionroad_core::time::MilliTime;
///
/// let time = MilliTime::from_millis(40);
/// assert_eq!(time.plus(2).as_millis(), 42);
/// // Differences saturate at zero instead of wrapping.
/// assert_eq!(time.since(MilliTime::from_millis(50)), 0);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MilliTime(u64);

impl MilliTime {
    /// The latest representable time, used for "no deadline".
    pub const MAX: MilliTime = MilliTime(u64::MAX);

    /// Creates a time from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> MilliTime {
        MilliTime(millis)
    }

    /// Returns the milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `millis` milliseconds later, saturating at [`MilliTime::MAX`].
    pub const fn plus(self, millis: u64) -> MilliTime {
        MilliTime(self.0.saturating_add(millis))
    }

    /// Returns the deadline of what begins at this reading and may take `timeout_ms` milliseconds, for a clock that
    /// truncates to whole milliseconds.
    ///
    /// It is a millisecond later than [`MilliTime::plus`] says: the reading may be almost a millisecond older than
    /// the beginning, and a time-out that starts from a later reading would end early by as much.
    pub const fn deadline(self, timeout_ms: u64) -> MilliTime {
        self.plus(timeout_ms).plus(1)
    }

    /// Returns the milliseconds from `earlier` to this time, or zero if `earlier` is later.
    pub const fn since(self, earlier: MilliTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
