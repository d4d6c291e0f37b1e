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
    ///
    /// An engine that holds more layers than wanted is left as it is.
    pub fn holds(&self, target: &LoadTarget) -> bool {
        let has_layers =
            self.range.first <= target.range.first && self.range.end >= target.range.end;
        self.model == target.model.as_str() && self.version == target.version && has_layers
    }

    /// Returns whether the engine can serve anything now.
    pub fn serves(&self) -> bool {
        self.ready && !self.model.is_empty()
    }
}
