use super::batch_work::BatchWork;

/// Work that waits for the next batch.
pub(super) struct BatchJob {
    /// The session.
    pub(super) session: String,
    /// The priority class; lower is served first.
    pub(super) priority: u8,
    /// The prompt tokens to compute, which are 0 after the first batch of a session.
    pub(super) prompt_tokens: u32,
    /// The work.
    pub(super) work: BatchWork,
}
