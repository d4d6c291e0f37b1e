use dandelionroad_core::outcome::RefusalReason;

use super::AccountTally;
use super::LoadWorkload;
use super::RunReport;
use super::RunSetup;
use super::sim_clock::SECOND_US;
use super::sim_request::SimRequest;

/// The counters and samples from which the report of a run is computed.
#[derive(Default)]
pub(super) struct SimTally {
    /// The delivered work of each second, in work units.
    delivered: Vec<u64>,
    /// The work of requests that met their deadlines, by the second of their end, in work units.
    in_time_units: Vec<u64>,
    in_time: u64,
    account_units: Vec<u64>,
    first_token_ms: Vec<u64>,
    between_tokens_ms: Vec<u64>,
    small_quiet_ms: Vec<u64>,
    small_surge_ms: Vec<u64>,
    refusals: Vec<(RefusalReason, u64)>,
    account_refusals: Vec<u64>,
    pub(super) retries: u64,
}

impl SimTally {
    /// Records delivered work of an account, in work units.
    pub(super) fn record_work(&mut self, now_us: u64, account: usize, units: u64) {
        add_at(&mut self.delivered, (now_us / SECOND_US) as usize, units);
        add_at(&mut self.account_units, account, units);
    }

    /// Records the time to the first token of a request.
    ///
    /// In the workload `large-account`, the small accounts' times are also recorded by phase: before the
    /// large account sends requests, and from two seconds after its start.
    pub(super) fn record_first_token(
        &mut self,
        setup: &RunSetup,
        request: &SimRequest,
        now_us: u64,
    ) {
        let elapsed_ms = (now_us - request.spec.arrival_us) / 1_000;
        self.first_token_ms.push(elapsed_ms);
        if setup.workload != LoadWorkload::LargeAccount || request.spec.account == 0 {
            return;
        }
        let surge_us = setup.seconds * SECOND_US / 3;
        let settled_us = surge_us + 2 * SECOND_US;
        if request.spec.arrival_us > settled_us {
            self.small_surge_ms.push(elapsed_ms);
        } else if now_us < surge_us {
            self.small_quiet_ms.push(elapsed_ms);
        }
    }

    /// Records the end of a complete answer.
    pub(super) fn record_end(&mut self, request: &SimRequest, now_us: u64) {
        let gaps = u64::from(request.spec.generated_tokens.max(2)) - 1;
        let span_us = now_us - request.first_token_us;
        self.between_tokens_ms.push(span_us / gaps / 1_000);
        if now_us <= request.deadline_us() {
            self.in_time += 1;
            let second = (now_us / SECOND_US) as usize;
            add_at(&mut self.in_time_units, second, request.units());
        }
    }

    /// Records a request that is refused and not retried.
    pub(super) fn record_refusal(&mut self, account: usize, reason: RefusalReason) {
        add_at(&mut self.account_refusals, account, 1);
        match self.refusals.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, count)) => *count += 1,
            None => self.refusals.push((reason, 1)),
        }
    }

    /// Returns the report; `bound` and `bound_after` are the throughput bounds in tokens per second before
    /// and after the fault.
    pub(super) fn report(
        mut self,
        setup: &RunSetup,
        requests: &[SimRequest],
        bound: u64,
        bound_after: u64,
    ) -> RunReport {
        let units = dandelionroad_core::admit::WorkUnits::default();
        let (first_second, end_second) = (setup.seconds as usize / 6, setup.seconds as usize);
        let mean = |values: &[u64], from: usize, to: usize| {
            let sum: u64 = values.iter().take(to).skip(from).sum();
            sum as f64 / (to - from).max(1) as f64
        };
        let full_rate = units.per_second(bound) as f64;
        let remaining_rate = units.per_second(bound_after) as f64;
        let fault_second = setup.seconds as usize / 2;
        let recovery = self
            .delivered
            .iter()
            .take(end_second)
            .skip(fault_second + 1)
            .position(|sum| *sum as f64 >= 0.9 * remaining_rate);
        let started = requests.iter().filter(|request| request.is_started).count() as u64;
        let total: u64 = self.account_units.iter().sum();
        let accounts = self.account_units.len();
        let accounts = (0..accounts).map(|account| AccountTally {
            requests: requests
                .iter()
                .filter(|request| request.spec.account == account)
                .count() as u64,
            refused: self
                .account_refusals
                .get(account)
                .copied()
                .unwrap_or_default(),
            share_percent: round(self.account_units[account] as f64 * 100.0 / total as f64),
        });
        RunReport {
            name: format!(
                "{} {} {}",
                setup.workload.as_str(),
                setup.fault.as_str(),
                setup.policy.as_str()
            ),
            bound,
            throughput: round(mean(&self.delivered, first_second, end_second) / full_rate),
            goodput: round(mean(&self.in_time_units, first_second, end_second) / full_rate),
            after_fault: round(
                mean(&self.delivered, fault_second + 10, fault_second + 20) / remaining_rate,
            ),
            recovery_seconds: recovery.map(|seconds| seconds as u64 + 1),
            accounts: accounts.collect(),
            first_token_ms: percentiles(&mut self.first_token_ms),
            between_tokens_ms: percentiles(&mut self.between_tokens_ms),
            small_quiet_ms: percentiles(&mut self.small_quiet_ms),
            small_surge_ms: percentiles(&mut self.small_surge_ms),
            in_time_percent: round(self.in_time as f64 * 100.0 / started.max(1) as f64),
            requests: requests.len() as u64,
            started,
            retries: self.retries,
            refusals: self
                .refusals
                .iter()
                .map(|(reason, count)| (reason.as_str().to_owned(), *count))
                .collect(),
        }
    }
}

/// Rounds to three decimal places to keep reports short.
fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Adds an amount to the value at an index; extends the values with zeros up to it.
fn add_at(values: &mut Vec<u64>, index: usize, amount: u64) {
    if values.len() <= index {
        values.resize(index + 1, 0);
    }
    values[index] += amount;
}

/// Returns the 50th, 95th and 99th percentiles; 0 without values.
fn percentiles(values: &mut [u64]) -> [u64; 3] {
    values.sort_unstable();
    [50, 95, 99].map(|percent| {
        let index = (values.len() * percent).div_ceil(100).saturating_sub(1);
        values.get(index).copied().unwrap_or_default()
    })
}
