use dandelionroad_clients::engine::EngineOrder;
use dandelionroad_clients::engine::EngineState;
use dandelionroad_core::stream::LayerRange;

use super::EngineStats;
use super::StepRecord;
use super::batch_job::BatchJob;
use super::layer_session::LayerSession;
use super::prefix_cache::PrefixCache;

/// The number of run records that are kept.
const KEPT_RUNS: usize = 100_000;

/// What an engine stand-in holds; a crash clears all but the counters.
pub(super) struct EngineMemory {
    /// The loaded model.
    pub(super) state: EngineState,
    /// The greatest fencing number that was obeyed. It outlives a crash, as if it were on disk.
    pub(super) fence: u64,
    /// The number of loads that were started.
    pub(super) load_number: u64,
    /// The sessions of a layer-range engine, sorted by name.
    pub(super) sessions: Vec<(String, LayerSession)>,
    /// The work that waits for a batch.
    pub(super) queue: Vec<BatchJob>,
    /// The prefix cache.
    pub(super) cache: PrefixCache,
    /// The counters.
    pub(super) stats: EngineStats,
    /// The steps that ran, in order.
    pub(super) step_records: Vec<StepRecord>,
}

impl EngineMemory {
    /// Applies an order, or returns the greater fencing number that was obeyed before.
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
                    self.start_load();
                }
            }
            EngineOrder::Unload { model, version } => {
                if self.state.model == *model && self.state.version == *version {
                    self.state.model.clear();
                    self.start_load();
                }
            }
        }
        Ok(())
    }

    fn start_load(&mut self) {
        self.state.ready = false;
        self.load_number += 1;
        self.sessions.clear();
    }

    /// Records a step that ran.
    pub(super) fn record_step(&mut self, record: StepRecord) {
        self.stats.steps += 1;
        if self.step_records.len() < KEPT_RUNS {
            self.step_records.push(record);
        }
    }
}
