use crate::ident::EndpointName;
use crate::ident::ZoneName;
use crate::stream::LayerRange;

/// An endpoint as a node of the flow graph.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowNode {
    /// The name of the endpoint.
    pub endpoint: EndpointName,
    /// The availability zone of the endpoint's host.
    pub zone: ZoneName,
    /// The layers that the endpoint holds.
    pub range: LayerRange,
    /// The capacity for the whole range, in tokens per second.
    pub tokens_per_second: u64,
}
