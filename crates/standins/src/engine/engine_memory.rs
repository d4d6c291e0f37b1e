use dandelionroad_clients::engine::EngineOrder;
use dandelionroad_clients::engine::EngineState;
use dandelionroad_core::stream::LayerRange;

use super::EngineStats;
use super::StepRecord;
use super::batch_job::BatchJob;
use super::layer_session::LayerSession;
use super::prefix_cache::PrefixCache;

/// The maximum number of step records; later steps are only counted.
const MAX_STEP_RECORDS: usize = 100_000;

/// The mutable state of an engine stand-in.
///
/// A crash clears the sessions, the queue and the prefix cache. The loaded model, the fencing
/// token, the counters and the step records survive.
pub(super) struct EngineMemory {
    /// The loaded model and the start time of the engine.
    pub(super) state: EngineState,
    /// The highest fencing token of an order that was carried out; survives a crash like a value on
    /// disk.
    pub(super) fence: u64,
    /// The number of orders so far that changed the model, its version or its layers, or unloaded it.
    pub(super) model_changes: u64,
    /// The sessions of a layer-range engine, sorted by name.
    pub(super) sessions: Vec<(String, LayerSession)>,
    /// The jobs that wait for a batch.
    pub(super) queue: Vec<BatchJob>,
    pub(super) cache: PrefixCache,
    pub(super) stats: EngineStats,
    /// The first steps that ran, in order.
    pub(super) step_records: Vec<StepRecord>,
}

impl EngineMemory {
    /// Applies an order, or returns the higher fencing token that makes it stale.
    pub(super) fn apply_order(
        &mut self,
        order: &EngineOrder,
        fence: u64,
        ignore_fence: bool,
    ) -> Result<(), u64> {
        if fence < self.fence && !ignore_fence {
            self.stats.rejected_orders += 1;
            return Err(self.fence);
        }
        self.fence = self.fence.max(fence);
        self.stats.orders += 1;
        match order {
            EngineOrder::Load {
                model,
                version,
                first_layer,
                end_layer,
                ..
            } => {
                let range = LayerRange::new(*first_layer, *end_layer);
                let held = (&self.state.model, self.state.version, self.state.range);
                if held != (model, *version, range) {
                    self.state.model.clone_from(model);
                    self.state.version = *version;
                    self.state.range = range;
                    self.start_model_change();
                }
            }
            EngineOrder::Unload { model, version } => {
                if self.state.model == *model && self.state.version == *version {
                    self.state.model.clear();
                    self.start_model_change();
                }
            }
        }
        Ok(())
    }

    /// Marks the engine as not ready and drops the sessions of the previous model.
    fn start_model_change(&mut self) {
        self.state.ready = false;
        self.model_changes += 1;
        self.sessions.clear();
    }

    /// Counts a step that ran, and keeps its record while there is room.
    pub(super) fn record_step(&mut self, record: StepRecord) {
        self.stats.steps += 1;
        if self.step_records.len() < MAX_STEP_RECORDS {
            self.step_records.push(record);
        }
    }
}
