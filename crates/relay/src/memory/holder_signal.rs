use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures_util::task::AtomicWaker;

use super::BodyPieces;

/// Tells a holder that it has been ended.
#[derive(Debug, Default)]
pub(super) struct HolderSignal {
    is_ended: AtomicBool,
    /// The task that reads the buffer.
    waker: AtomicWaker,
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
        self.waker.wake();
    }

    /// Returns whether the holder has been ended.
    pub(super) fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
    }

    /// Polls whether the holder has been ended; otherwise the task is woken once it is.
    pub(super) fn poll_ended(&self, context: &mut Context<'_>) -> Poll<()> {
        self.waker.register(context.waker());
        match self.is_ended() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }
}
