use std::collections::VecDeque;

use dandelionroad_core::relay::AcceleratorKind;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::stream::LayerRange;

use super::engine_pass::EnginePass;
use super::prompt_work::PromptWork;

/// A simulated engine that works in passes over all that waits.
#[derive(Debug)]
pub(super) struct ChainEngine {
    pub(super) layers: LayerRange,
    pub(super) kind: AcceleratorKind,
    /// The memory for requests, in tokens times layers.
    pub(super) room: f64,
    /// The memory that requests take, in tokens times layers.
    pub(super) used: f64,
    /// The requests that it takes part in, the newest last.
    pub(super) running: Vec<usize>,
    pub(super) writers: Vec<usize>,
    pub(super) prompts: VecDeque<PromptWork>,
    /// The pass under way.
    pub(super) pass: Option<EnginePass>,
}

impl ChainEngine {
    pub(super) fn new(
        shape: &ModelShape,
        kind: &AcceleratorKind,
        layers: LayerRange,
    ) -> ChainEngine {
        ChainEngine {
            layers,
            kind: kind.clone(),
            room: shape.kv_capacity_units(kind.memory_mb, layers.len()),
            used: 0.0,
            running: Vec::new(),
            writers: Vec::new(),
            prompts: VecDeque::new(),
            pass: None,
        }
    }

    /// Begins a pass over what waits; returns its time in milliseconds, none if nothing waits.
    pub(super) fn begin_pass(&mut self, shape: &ModelShape) -> Option<f64> {
        if self.pass.is_some() || self.writers.is_empty() && self.prompts.is_empty() {
            return None;
        }
        let share = f64::from(self.layers.len()) / f64::from(shape.layers.max(1));
        let mut pass = EnginePass {
            written: std::mem::take(&mut self.writers),
            read: Vec::new(),
        };
        let mut chunk = shape.chunk_tokens;
        while chunk > 0.0
            && let Some(prompt) = self.prompts.front_mut()
        {
            let taken = prompt.tokens_left.min(chunk);
            prompt.tokens_left -= taken;
            chunk -= taken;
            if prompt.tokens_left <= 0.0 {
                pass.read
                    .extend(self.prompts.pop_front().map(|prompt| prompt.request));
            }
        }
        let read_ms =
            (shape.chunk_tokens - chunk) / shape.read_per_ms.max(1e-9) * self.kind.read_factor;
        let context = shape.usual_prompt + shape.usual_answer / 2.0;
        let writer_ms = shape.decode_ms(context);
        let writers = pass.written.len() as f64;
        let step_ms = (shape.step_ms + writer_ms * writers) * self.kind.step_factor;
        let steps_ms = match pass.written.is_empty() {
            true => shape.step_ms * self.kind.step_factor,
            false => step_ms * shape.pass_steps,
        };
        self.pass = Some(pass);
        Some((steps_ms + read_ms) * share)
    }

    /// Removes a request from all queues.
    pub(super) fn forget(&mut self, request: usize) {
        self.running.retain(|own| *own != request);
        self.writers.retain(|own| *own != request);
        self.prompts.retain(|prompt| prompt.request != request);
        if let Some(pass) = &mut self.pass {
            pass.written.retain(|own| *own != request);
            pass.read.retain(|own| *own != request);
        }
    }
}
