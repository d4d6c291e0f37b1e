use serde::Deserialize;

use crate::stream::LayerRange;

use super::AcceleratorKind;

/// The model that the engines of a service run together, and the cost model of running it.
///
/// Times apply to an accelerator that holds all layers and whose step and prefill factors are 1.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ModelShape {
    /// The name of the model.
    #[serde(default)]
    pub name: String,
    /// The number of layers.
    pub layers: u16,
    /// The size of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// The size of one token's KV cache over all layers, in bytes.
    pub token_bytes: f64,
    /// The maximum number of requests that an engine runs concurrently as the first engine of their
    /// chains.
    pub slots: u32,
    /// The fixed part of the time of a decode step, in milliseconds.
    pub step_ms: f64,
    /// The part of a decode step's time that each decoding request adds, in milliseconds.
    pub sequence_ms: f64,
    /// The part of a decode step's time that 1,000 tokens of a decoding request's context add, in
    /// milliseconds.
    pub context_ms: f64,
    /// The prefill rate, in prompt tokens per millisecond.
    pub read_per_ms: f64,
    /// The maximum number of prompt tokens that an engine prefills in one pass; the rest waits for
    /// the next pass.
    pub chunk_tokens: f64,
    /// The number of decode steps in one pass.
    pub pass_steps: f64,
    /// The time to load all layers, in milliseconds.
    pub load_ms: f64,
    /// The size of one token's activations, sent from each engine of a chain to the next, in bytes.
    pub activation_bytes: f64,
    /// The bandwidth that all transfers between two availability zones share, in megabits per
    /// second.
    pub pipe_mbps: f64,
    /// The mean number of prompt tokens of a request.
    #[serde(default)]
    pub usual_prompt: f64,
    /// The mean number of output tokens of a request.
    #[serde(default)]
    pub usual_answer: f64,
    /// The kinds of accelerators, sorted by name.
    pub kinds: Vec<AcceleratorKind>,
}

impl ModelShape {
    /// Returns whether some kind of accelerator is faster than another one and has less memory.
    ///
    /// Engines then differ in two ways, so that an engine with the speed of another one may lack its memory.
    pub fn has_uneven_kinds(&self) -> bool {
        self.kinds.iter().any(|fast| {
            let mut others = self.kinds.iter();
            others
                .any(|slow| fast.step_factor < slow.step_factor && fast.memory_mb < slow.memory_mb)
        })
    }

    /// Returns the kind of accelerator with this name.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        let index = self
            .kinds
            .binary_search_by(|kind| kind.name.as_str().cmp(name));
        index.ok().map(|index| &self.kinds[index])
    }

    /// Returns whether an engine that reports these layers can belong to the model.
    ///
    /// Engines write their layers themselves, and the list may hold entries of other writers.
    pub fn contains(&self, layers: LayerRange) -> bool {
        layers.first <= layers.end && layers.end <= self.layers
    }

    /// Returns the memory of a kind of accelerator, in megabytes; 0 for an unknown kind.
    pub fn memory_mb(&self, kind: &str) -> f64 {
        self.kind(kind).map_or(0.0, |kind| kind.memory_mb)
    }

    /// Returns the context of a mean request at its end, in tokens.
    pub fn mean_tokens(&self) -> f64 {
        self.usual_prompt + self.usual_answer
    }

    /// Returns the time that a decoding request with `context` tokens adds to a decode step, in
    /// milliseconds.
    pub fn decode_ms(&self, context: f64) -> f64 {
        self.sequence_ms + self.context_ms * context / 1_000.0
    }

    /// Returns the rate at which tokens can cross from one availability zone to another, per
    /// second.
    pub fn link_tokens_per_second(&self) -> f64 {
        self.pipe_mbps * 1e6 / 8.0 / self.activation_bytes.max(1.0)
    }

    /// Returns the maximum number of layers that fit into `memory_mb`.
    pub fn max_layers(&self, memory_mb: f64) -> u16 {
        let count = (memory_mb / self.layer_mb.max(1e-9)).floor();
        (count.max(0.0) as u16).min(self.layers)
    }

    /// Returns the number of tokens whose KV cache fits beside the weights of `held` layers.
    pub fn kv_capacity_tokens(&self, memory_mb: f64, held: u16) -> f64 {
        self.kv_capacity_units(memory_mb, held) / f64::from(held.max(1))
    }

    /// Returns the KV memory that the weights of `held` layers leave, in tokens times layers.
    pub fn kv_capacity_units(&self, memory_mb: f64, held: u16) -> f64 {
        let free_mb = memory_mb - f64::from(held) * self.layer_mb;
        let unit_bytes = self.token_bytes / f64::from(self.layers.max(1));
        (free_mb * 1e6 / unit_bytes.max(1e-9)).max(0.0)
    }
}
