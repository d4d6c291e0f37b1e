use crate::time::MilliTime;

/// When the store did not answer the calls of a process.
///
/// A process that lets another one read the store calls it seldom, so what its last call met says nothing later on.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::StoreContact;
/// use dandelionroad_core::time::MilliTime;
///
/// let time = MilliTime::from_millis;
/// let mut contact = StoreContact::new();
/// contact.record_failure(time(1_200));
/// contact.record_failure(time(900));
/// assert_eq!(contact.failed_start(), Some(time(1_200)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// The start of the newest failed read.
    failed_start: Option<MilliTime>,
}

impl StoreContact {
    /// Creates the state of a process that has not called the store.
    pub fn new() -> StoreContact {
        StoreContact::default()
    }

    /// Records that a read that started at `start` got no answer with rows.
    pub fn record_failure(&mut self, start: MilliTime) {
        self.failed_start = self.failed_start.max(Some(start));
    }

    /// Returns the start of the newest failed read, if any.
    pub fn failed_start(&self) -> Option<MilliTime> {
        self.failed_start
    }
}
