use super::EndpointClass;
use super::FlowPath;
use super::seeded_hash::scale_hash;

/// The weighted paths of a model and the upper bound on its throughput.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutePlan {
    layers: u16,
    bound: u64,
    classes: Vec<EndpointClass>,
    paths: Vec<FlowPath>,
    /// The prefix sums of the flow of `paths`, in tokens per second.
    cumulative: Vec<u64>,
}

impl RoutePlan {
    /// Creates a plan from the upper bound and the paths of a flow.
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

    /// Returns the upper bound on the throughput, in tokens per second.
    pub fn bound(&self) -> u64 {
        self.bound
    }

    /// Returns the total flow of the paths, in tokens per second.
    ///
    /// It can be lower than the bound where a link between zones is shared by several hand-over
    /// positions.
    pub fn tokens_per_second(&self) -> u64 {
        self.cumulative.last().copied().unwrap_or_default()
    }

    /// Returns the endpoint classes, to which the paths refer by index.
    pub fn classes(&self) -> &[EndpointClass] {
        &self.classes
    }

    /// Returns the paths that carry flow.
    pub fn paths(&self) -> &[FlowPath] {
        &self.paths
    }

    /// Maps a uniformly distributed hash to a path, weighted by flow.
    ///
    /// Returns `None` if the plan has no flow.
    pub fn draw(&self, hash: u64) -> Option<&FlowPath> {
        let point = scale_hash(hash, self.tokens_per_second());
        let index = self.cumulative.partition_point(|sum| *sum <= point);
        self.paths.get(index)
    }
}
