use serde::Deserialize;
use serde::Serialize;

use crate::ident::ModelName;
use crate::ident::PoolName;

use super::PoolMember;

/// The configuration of a pool of endpoints that serve one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The name of the pool.
    pub name: PoolName,
    /// The model that the pool serves.
    pub model: ModelName,
    /// The version of the model that the pool serves.
    pub version: u32,
    /// The minimum number of endpoints that stay ready during a rollout.
    pub min_ready: u32,
    /// The endpoints, whose layer ranges must together cover all layers of the model.
    pub endpoints: Vec<PoolMember>,
}
