use super::ChainReport;
use super::SharingPolicy;
use super::chain_request::ChainRequest;

/// The counters and samples from which the report of a simulation is computed.
#[derive(Clone, Debug)]
pub(super) struct ChainTally {
    seconds: u64,
    offered: u64,
    sent: u64,
    served: u64,
    in_time: u64,
    refused: u64,
    /// The number of refused requests for which some availability zone had free memory at every layer.
    needless: u64,
    rejected: u64,
    preempted: u64,
    report_bytes: f64,
    /// The sum of the sampled shares of KV memory in use.
    used: f64,
    /// The sum of the sampled shares of engines in a pass.
    busy: f64,
    /// The number of samples.
    samples: f64,
    first_ms: Vec<f64>,
    /// The times to the first event of small accounts, which are all but the first one, before and during
    /// the surge.
    small_first_ms: [Vec<f64>; 2],
    /// The requests of small accounts, and those of them that were refused, before and during the surge.
    small_offered: [u64; 2],
    small_refused: [u64; 2],
}

impl ChainTally {
    pub(super) fn new(seconds: u64) -> ChainTally {
        ChainTally {
            seconds,
            offered: 0,
            sent: 0,
            served: 0,
            in_time: 0,
            refused: 0,
            needless: 0,
            rejected: 0,
            preempted: 0,
            report_bytes: 0.0,
            used: 0.0,
            busy: 0.0,
            samples: 0.0,
            first_ms: Vec::new(),
            small_first_ms: [Vec::new(), Vec::new()],
            small_offered: [0; 2],
            small_refused: [0; 2],
        }
    }

    pub(super) fn record_offered(&mut self, is_surge: bool, is_small: bool) {
        self.offered += 1;
        self.small_offered[usize::from(is_surge)] += u64::from(is_small);
    }

    pub(super) fn record_sent(&mut self) {
        self.sent += 1;
    }

    pub(super) fn record_rejected(&mut self) {
        self.rejected += 1;
    }

    pub(super) fn record_preempted(&mut self) {
        self.preempted += 1;
    }

    pub(super) fn record_report_bytes(&mut self, bytes: f64) {
        self.report_bytes += bytes;
    }

    /// Adds a sample of the share of the KV memory in use and of the share of engines in a pass.
    pub(super) fn record_sample(&mut self, used: f64, busy: f64) {
        self.used += used;
        self.busy += busy;
        self.samples += 1.0;
    }

    pub(super) fn record_refused(&mut self, has_capacity: bool, is_surge: bool, is_small: bool) {
        self.refused += 1;
        self.needless += u64::from(has_capacity);
        self.small_refused[usize::from(is_surge)] += u64::from(is_small);
    }

    pub(super) fn record_served(&mut self, request: &ChainRequest, is_small: bool) {
        self.served += 1;
        self.in_time += u64::from(request.is_in_time());
        let Some(first) = request.first_event_ms else {
            return;
        };
        let first_ms = first - request.arrived_ms;
        self.first_ms.push(first_ms);
        if is_small {
            let is_surge = request.arrived_ms >= self.seconds as f64 * 500.0;
            self.small_first_ms[usize::from(is_surge)].push(first_ms);
        }
    }

    /// Returns the report; `bound` is the throughput bound in requests a second.
    pub(super) fn report(mut self, policy: SharingPolicy, bound: f64) -> ChainReport {
        let seconds = self.seconds.max(1) as f64;
        let rate = |count: u64| round(count as f64 / seconds);
        let share = |count: u64, of: u64| round(count as f64 / of.max(1) as f64);
        let offered = self.offered as f64 / seconds;
        let in_time = self.in_time as f64 / seconds;
        self.first_ms.sort_by(f64::total_cmp);
        let [before, surge] = &mut self.small_first_ms;
        before.sort_by(f64::total_cmp);
        surge.sort_by(f64::total_cmp);
        ChainReport {
            policy: policy.as_str(),
            offered: round(offered),
            in_time: round(in_time),
            bound: round(bound),
            share: round(in_time / offered.min(bound).max(1e-9)),
            served: rate(self.served),
            refused: share(self.refused, self.offered),
            needless: share(self.needless, self.offered),
            rejected: share(self.rejected, self.sent),
            preempted: share(self.preempted, self.sent),
            used: round(self.used / self.samples.max(1.0)),
            busy: round(self.busy / self.samples.max(1.0)),
            first_ms: [50, 95, 99].map(|percent| percentile(&self.first_ms, percent)),
            small_first_ms: [percentile(before, 50), percentile(surge, 50)],
            small_refused: [0, 1]
                .map(|phase| share(self.small_refused[phase], self.small_offered[phase])),
            told_bytes: (self.report_bytes / seconds).round(),
        }
    }
}

/// Returns a percentile of the sorted values; 0 if there are none.
fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let index = sorted.len() * percent / 100;
    let value = sorted.get(index.min(sorted.len().saturating_sub(1)));
    value.map_or(0.0, |value| value.round())
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
