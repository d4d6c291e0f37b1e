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

/// A fleet of engines and entries with its load, as read from a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// The model, the cost model of running it and the kinds of accelerators.
    pub model: ModelShape,
    /// The engines, by availability zone and kind.
    pub engines: Vec<FleetCount>,
    /// The entries, by availability zone.
    pub entries: Vec<FleetCount>,
    /// The classes of requests.
    pub classes: Vec<LoadClass>,
    /// The share of each client account in the load.
    pub account_shares: Vec<f64>,
}

impl FleetFile {
    /// Reads a fleet file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is not valid TOML, lacks a key or has an unknown one.
    pub fn read(path: &Path) -> Result<FleetFile, FleetError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        toml::from_str(&text).context(MalformedSnafu { path })
    }

    /// Returns the model with the mean request of the load and with sorted kinds of accelerators.
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

    /// Returns `scale` times the engines of the file, without layers.
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

    /// Returns the load of all classes, in requests a second.
    pub fn per_second(&self) -> f64 {
        self.classes.iter().map(|class| class.per_second).sum()
    }

    /// Returns the mean request of the load.
    pub fn mean_request(&self) -> RequestProfile {
        let total = self.per_second().max(1e-9);
        let mean = |value: fn(&LoadClass) -> f64| {
            let classes = self.classes.iter();
            classes
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
