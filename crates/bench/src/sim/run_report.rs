use serde::Serialize;

use super::AccountTally;

/// The figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunReport {
    /// The policy, workload and fault.
    pub name: String,
    /// The bound, in tokens per second.
    pub bound: u64,
    /// The work delivered over the bound, after a sixth of the time.
    pub throughput: f64,
    /// The work of requests that finished in time, over the bound, likewise.
    pub goodput: f64,
    /// The work delivered from 10 to 20 seconds after the fault, over the bound that is left.
    pub after_fault: f64,
    /// The seconds from the fault until a second with 0.9 of the bound that is left.
    pub recovery_seconds: Option<u64>,
    /// Time to first token at 50, 95 and 99 in 100 requests, in milliseconds.
    pub first_token_ms: [u64; 3],
    /// Mean time between the tokens of a request at 50, 95 and 99 in 100, in milliseconds.
    pub between_tokens_ms: [u64; 3],
    /// Time to first token of the small accounts at 50, 95 and 99 in 100 before the large account
    /// sends, and while it does, in milliseconds.
    pub small_quiet_ms: [u64; 3],
    /// See `small_quiet_ms`.
    pub small_surge_ms: [u64; 3],
    /// The share of started requests that finished in time, in percent.
    pub in_time_percent: f64,
    /// The number of requests, and of those that were started.
    pub requests: u64,
    /// The number of requests that were started.
    pub started: u64,
    /// The number of retries after refusals.
    pub retries: u64,
    /// The refused requests by reason.
    pub refusals: Vec<(String, u64)>,
    /// The accounts by number.
    pub accounts: Vec<AccountTally>,
}
