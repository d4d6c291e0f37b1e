use serde::Deserialize;
use serde::Serialize;

use crate::ident::EndpointName;

/// One endpoint of a pool and the layers of the model that it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolMember {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// The first layer that the endpoint holds.
    pub first_layer: u16,
    /// The layer after the last one that the endpoint holds.
    pub end_layer: u16,
    /// The capacity of the endpoint when it runs all its layers, in tokens per second.
    pub tokens_per_second: u32,
}
