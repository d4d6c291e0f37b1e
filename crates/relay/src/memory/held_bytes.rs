use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dandelionroad_core::relay::ByteSource;

use super::ByteBudget;
use super::HolderSignal;

/// A buffer's share of the [`ByteBudget`], released when the guard is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: ByteBudget,
    number: u64,
    pub(super) signal: Arc<HolderSignal>,
}

/// Bytes together with their guard.
struct GuardedBytes {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for GuardedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    pub(super) fn new(budget: ByteBudget, number: u64, signal: Arc<HolderSignal>) -> HeldBytes {
        HeldBytes {
            budget,
            number,
            signal,
        }
    }

    /// Sets the size of the buffer, in bytes; returns false if the holder has been ended, whose buffer is to be
    /// dropped.
    #[must_use]
    pub fn resize(&self, bytes: usize) -> bool {
        self.budget.resize(self.number, bytes)
    }

    /// Charges the buffer to another source.
    pub fn reassign(&self, source: ByteSource) {
        self.budget.reassign(self.number, source);
    }

    /// Returns whether the holder has been ended.
    pub fn is_ended(&self) -> bool {
        self.signal.is_ended()
    }

    /// Polls whether the holder has been ended; otherwise the task is woken once it is.
    ///
    /// Only the task that polled last is woken.
    pub fn poll_ended(&self, context: &mut Context<'_>) -> Poll<()> {
        self.signal.poll_ended(context)
    }

    /// Returns bytes that stay charged until their last clone is dropped, and are not ended before; `None` if the holder
    /// has been ended, or if there is no room for further bytes that may not be ended.
    pub fn into_bytes(self, bytes: Bytes) -> Option<Bytes> {
        let is_protected = self.budget.protect(self.number);
        is_protected.then(|| Bytes::from_owner(GuardedBytes { bytes, _held: self }))
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.close(self.number);
    }
}
