use crate::time::MilliTime;

/// What a process knows of the store since the list of engines that it holds was last confirmed to be the newest.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ListingGap;
/// use dandelionroad_core::time::MilliTime;
///
/// let time = MilliTime::from_millis;
/// let gap = ListingGap { confirmed: Some(time(7_000)), failed: Some(time(8_000)) };
/// assert!(gap.has_failure());
/// // Another process has read the list since the call failed.
/// let gap = ListingGap { confirmed: Some(time(8_500)), ..gap };
/// assert!(!gap.has_failure());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListingGap {
    /// The time at which the held list was last confirmed to be the newest, by any process; `None` for the first list.
    pub confirmed: Option<MilliTime>,
    /// The start of the newest read of this process that the store did not answer, if any.
    pub failed: Option<MilliTime>,
}

impl ListingGap {
    /// Returns whether a read has failed since the list was confirmed, so that the store may have been away.
    ///
    /// One that failed earlier tells nothing: the store has answered another process since.
    pub fn has_failure(&self) -> bool {
        self.failed
            .is_some_and(|failed| self.confirmed.is_none_or(|confirmed| failed > confirmed))
    }
}
