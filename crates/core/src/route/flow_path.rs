/// A path from the first layer to the last with the flow that it carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowPath {
    /// The endpoint class of each stage, as indices into [`RoutePlan::classes`].
    ///
    /// [`RoutePlan::classes`]: super::RoutePlan::classes
    pub classes: Vec<usize>,
    /// The flow along the path, in tokens per second.
    pub tokens_per_second: u64,
}
