use serde::Deserialize;
use serde::Serialize;

use super::RouteStage;

/// A chain of stages that covers the layers of a model once, in order.
///
/// Stage 0 is the head: it starts each position and streams the tokens to the entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChainRoute {
    /// The stages, ordered by layers.
    pub stages: Vec<RouteStage>,
}

impl ChainRoute {
    /// Returns whether the stages cover `0..layers` in order, without gap or overlap.
    pub fn covers(&self, layers: u16) -> bool {
        let mut next = 0;
        for stage in &self.stages {
            if stage.range.is_empty() || stage.range.first != next {
                return false;
            }
            next = stage.range.end;
        }
        next == layers
    }

    /// Returns the index of the last stage, or 0 for a route without stages.
    pub fn last_stage_index(&self) -> usize {
        self.stages.len().saturating_sub(1)
    }
}
