use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::OwnedSemaphorePermit;

/// The right of a request to run; given back when dropped.
pub(super) struct StreamPermit {
    _permit: OwnedSemaphorePermit,
    units: u64,
    running_units: Arc<AtomicU64>,
}

impl StreamPermit {
    /// Adds the work of an admitted request to the running work.
    pub(super) fn new(
        permit: OwnedSemaphorePermit,
        units: u64,
        running_units: Arc<AtomicU64>,
    ) -> StreamPermit {
        running_units.fetch_add(units, Ordering::Relaxed);
        StreamPermit {
            _permit: permit,
            units,
            running_units,
        }
    }
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.running_units.fetch_sub(self.units, Ordering::Relaxed);
    }
}
