use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

use super::BodyPieces;

/// Tells a holder that it has been ended.
#[derive(Debug, Default)]
pub(super) struct HolderSignal {
    is_ended: AtomicBool,
    notify: Notify,
    /// A body that is dropped when the holder is ended, also if its task doesn't run.
    pub(super) data: Mutex<BodyPieces>,
}

impl HolderSignal {
    /// Drops the data and wakes the holder.
    pub(super) fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
        let mut data = self
            .data
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        *data = BodyPieces::default();
        self.notify.notify_one();
    }

    /// Returns whether the holder has been ended.
    pub(super) fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
    }

    /// Waits until the holder is ended.
    pub(super) async fn ended(&self) {
        while !self.is_ended() {
            self.notify.notified().await;
        }
    }
}
