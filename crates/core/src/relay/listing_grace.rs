use crate::time::MilliTime;

/// The age of the held list from which on the first one after an outage counts as incomplete, in
/// milliseconds.
///
/// Entries lapse after three missed heartbeats; shorter outages lose none. A process that the store turned
/// away, but that another one told of the list meanwhile, has missed nothing.
const OUTAGE_MS: u64 = 1_500;

/// How long an entry that is missing after an outage of the store is still believed, in
/// milliseconds.
///
/// Entries lapse while the store is away; live engines are listed again within two seconds.
const RELIST_MS: u64 = 2_000;

/// How long before the end of that time a list may have been confirmed that counts as complete, in
/// milliseconds.
///
/// Confirmations come each 300 ms; without slack, an engine that left is kept for one more.
const CONFIRM_SLACK_MS: u64 = 500;

/// The time after an outage of the store in which lists may lack engines that live.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListingGrace {
    until: MilliTime,
}

impl ListingGrace {
    /// Takes the end of an outage; the held list was known to be the newest `held_ms` ago.
    pub(super) fn end_outage(&mut self, held_ms: u64, now: MilliTime) {
        if held_ms > OUTAGE_MS {
            self.until = now.plus(RELIST_MS);
        }
    }

    /// Returns whether an engine that a list lacks may live.
    pub(super) fn is_open(&self, now: MilliTime) -> bool {
        now < self.until
    }

    /// Returns whether the list that was last known to be the newest at `confirmed` is complete.
    ///
    /// The store may be away again before engines could be listed anew.
    pub(super) fn is_closed(&self, confirmed: MilliTime, now: MilliTime) -> bool {
        !self.is_open(now) && confirmed.plus(CONFIRM_SLACK_MS) >= self.until
    }
}
