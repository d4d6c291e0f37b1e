use super::FlowNode;
use super::seeded_hash::hash_text;

/// The choice of the endpoints that one entry routes to when there are very many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointSubset {
    /// The number of endpoints kept of each zone and layer range.
    pub per_class: usize,
}

impl EndpointSubset {
    /// The default number of endpoints of each zone and layer range.
    ///
    /// At 980 entries and 7,200 endpoints each endpoint is then in the subset of many entries,
    /// and today's classes are kept whole.
    pub const DEFAULT_PER_CLASS: usize = 32;

    /// Keeps the nodes that `entry` routes to, by rendezvous hashing of the two names.
    ///
    /// Ranking within each zone and layer range keeps every layer covered, and a membership change
    /// replaces only the endpoints that came or went.
    pub fn select(self, entry: &str, nodes: &[FlowNode]) -> Vec<FlowNode> {
        let seed = hash_text(0, entry);
        let mut ranked: Vec<(u64, &FlowNode)> = nodes
            .iter()
            .map(|node| (hash_text(seed, node.endpoint.as_str()), node))
            .collect();
        ranked.sort_by_key(|(hash, node)| (&node.zone, node.range, *hash));
        let mut kept: Vec<FlowNode> = Vec::new();
        let mut in_class = 0;
        for (_, node) in ranked {
            let is_same = kept
                .last()
                .is_some_and(|last| last.zone == node.zone && last.range == node.range);
            in_class = if is_same { in_class + 1 } else { 1 };
            if in_class <= self.per_class {
                kept.push(node.clone());
            }
        }
        kept
    }
}

impl Default for EndpointSubset {
    fn default() -> EndpointSubset {
        EndpointSubset {
            per_class: EndpointSubset::DEFAULT_PER_CLASS,
        }
    }
}
