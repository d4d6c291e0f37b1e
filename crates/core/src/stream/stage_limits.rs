/// The limits of a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageLimits {
    /// The time without progress after which an engine or a stage is suspected, in milliseconds.
    pub step_deadline_ms: u64,
    /// Whether the engine holds the whole model and generates by itself.
    pub is_whole_model: bool,
}
