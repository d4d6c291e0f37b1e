use dandelionroad_core::relay::SharedDemand;
use serde::Deserialize;
use serde::Serialize;

use super::PriorityDemand;

/// The demand of one process for a service under shortage control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerDemand {
    /// The low 32 bits of the hash of the service's name.
    pub service: u32,
    /// The priorities with demand.
    pub priorities: Vec<PriorityDemand>,
}

impl PeerDemand {
    /// Groups the demand of a process, sorted by service, as it is reported.
    ///
    /// Tokens are rounded to whole ones, and capped at the largest `u32`.
    pub fn group(demands: &[SharedDemand]) -> Vec<PeerDemand> {
        let services = demands.chunk_by(|left, right| left.service == right.service);
        let peer_demand = |service: &[SharedDemand]| PeerDemand {
            service: service[0].service,
            priorities: service.iter().map(priority_demand).collect(),
        };
        services.map(peer_demand).collect()
    }
}

fn priority_demand(demand: &SharedDemand) -> PriorityDemand {
    PriorityDemand {
        priority: demand.priority,
        waiting_tokens: demand.waiting_tokens.round() as u32,
        arriving_tokens: demand.arriving_tokens.round() as u32,
    }
}
