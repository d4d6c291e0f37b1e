use std::path::Path;

use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::chain::RequestProfile;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::stream::LayerRange;
use serde::Deserialize;
use snafu::ResultExt;

use super::FleetCount;
use super::FleetError;
use super::LoadClass;
use super::fleet_error::MalformedSnafu;
use super::fleet_error::UnreadableSnafu;

/// A fleet of engines and entries with its load, as written in a file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// The model, the cost of running it and the kinds of accelerators.
    pub model: ModelShape,
    /// The engines, as counts.
    pub engines: Vec<FleetCount>,
    /// The entries, as counts.
    pub entries: Vec<FleetCount>,
    /// The kinds of requests.
    pub classes: Vec<LoadClass>,
    /// The shares of the accounts in the load.
    pub account_shares: Vec<f64>,
}

impl FleetFile {
    /// Reads a fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or has other fields.
    pub fn read(path: &Path) -> Result<FleetFile, FleetError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        toml::from_str(&text).context(MalformedSnafu { path })
    }

    /// Returns the model with the mean request of the load as the usual one.
    pub fn shape(&self) -> ModelShape {
        let mean = self.mean_request();
        let mut shape = self.model.clone();
        shape.usual_prompt = mean.prompt_tokens;
        shape.usual_answer = mean.answer_tokens;
        shape
            .kinds
            .sort_by(|left, right| left.name.cmp(&right.name));
        shape
    }

    /// Returns the engines, `scale` times as many, without layers.
    pub fn placement_engines(&self, scale: u16) -> Vec<PlacementEngine> {
        let mut engines = Vec::new();
        for line in &self.engines {
            for _ in 0..line.count * scale {
                engines.push(PlacementEngine {
                    id: format!("e{:05}", engines.len()),
                    zone: line.zone.clone(),
                    kind: line.kind.clone().unwrap_or_default(),
                    layers: LayerRange::new(0, 0),
                    has_pending_order: false,
                });
            }
        }
        engines
    }

    /// Returns the requests of all kinds a second.
    pub fn per_second(&self) -> f64 {
        self.classes.iter().map(|class| class.per_second).sum()
    }

    /// Returns the mean request.
    pub fn mean_request(&self) -> RequestProfile {
        let total = self.per_second().max(1e-9);
        let mean = |value: fn(&LoadClass) -> f64| {
            let parts = self.classes.iter();
            parts
                .map(|class| class.per_second * value(class))
                .sum::<f64>()
                / total
        };
        RequestProfile {
            prompt_tokens: mean(|class| class.prompt_tokens),
            answer_tokens: mean(|class| class.answer_tokens),
            max_gap_ms: mean(|class| class.gap_ms as f64),
        }
    }
}
