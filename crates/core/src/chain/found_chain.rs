use super::ChainStage;

/// A chain that covers all layers of the model once and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundChain {
    /// The parts in order; the first one takes the request.
    pub stages: Vec<ChainStage>,
    /// The number of times that the chain goes from one availability zone to another.
    pub crossings: usize,
    /// The time of a token step of a lone request, in milliseconds.
    pub unloaded_step_ms: f64,
}
