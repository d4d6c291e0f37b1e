use super::batch_work::BatchWork;

/// A unit of work in the queue of an engine.
pub(super) struct BatchJob {
    /// The id of the session.
    pub(super) session: String,
    /// The priority class; lower classes are served first.
    pub(super) priority: u8,
    /// The number of prompt tokens to compute; 0 after the first batch of a session.
    pub(super) prompt_tokens: u32,
    /// The computation and the channel for its output.
    pub(super) work: BatchWork,
}
