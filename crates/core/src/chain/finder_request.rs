use crate::time::MilliTime;

use super::RoomLimits;

/// The requirements of a request for its chain.
#[derive(Clone, Copy, Debug)]
pub struct FinderRequest<'a> {
    /// The number of tokens of context for which each stage needs free KV memory.
    pub tokens: f64,
    /// Whether it continues a stream that another chain has begun.
    pub is_resumed: bool,
    /// Whether engines that have lately turned such requests away count as well.
    pub ignores_refusals: bool,
    /// The availability zone of the process that sends the request.
    pub zone: &'a str,
    /// The identifiers of engines that the chain must not use.
    pub excluded: &'a [String],
    /// Whether the chain may cross availability zones.
    pub may_cross: bool,
    /// How much of each engine it may take.
    pub limits: RoomLimits,
    /// The seed of the random increases in cost; differs between requests and processes.
    pub seed: u64,
    /// The current time.
    pub now: MilliTime,
}
