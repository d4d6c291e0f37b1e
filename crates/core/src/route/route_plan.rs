use super::EndpointClass;
use super::FlowPath;
use super::seeded_hash::scale_hash;

/// The bound of a model and the paths that reach it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutePlan {
    layers: u16,
    bound: u64,
    classes: Vec<EndpointClass>,
    paths: Vec<FlowPath>,
    /// The running sums of the flow of `paths`.
    cumulative: Vec<u64>,
}

impl RoutePlan {
    /// Creates a plan from the bound and the paths of a flow.
    pub fn new(
        layers: u16,
        bound: u64,
        classes: Vec<EndpointClass>,
        paths: Vec<FlowPath>,
    ) -> RoutePlan {
        let mut sum = 0;
        let cumulative = paths
            .iter()
            .map(|path| {
                sum += path.tokens_per_second;
                sum
            })
            .collect();
        RoutePlan {
            layers,
            bound,
            classes,
            paths,
            cumulative,
        }
    }

    /// Returns the number of layers of the model.
    pub fn layers(&self) -> u16 {
        self.layers
    }

    /// Returns the bound on the throughput, in tokens per second.
    pub fn bound(&self) -> u64 {
        self.bound
    }

    /// Returns the flow of all paths, in tokens per second; at most the bound.
    pub fn tokens_per_second(&self) -> u64 {
        self.cumulative.last().copied().unwrap_or_default()
    }

    /// Returns the classes of endpoints.
    pub fn classes(&self) -> &[EndpointClass] {
        &self.classes
    }

    /// Returns the paths.
    pub fn paths(&self) -> &[FlowPath] {
        &self.paths
    }

    /// Draws a path in proportion to its flow.
    pub fn draw(&self, hash: u64) -> Option<&FlowPath> {
        let point = scale_hash(hash, self.tokens_per_second());
        let index = self.cumulative.partition_point(|sum| *sum <= point);
        self.paths.get(index)
    }
}
