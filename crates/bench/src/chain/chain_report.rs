use serde::Serialize;

/// The results of a simulation of chains; times in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct ChainReport {
    /// The name of the sharing policy on the command line.
    pub policy: &'static str,
    /// The number of requests that arrived per second.
    pub offered: f64,
    /// The number of requests per second that were served without a late event.
    pub in_time: f64,
    /// The throughput bound for this placement, in requests a second.
    pub bound: f64,
    /// `in_time` as a share of the smaller of `bound` and `offered`.
    pub share: f64,
    /// The number of requests per second that were served, in time or late.
    pub served: f64,
    /// The refused requests, as a share of the arrived ones.
    pub refused: f64,
    /// The requests that were refused although the engines of an availability zone had free memory for
    /// the prompt at every layer, as a share of the arrived ones.
    pub needless: f64,
    /// The requests that an engine rejected for lack of memory, as a share of the sent ones.
    pub rejected: f64,
    /// The running requests that were preempted for lack of memory, as a share of the sent ones.
    pub preempted: f64,
    /// The mean share of the engines' KV memory in use.
    pub used: f64,
    /// The mean share of the engines with a pass in progress.
    pub busy: f64,
    /// The 50th, 95th and 99th percentiles of the time to the first event.
    pub first_ms: [f64; 3],
    /// The median time to the first event of small accounts, which are all but the first one, before
    /// and during the surge of the first account.
    pub small_first_ms: [f64; 2],
    /// The share of the requests of small accounts that were refused, before and during the surge.
    pub small_refused: [f64; 2],
    /// The traffic of load reports between entries, in bytes a second.
    pub told_bytes: f64,
}
