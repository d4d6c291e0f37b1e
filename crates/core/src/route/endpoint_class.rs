use crate::ident::EndpointName;
use crate::ident::ZoneName;
use crate::stream::LayerRange;

use super::seeded_hash::scale_hash;

/// The endpoints of one availability zone that hold the same layers.
///
/// The flow is computed between classes, so its cost grows with the number of distinct ranges and
/// zones instead of the number of endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointClass {
    /// The availability zone.
    pub zone: ZoneName,
    /// The layers that each endpoint of the class holds.
    pub range: LayerRange,
    members: Vec<EndpointName>,
    /// The prefix sums of the capacities of `members`, in tokens per second.
    cumulative: Vec<u64>,
}

impl EndpointClass {
    /// Creates a class without members.
    pub fn new(zone: ZoneName, range: LayerRange) -> EndpointClass {
        EndpointClass {
            zone,
            range,
            members: Vec::new(),
            cumulative: Vec::new(),
        }
    }

    /// Appends an endpoint with its capacity in tokens per second.
    pub fn push(&mut self, endpoint: EndpointName, tokens_per_second: u64) {
        self.cumulative
            .push(self.tokens_per_second() + tokens_per_second);
        self.members.push(endpoint);
    }

    /// Returns the endpoints in the order in which they were added.
    pub fn members(&self) -> &[EndpointName] {
        &self.members
    }

    /// Returns the sum of the capacities, in tokens per second.
    pub fn tokens_per_second(&self) -> u64 {
        self.cumulative.last().copied().unwrap_or_default()
    }

    /// Maps a uniformly distributed hash to an endpoint, weighted by capacity.
    ///
    /// Returns `None` if the class has no capacity.
    pub fn draw(&self, hash: u64) -> Option<&EndpointName> {
        let point = scale_hash(hash, self.tokens_per_second());
        let index = self.cumulative.partition_point(|sum| *sum <= point);
        self.members.get(index)
    }
}
