use crate::time::MilliTime;

/// How long a loss is kept, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// The maximum number of losses that are kept; the oldest ones are dropped.
const MAX_LOSSES: usize = 512;

/// The loss of an engine during an established run of a request.
#[derive(Clone, Debug)]
struct LateLoss {
    fingerprint: String,
    engine: String,
    at: MilliTime,
}

/// The engines that were lost while established runs of requests were on them, for requests that have only one.
///
/// Hundreds of sound streams run on an engine that fails, so one such loss tells nothing about a request. Only
/// few requests are on two of them before they are served.
#[derive(Clone, Debug, Default)]
pub(super) struct LateLosses {
    /// In the order in which they were recorded.
    losses: Vec<LateLoss>,
}

impl LateLosses {
    /// Records a loss; returns whether the request now has losses of two engines.
    pub(super) fn record(&mut self, fingerprint: &str, engine: &str, now: MilliTime) -> bool {
        let mut known = self.losses.iter();
        if known.any(|loss| loss.fingerprint == fingerprint && loss.engine == engine) {
            return false;
        }
        let has_other = self.has_request(fingerprint);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(LateLoss {
            fingerprint: fingerprint.to_owned(),
            engine: engine.to_owned(),
            at: now,
        });
        has_other
    }

    /// Returns whether a loss of a request is kept.
    pub(super) fn has_request(&self, fingerprint: &str) -> bool {
        let mut known = self.losses.iter();
        known.any(|loss| loss.fingerprint == fingerprint)
    }

    /// Removes the losses of a request; returns their engines, in the order in which they were recorded.
    pub(super) fn take_request(&mut self, fingerprint: &str) -> Vec<String> {
        let of_request = |loss: &mut LateLoss| loss.fingerprint == fingerprint;
        let taken = self.losses.extract_if(.., of_request);
        taken.map(|loss| loss.engine).collect()
    }

    /// Forgets the losses of a request that was served.
    pub(super) fn clear_request(&mut self, fingerprint: &str) {
        self.losses.retain(|loss| loss.fingerprint != fingerprint);
    }

    /// Forgets the losses of an engine that ran on, if they were recorded before a time.
    pub(super) fn withdraw_engine(&mut self, engine: &str, before: MilliTime) {
        self.losses
            .retain(|loss| loss.engine != engine || loss.at >= before);
    }

    /// Drops losses that are too old to count.
    pub(super) fn expire(&mut self, now: MilliTime) {
        self.losses
            .retain(|loss| now.since(loss.at) <= RETENTION_MS);
    }
}
