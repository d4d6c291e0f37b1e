use std::net::SocketAddr;

use dandelionroad_core::stream::LayerRange;

use super::EngineFaults;
use super::EngineMode;

/// The configuration of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Whether the engine runs single steps of its layers or generates whole answers.
    pub mode: EngineMode,
    /// The model that is loaded at start, or an empty string for none.
    pub model: String,
    /// The version of the model that is loaded at start.
    pub version: u32,
    /// The layers that are loaded at start.
    pub range: LayerRange,
    /// The time of a batch without prompt tokens, in microseconds.
    pub step_us: u64,
    /// The additional time for each prompt token that is not in the prefix cache, in microseconds.
    pub prompt_token_us: u64,
    /// The maximum number of jobs in a batch.
    pub max_batch: usize,
    /// The capacity of the prefix cache, in blocks of 16 prompt tokens.
    pub cache_blocks: usize,
    /// The delay before a cache event can be read, in milliseconds.
    pub event_delay_ms: u64,
    /// The interval at which cache events are lost: 2 loses every second event, 0 loses none.
    pub event_loss_interval: u64,
    /// The time to load a model, in milliseconds.
    pub load_ms: u64,
    /// The time between a crash and the restart, in milliseconds.
    pub restart_ms: u64,
    /// The text that crashes the engine when a prompt contains it.
    pub crash_marker: String,
    /// The faults at start.
    pub faults: EngineFaults,
}

impl EngineOptions {
    /// Returns the options of an engine that holds the layers `range` of `model` at version 1 and
    /// answers without delay.
    pub fn layer_range(model: &str, range: LayerRange) -> EngineOptions {
        EngineOptions {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            mode: EngineMode::LayerRange,
            model: model.to_owned(),
            version: 1,
            range,
            step_us: 0,
            prompt_token_us: 0,
            max_batch: 16,
            cache_blocks: 1_024,
            event_delay_ms: 0,
            event_loss_interval: 0,
            load_ms: 0,
            restart_ms: 100,
            crash_marker: "[crash]".to_owned(),
            faults: EngineFaults::default(),
        }
    }

    /// Returns the options of an engine that holds all `layers` of `model` at version 1 and answers
    /// without delay.
    pub fn whole_model(model: &str, layers: u16) -> EngineOptions {
        EngineOptions {
            mode: EngineMode::WholeModel,
            ..EngineOptions::layer_range(model, LayerRange::new(0, layers))
        }
    }
}
