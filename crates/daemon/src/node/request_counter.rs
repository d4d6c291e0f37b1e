use tokio::sync::watch;

use super::RunningRequest;

/// Counts the requests that run at a process, so that a stopping process can wait for the last one.
#[derive(Debug, Default)]
pub struct RequestCounter {
    count: watch::Sender<usize>,
}

impl RequestCounter {
    /// Creates a counter at zero.
    pub fn new() -> RequestCounter {
        RequestCounter::default()
    }

    /// Counts a request until the returned value is dropped.
    pub fn start(&self) -> RunningRequest {
        RunningRequest::new(self.count.clone())
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no request runs.
    pub async fn wait_idle(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`, so that waiting can't fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}
