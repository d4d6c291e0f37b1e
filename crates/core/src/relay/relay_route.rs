use crate::route::hash_text;

use super::RepeatRule;
use super::ServiceShare;

/// The seed of the hash that distributes the requests of a route over its services.
const SHARE_SEED: u64 = 0x5e71;

/// A route: how to serve the requests for one host below one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRoute {
    /// The host name in the request.
    pub host: String,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The rule on sending a request again.
    pub repeat: RepeatRule,
    /// The maximum time that a caller waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The target time for the answer, or for the first event of a stream, in milliseconds.
    pub target_ms: u64,
    /// The target for the maximum time between two events of a stream, in milliseconds.
    pub gap_target_ms: u64,
    /// The priority of the requests, 0 first.
    pub priority: u8,
    /// The maximum number of endpoints on which one request of a caller may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The services that share the requests, with their weights.
    pub shares: Vec<ServiceShare>,
}

impl RelayRoute {
    /// Returns the service for the request with this identifier, chosen by weight and always the
    /// same for the same identifier.
    pub fn service_for(&self, request: &str) -> Option<&str> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return self.shares.first().map(|share| share.service.as_str());
        }
        let mut point = hash_text(SHARE_SEED, request) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}
