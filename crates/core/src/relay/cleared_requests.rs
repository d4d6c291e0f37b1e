use crate::time::MilliTime;

/// How long a served request is remembered, in milliseconds.
///
/// A stored crash of it that is older counts no longer.
const RETENTION_MS: u64 = 60_000;

/// The maximum number of remembered requests; the oldest is dropped first.
const MAX_REQUESTS: usize = 256;

/// The requests of which crashes were known and that were served then, in the order in which they were served.
///
/// The store may still hold their crashes, if the process that stored them could not reach it afterwards.
#[derive(Clone, Debug, Default)]
pub(super) struct ClearedRequests {
    requests: Vec<(String, MilliTime)>,
}

impl ClearedRequests {
    /// Records that a request was served.
    pub(super) fn record(&mut self, fingerprint: &str, now: MilliTime) {
        self.requests.retain(|(known, _)| known != fingerprint);
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.remove(0);
        }
        self.requests.push((fingerprint.to_owned(), now));
    }

    /// Returns whether a request was served at `time` or later.
    pub(super) fn was_served_since(&self, fingerprint: &str, time: MilliTime) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|(known, at)| known == fingerprint && *at >= time)
    }

    /// Drops requests that were served too long ago to count.
    pub(super) fn expire(&mut self, now: MilliTime) {
        self.requests
            .retain(|(_, at)| now.since(*at) <= RETENTION_MS);
    }
}
