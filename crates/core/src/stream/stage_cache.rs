//! Reuse of the KV cache of a [`StageMachine`] in a new attempt, and import of another engine's.

use crate::time::MilliTime;

use super::CacheExport;
use super::StageAction;
use super::StageMachine;
use super::StreamOrder;

impl StageMachine {
    /// Adopts a cache that the engine has imported into the current session.
    ///
    /// Returns `None` if the cache must not be used:
    ///
    /// - It belongs to other layers, another model or version, or other tokens.
    /// - It extends beyond the tokens of the order; the preceding stage may lack those positions.
    /// - The stage is the head or has started to compute.
    ///
    /// An adopted cache only raises the position that the stage expects next.
    pub fn import_cache(&mut self, export: CacheExport) -> Option<Vec<StageAction>> {
        let route_stage = self.order.route.stages.get(self.stage);
        let count = export.inputs.len();
        let is_fresh = self.inputs.is_empty()
            && self.outputs.is_empty()
            && self.session.next_position == 0
            && self.session.running.is_none();
        let is_same_stage = route_stage.is_some_and(|stage| stage.range == export.range)
            && self.order.model == export.model
            && self.order.version == export.version;
        let has_known_tokens = count == export.outputs.len()
            && count == export.tokens.len() + 1
            && self.order.sent.starts_with(&export.tokens);
        if self.is_head() || !is_fresh || !is_same_stage || !has_known_tokens {
            return None;
        }
        self.session.next_position = count as u32;
        self.tokens = export.tokens;
        self.inputs = export.inputs;
        self.outputs = export.outputs;
        self.end = export.end.map(|reason| (count as u32, reason));
        let mut actions = Vec::new();
        self.forward_outputs(&mut actions);
        Some(actions)
    }

    /// Switches to a newer attempt, with the cache if it stays valid.
    pub(super) fn adopt_attempt(
        &mut self,
        order: StreamOrder,
        stage: usize,
        now: MilliTime,
        actions: &mut Vec<StageAction>,
    ) {
        if !self.can_keep_cache(&order, stage) {
            self.discard_cache(&order, actions);
        }
        if stage == 0 && self.tokens.len() < order.sent.len() {
            self.tokens = order.sent.clone();
        }
        self.order = order;
        self.stage = stage;
        self.start_attempt(now, actions);
    }

    /// Returns whether the cache and the outputs stay valid in a newer attempt.
    fn can_keep_cache(&self, order: &StreamOrder, stage: usize) -> bool {
        let range = |order: &StreamOrder, stage: usize| {
            let route_stage = order.route.stages.get(stage)?;
            Some((route_stage.range, stage == order.route.last_stage_index()))
        };
        let mut pairs = self.tokens.iter().zip(&order.sent);
        // Only tokens known to the head are part of the answer. Tokens beyond them were known to a
        // head that was lost, and an engine may sample different ones in their place.
        let is_ahead = self.tokens.len() > order.sent.len();
        let is_same_head = stage == 0 && order.attempt == self.order.attempt + 1;
        range(&self.order, self.stage) == range(order, stage)
            && order.version == self.order.version
            && pairs.all(|(known, sent)| known == sent)
            && (!is_ahead || is_same_head)
    }

    /// Frees the engine session and starts a new one.
    pub(super) fn restart_session(&mut self, attempt: u32, actions: &mut Vec<StageAction>) {
        let request = self.order.request.as_str();
        let session = self.session.restart(request, attempt);
        actions.push(StageAction::CancelSession { session });
    }

    fn discard_cache(&mut self, order: &StreamOrder, actions: &mut Vec<StageAction>) {
        self.restart_session(order.attempt, actions);
        self.tokens.clear();
        self.inputs.clear();
        self.outputs.clear();
        self.end = None;
        self.is_finished = false;
    }
}
