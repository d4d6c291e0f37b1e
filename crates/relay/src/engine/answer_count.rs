use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The number of responses that have arrived on a connection.
///
/// The HTTP library requires extensions of a connection to be shareable between threads.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerCount {
    count: Arc<AtomicU64>,
}

impl AnswerCount {
    /// Counts a response; returns whether it is the first one.
    pub(super) fn record_answer(&self) -> bool {
        self.count.fetch_add(1, Ordering::Relaxed) == 0
    }
}
