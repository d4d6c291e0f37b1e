use serde::Serialize;

use super::AccountTally;

/// The results of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunReport {
    /// The names of the workload, the fault and the policy.
    pub name: String,
    /// The throughput bound without a fault, in tokens per second.
    pub bound: u64,
    /// The delivered work as a share of the bound, without the first sixth of the run.
    pub throughput: f64,
    /// The work of requests that met their deadlines as a share of the bound, without the first sixth of
    /// the run.
    pub goodput: f64,
    /// The work delivered from 10 to 20 seconds after the fault, as a share of the remaining bound.
    pub after_fault: f64,
    /// The seconds from the fault until a second in which at least 0.9 of the remaining bound is delivered.
    pub recovery_seconds: Option<u64>,
    /// The 50th, 95th and 99th percentiles of the time to the first token, in milliseconds.
    pub first_token_ms: [u64; 3],
    /// The 50th, 95th and 99th percentiles of a request's mean time between tokens, in milliseconds.
    pub between_tokens_ms: [u64; 3],
    /// The 50th, 95th and 99th percentiles of the small accounts' time to the first token before the large
    /// account sends requests, in milliseconds; only for the workload `large-account`.
    pub small_quiet_ms: [u64; 3],
    /// The same percentiles while the large account sends requests.
    pub small_surge_ms: [u64; 3],
    /// The share of started requests that met their deadlines, in percent.
    pub in_time_percent: f64,
    /// The number of requests.
    pub requests: u64,
    /// The number of requests that were started.
    pub started: u64,
    /// The number of retries after refusals.
    pub retries: u64,
    /// The number of refused requests for each reason.
    pub refusals: Vec<(String, u64)>,
    /// The results for each client account, by index.
    pub accounts: Vec<AccountTally>,
}
