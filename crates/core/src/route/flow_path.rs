/// A path of the flow and its share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowPath {
    /// The classes of the stages in order, as indices into the classes of the plan.
    pub classes: Vec<usize>,
    /// The flow along the path, in tokens per second.
    pub tokens_per_second: u64,
}
