/// The settings of a stage that its machine depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageLimits {
    /// The time without progress after which an engine or a stage is reported as silent, in
    /// milliseconds.
    pub step_deadline_ms: u64,
    /// Whether the engine holds the whole model and generates answers on its own.
    pub is_whole_model: bool,
}
