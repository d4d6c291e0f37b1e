//! When a [`StageMachine`] keeps its cache, and when it starts over.

use crate::time::MilliTime;

use super::CacheExport;
use super::StageAction;
use super::StageMachine;
use super::StreamOrder;

impl StageMachine {
    /// Takes a cache that the engine has imported into the present session, or returns `None` if it
    /// must not be used.
    ///
    /// A cache only raises the expected position. One of other layers, another version, other
    /// tokens, or of positions that the preceding stage need not have, is ignored.
    pub fn import_cache(&mut self, export: CacheExport) -> Option<Vec<StageAction>> {
        let entry = self.order.route.stages.get(self.stage);
        let count = export.inputs.len();
        let is_fresh = self.inputs.is_empty()
            && self.outputs.is_empty()
            && self.session.computed == 0
            && self.session.running.is_none();
        let is_same = entry.is_some_and(|entry| entry.range == export.range)
            && self.order.model == export.model
            && self.order.version == export.version;
        let is_known = count == export.outputs.len()
            && count == export.tokens.len() + 1
            && self.order.sent.starts_with(&export.tokens);
        if self.is_head() || !is_fresh || !is_same || !is_known {
            return None;
        }
        self.session.computed = count as u32;
        self.tokens = export.tokens;
        self.inputs = export.inputs;
        self.outputs = export.outputs;
        self.end = export.end.map(|reason| (count as u32, reason));
        let mut actions = Vec::new();
        self.hand_on(&mut actions);
        Some(actions)
    }

    /// Adopts a newer attempt.
    pub(super) fn adopt(
        &mut self,
        order: StreamOrder,
        stage: usize,
        now: MilliTime,
        actions: &mut Vec<StageAction>,
    ) {
        if !self.keeps_cache(&order, stage) {
            self.start_over(&order, actions);
        }
        if stage == 0 && self.tokens.len() < order.sent.len() {
            self.tokens = order.sent.clone();
        }
        self.order = order;
        self.stage = stage;
        self.start_attempt(now, actions);
    }

    /// Returns whether cache and outputs stay valid under a newer attempt.
    fn keeps_cache(&self, order: &StreamOrder, stage: usize) -> bool {
        let range = |order: &StreamOrder, stage: usize| {
            let entry = order.route.stages.get(stage)?;
            Some((entry.range, stage == order.route.last_stage_index()))
        };
        let mut pairs = self.tokens.iter().zip(&order.sent);
        // The tokens of the head count. What was computed from others may not be part of the
        // answer, for the head that knew them is gone and an engine may sample other ones.
        let is_ahead = self.tokens.len() > order.sent.len();
        let is_same_head = stage == 0 && order.attempt == self.order.attempt + 1;
        range(&self.order, self.stage) == range(order, stage)
            && order.version == self.order.version
            && pairs.all(|(known, sent)| known == sent)
            && (!is_ahead || is_same_head)
    }

    pub(super) fn restart_session(&mut self, attempt: u32, actions: &mut Vec<StageAction>) {
        let request = self.order.request.as_str();
        let session = self.session.restart(request, attempt);
        actions.push(StageAction::CancelSession { session });
    }

    fn start_over(&mut self, order: &StreamOrder, actions: &mut Vec<StageAction>) {
        self.restart_session(order.attempt, actions);
        self.tokens.clear();
        self.inputs.clear();
        self.outputs.clear();
        self.end = None;
        self.is_finished = false;
    }
}
