use std::collections::VecDeque;

use dandelionroad_core::relay::AcceleratorKind;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::stream::LayerRange;

use super::engine_pass::EnginePass;
use super::prefill_work::PrefillWork;

/// A simulated engine that holds a range of layers.
///
/// It works in passes. A pass prefills a chunk of the queued prompts and decodes all requests that wait
/// for their next tokens. Its time follows the cost model of [`ModelShape`].
#[derive(Debug)]
pub(super) struct ChainEngine {
    pub(super) layers: LayerRange,
    pub(super) kind: AcceleratorKind,
    /// The KV memory beside the weights, in tokens times layers.
    pub(super) kv_capacity: f64,
    /// The KV memory in use, in tokens times layers.
    pub(super) kv_used: f64,
    /// The requests whose chains it is part of, the newest last.
    pub(super) running: Vec<usize>,
    /// The requests that wait for the next pass to decode tokens.
    pub(super) decode_queue: Vec<usize>,
    /// The prompts that are not fully prefilled, in order of arrival.
    pub(super) prefill_queue: VecDeque<PrefillWork>,
    /// The pass in progress.
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
            kv_capacity: shape.kv_capacity_units(kind.memory_mb, layers.len()),
            kv_used: 0.0,
            running: Vec::new(),
            decode_queue: Vec::new(),
            prefill_queue: VecDeque::new(),
            pass: None,
        }
    }

    /// Starts a pass over the waiting work; returns its duration in milliseconds.
    ///
    /// Returns none if no work waits or a pass is in progress.
    pub(super) fn begin_pass(&mut self, shape: &ModelShape) -> Option<f64> {
        if self.pass.is_some() || self.decode_queue.is_empty() && self.prefill_queue.is_empty() {
            return None;
        }
        let layer_share = f64::from(self.layers.len()) / f64::from(shape.layers.max(1));
        let mut pass = EnginePass {
            decoded: std::mem::take(&mut self.decode_queue),
            prefilled: Vec::new(),
        };
        let mut chunk_left = shape.chunk_tokens;
        while chunk_left > 0.0
            && let Some(prefill) = self.prefill_queue.front_mut()
        {
            let taken = prefill.tokens_left.min(chunk_left);
            prefill.tokens_left -= taken;
            chunk_left -= taken;
            if prefill.tokens_left <= 0.0 {
                pass.prefilled.extend(
                    self.prefill_queue
                        .pop_front()
                        .map(|prefill| prefill.request),
                );
            }
        }
        let prefill_ms =
            (shape.chunk_tokens - chunk_left) / shape.read_per_ms.max(1e-9) * self.kind.read_factor;
        let context = shape.usual_prompt + shape.usual_answer / 2.0;
        let sequence_ms = shape.decode_ms(context);
        let batch = pass.decoded.len() as f64;
        let step_ms = (shape.step_ms + sequence_ms * batch) * self.kind.step_factor;
        let decode_ms = match pass.decoded.is_empty() {
            true => shape.step_ms * self.kind.step_factor,
            false => step_ms * shape.pass_steps,
        };
        self.pass = Some(pass);
        Some((decode_ms + prefill_ms) * layer_share)
    }

    /// Removes a request from the queues and from the pass in progress.
    pub(super) fn remove_request(&mut self, request: usize) {
        self.running.retain(|other| *other != request);
        self.decode_queue.retain(|other| *other != request);
        self.prefill_queue
            .retain(|prefill| prefill.request != request);
        if let Some(pass) = &mut self.pass {
            pass.decoded.retain(|other| *other != request);
            pass.prefilled.retain(|other| *other != request);
        }
    }
}
