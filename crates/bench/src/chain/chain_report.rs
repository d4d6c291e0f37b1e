use serde::Serialize;

/// What a simulation of chains measured; times in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct ChainReport {
    /// The policy.
    pub policy: &'static str,
    /// The requests a second that arrived.
    pub offered: f64,
    /// The requests a second that were served with no late event.
    pub in_time: f64,
    /// The bound on the requests a second for these engines and layers.
    pub bound: f64,
    /// The requests in time over the smaller of the bound and the load.
    pub share: f64,
    /// The requests a second that were served, also late.
    pub served: f64,
    /// The share of requests that were refused.
    pub refused: f64,
    /// The share of requests that were refused though some chain had room.
    pub needless: f64,
    /// The requests that an engine turned away for want of memory, for each one that was sent.
    pub rejected: f64,
    /// The running requests that were preempted, for each one that was sent.
    pub preempted: f64,
    /// The mean share of the engines' memory that requests take.
    pub used: f64,
    /// The mean share of the engines that are in a pass.
    pub busy: f64,
    /// The time to the first event at 50, 95 and 99 in 100.
    pub first_ms: [f64; 3],
    /// The median time to the first event of small accounts before and in a surge of the first account.
    pub small_first_ms: [f64; 2],
    /// The share of the requests of small accounts that were refused before and in the surge.
    pub small_refused: [f64; 2],
    /// The bytes a second of what entries tell each other.
    pub told_bytes: f64,
}
