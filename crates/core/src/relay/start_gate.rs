use crate::time::MilliTime;

use super::StoreVersion;

/// The time for which a started process waits for a confirmation of another process, in milliseconds.
///
/// The store reader hears of a process within 100 ms and sends confirmations each 300 ms.
const CONFIRM_WAIT_MS: u64 = 1_000;

/// The condition on which a process that has started in a named era of the store may take callers.
///
/// The store may have come back from a copy right before the start, and may hold an older configuration than the other
/// processes. A started process therefore waits until it holds the newest version that they confirm, or until none has
/// answered for a while and rows may no longer be missing. It doesn't wait if a read has shown that its configuration is the
/// newest.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::StartGate;
/// use dandelionroad_core::relay::StoreVersion;
/// use dandelionroad_core::time::MilliTime;
///
/// let time = MilliTime::from_millis;
/// let mut gate = StartGate::new();
/// gate.begin(StoreVersion::new(1, 412), time(0));
/// gate.record_confirmation(8);
/// assert!(!gate.update(Some(7), false, false, time(5_000)), "another process holds a newer one");
/// assert!(gate.update(Some(8), false, false, time(5_100)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StartGate {
    begun_at: Option<MilliTime>,
    /// The newest version of the configuration that another process has confirmed.
    confirmed: Option<u64>,
    is_open: bool,
}

impl StartGate {
    /// Creates the closed gate of a process that has not heard of the store.
    pub fn new() -> StartGate {
        StartGate::default()
    }

    /// Records the first version of the store that the process sees; the gate opens if it names no era.
    pub fn begin(&mut self, version: StoreVersion, now: MilliTime) {
        if self.begun_at.is_none() {
            self.begun_at = Some(now);
            self.is_open = !version.names_era();
        }
    }

    /// Records a version of the configuration that another process has confirmed.
    pub fn record_confirmation(&mut self, version: u64) {
        self.confirmed = self.confirmed.max(Some(version));
    }

    /// Opens the gate if the condition holds with the held version of the configuration; returns whether it is open.
    ///
    /// `is_proven` tells whether a read has shown since the start that the held version is the newest, `is_settling`
    /// whether rows of the store may be missing. The gate stays open.
    pub fn update(
        &mut self,
        held: Option<u64>,
        is_proven: bool,
        is_settling: bool,
        now: MilliTime,
    ) -> bool {
        let Some(begun_at) = self.begun_at else {
            return false;
        };
        self.is_open |= match self.confirmed {
            Some(confirmed) => held.is_some_and(|held| held >= confirmed),
            None => is_proven || !is_settling && now.since(begun_at) >= CONFIRM_WAIT_MS,
        };
        self.is_open
    }

    /// Returns whether the gate is open.
    pub fn is_open(&self) -> bool {
        self.is_open
    }
}
