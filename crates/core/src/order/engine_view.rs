use crate::stream::LayerRange;

use super::LoadTarget;

/// What an engine said it holds when its state was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// The model, or an empty text if none is loaded.
    pub model: String,
    /// The version.
    pub version: u32,
    /// The layers.
    pub range: LayerRange,
    /// Whether the load is complete.
    pub ready: bool,
}

impl EngineView {
    /// Returns whether the engine holds `target`, loaded completely or not.
    pub fn holds(&self, target: &LoadTarget) -> bool {
        self.model == target.model.as_str()
            && self.version == target.version
            && self.range == target.range
    }

    /// Returns whether the engine can serve anything now.
    pub fn serves(&self) -> bool {
        self.ready && !self.model.is_empty()
    }
}
