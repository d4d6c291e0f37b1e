/// The kind of work that an engine stand-in accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineMode {
    /// Single steps of a layer range, through `POST /engine/step`.
    LayerRange,
    /// Whole answers, through `POST /engine/generate`.
    WholeModel,
}
