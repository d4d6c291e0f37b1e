use tokio::sync::watch;

use super::RunningRequest;

/// Counts the requests in progress at a process, so that a shutdown can wait for the last one.
#[derive(Debug, Default)]
pub struct RequestCounter {
    count: watch::Sender<usize>,
}

impl RequestCounter {
    /// Creates a counter at zero.
    pub fn new() -> RequestCounter {
        RequestCounter::default()
    }

    /// Counts one more request until the returned guard is dropped.
    pub fn start(&self) -> RunningRequest {
        RunningRequest::new(self.count.clone())
    }

    /// Returns the number of requests in progress.
    pub fn running(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}
