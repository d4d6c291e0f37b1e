use crate::route::hash_text;

use super::RepeatRule;
use super::ServiceShare;

/// The seed of the hash that spreads the requests of a route over its services.
const SHARE_SEED: u64 = 0x5e71;

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRoute {
    /// The host that callers name.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which the answer, or the first event of a stream, is wanted, in milliseconds.
    pub target_ms: u64,
    /// The longest wanted pause between the events of a stream, in milliseconds.
    pub gap_target_ms: u64,
    /// The rank of the requests, 0 first.
    pub priority: u8,
    /// The endpoints on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The services that serve the route, with their weights.
    pub shares: Vec<ServiceShare>,
}

impl RelayRoute {
    /// Returns the service for a request; the same request always gets the same one.
    pub fn service(&self, request: &str) -> Option<&str> {
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
