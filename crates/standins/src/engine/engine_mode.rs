/// How an engine stand-in is driven.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineMode {
    /// One step of a layer range at a time, by `POST /engine/step`.
    LayerRange,
    /// Whole answers, by `POST /engine/generate`.
    WholeModel,
}
