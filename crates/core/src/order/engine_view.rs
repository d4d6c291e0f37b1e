use crate::stream::LayerRange;

use super::LoadTarget;

/// The state that an engine reported when it was last read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// The name of the loaded model, or an empty text for none.
    pub model: String,
    /// The version of the model.
    pub version: u32,
    /// The loaded layers.
    pub range: LayerRange,
    /// Whether loading is complete.
    pub ready: bool,
}

impl EngineView {
    /// Returns whether the engine holds `target`, completely loaded or not.
    ///
    /// Additional layers are allowed, so an engine is not reloaded to drop some.
    pub fn holds(&self, target: &LoadTarget) -> bool {
        let has_layers =
            self.range.first <= target.range.first && self.range.end >= target.range.end;
        self.model == target.model.as_str() && self.version == target.version && has_layers
    }

    /// Returns whether the engine can serve requests now.
    pub fn serves(&self) -> bool {
        self.ready && !self.model.is_empty()
    }
}
