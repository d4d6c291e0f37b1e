use super::FlowNode;
use super::seeded_hash::hash_text;

/// Limits the endpoints that one entry routes to in large deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointSubset {
    /// The maximum number of endpoints for each zone and layer range.
    pub per_class: usize,
}

impl EndpointSubset {
    /// The default maximum number of endpoints for each zone and layer range.
    ///
    /// With 980 entries and 7,200 endpoints, each endpoint is still in the subsets of many entries.
    /// The classes of current deployments are within the limit and kept whole.
    pub const DEFAULT_PER_CLASS: usize = 32;

    /// Returns the nodes that `entry` routes to, chosen by rendezvous hashing of the two names.
    ///
    /// Nodes are ranked within each zone and layer range, so every layer stays covered. A
    /// membership change replaces only the endpoints that joined or left.
    pub fn select(self, entry: &str, nodes: &[FlowNode]) -> Vec<FlowNode> {
        let seed = hash_text(0, entry);
        let mut ranked: Vec<(u64, &FlowNode)> = nodes
            .iter()
            .map(|node| (hash_text(seed, node.endpoint.as_str()), node))
            .collect();
        ranked.sort_by_key(|(hash, node)| (&node.zone, node.range, *hash));
        let mut selected: Vec<FlowNode> = Vec::new();
        let mut class_rank = 0;
        for (_, node) in ranked {
            let is_same_class = selected
                .last()
                .is_some_and(|last| last.zone == node.zone && last.range == node.range);
            class_rank = if is_same_class { class_rank + 1 } else { 1 };
            if class_rank <= self.per_class {
                selected.push(node.clone());
            }
        }
        selected
    }
}

impl Default for EndpointSubset {
    fn default() -> EndpointSubset {
        EndpointSubset {
            per_class: EndpointSubset::DEFAULT_PER_CLASS,
        }
    }
}
