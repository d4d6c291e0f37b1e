use crate::time::MilliTime;

/// What a process knows of the store since the list of engines or the configuration that it holds was last confirmed to
/// be the newest.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::StoreGap;
/// use dandelionroad_core::time::MilliTime;
///
/// let time = MilliTime::from_millis;
/// let gap = StoreGap { confirmed: Some(time(7_000)), failed: Some(time(8_000)) };
/// assert!(gap.has_failure());
/// // Another process has read the store since the call failed.
/// let gap = StoreGap { confirmed: Some(time(8_500)), ..gap };
/// assert!(!gap.has_failure());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreGap {
    /// The time at which what is held was last confirmed to be the newest, by any process; `None` if nothing is held.
    pub confirmed: Option<MilliTime>,
    /// The start of the newest read of this process that the store did not answer, or not in time, if any.
    pub failed: Option<MilliTime>,
}

impl StoreGap {
    /// Returns whether a read has failed since the confirmation, so that the store may have been away.
    ///
    /// One that failed earlier tells nothing: the store has answered another process since.
    pub fn has_failure(&self) -> bool {
        self.failed
            .is_some_and(|failed| self.confirmed.is_none_or(|confirmed| failed > confirmed))
    }
}
