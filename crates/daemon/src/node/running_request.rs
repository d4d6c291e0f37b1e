use tokio::sync::watch;

/// A guard that counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    count: watch::Sender<usize>,
}

impl RunningRequest {
    pub(super) fn new(count: watch::Sender<usize>) -> RunningRequest {
        count.send_modify(|count| *count += 1);
        RunningRequest { count }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
