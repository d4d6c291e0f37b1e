//! Execution of the actions that the machines return, and the check of the result.

use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::RouteStage;
use dandelionroad_core::stream::StageAction;
use dandelionroad_core::stream::StreamAction;

use super::sim_engine::LAYERS;
use super::sim_engine::check_answer;
use super::sim_packet::SimPacket;
use super::sim_packet::SimToken;
use super::sim_world::ENTRY;
use super::sim_world::PROMPT;
use super::sim_world::SimWorld;

impl SimWorld<'_> {
    pub(super) fn run_stage_actions(&mut self, at: usize, actions: Vec<StageAction>) {
        for action in actions {
            self.run_stage_action(at, action);
        }
    }

    fn run_stage_action(&mut self, at: usize, action: StageAction) {
        let parse = |address: String| address.parse::<usize>().unwrap();
        let packet = match action {
            StageAction::RunStep {
                session,
                position,
                range,
                payload,
                ..
            } => (at, SimPacket::Step(session, position, range, payload)),
            StageAction::Push { address, message } => {
                (parse(address), SimPacket::Push(at, message, false))
            }
            StageAction::ReturnToken {
                address,
                attempt,
                position,
                text,
                end,
                ..
            } => {
                let token = SimToken {
                    attempt,
                    position,
                    text,
                    end,
                };
                (parse(address), SimPacket::Return(at, token, false))
            }
            StageAction::Emit(event) => {
                let Some(attempt) = self.stages[at].subscription else {
                    return;
                };
                (ENTRY, SimPacket::Event(attempt, event))
            }
            StageAction::ReportFault {
                address,
                attempt,
                stage,
                kind,
            } => (parse(address), SimPacket::Fault(attempt, stage, kind)),
            StageAction::CancelSession { session } => (at, SimPacket::CancelSession(session)),
            StageAction::CancelStages { addresses } => {
                let cancels = addresses
                    .into_iter()
                    .map(|to| (parse(to), SimPacket::Cancel));
                self.packets.extend(cancels);
                return;
            }
            StageAction::Forget => {
                let stage = &mut self.stages[at];
                stage.removed_attempt = stage.machine.take().map(|machine| machine.attempt());
                stage.subscription = None;
                return;
            }
            StageAction::Generate { .. } => unreachable!("no engine holds the whole model"),
        };
        self.packets.push(packet);
    }

    pub(super) fn run_entry_actions(&mut self, actions: Vec<StreamAction>) {
        for action in actions {
            match action {
                StreamAction::ChooseRoute { current, replace } => {
                    let route = self.choose_route(current, replace);
                    let actions = self.entry.handle_route(route, self.now);
                    self.run_entry_actions(actions);
                }
                StreamAction::CountCrash { must_wait: true } => {
                    let actions = self.entry.handle_crash_count(true, self.now);
                    self.run_entry_actions(actions);
                }
                StreamAction::CountCrash { must_wait: false } => {}
                StreamAction::Open { order, .. } => {
                    let to = order.route.stages[0].address.parse().unwrap();
                    self.packets.push((to, SimPacket::Open(order)));
                }
                StreamAction::Deliver { text } => self.delivered.push(text),
                StreamAction::Finish { tokens, .. } => self.result = Some(Ok(tokens)),
                StreamAction::Fail(failure) => self.result = Some(Err(failure)),
            }
        }
    }

    fn choose_route(
        &mut self,
        current: Option<ChainRoute>,
        replace: Option<usize>,
    ) -> Option<ChainRoute> {
        if let Some((route, failed)) = current.zip(replace) {
            let mut stages = route.stages.clone();
            let range = stages[failed].range;
            if let Some(cover) = self.cover_range(range, &route.stages) {
                stages.splice(failed..=failed, cover);
                return Some(ChainRoute { stages });
            }
        }
        let stages = self.cover_range(LayerRange::new(0, LAYERS), &[])?;
        Some(ChainRoute { stages })
    }

    /// Covers a range with stages drawn at random, of any length.
    fn cover_range(&mut self, range: LayerRange, used: &[RouteStage]) -> Option<Vec<RouteStage>> {
        let mut stages: Vec<RouteStage> = Vec::new();
        let mut next = range.first;
        while next < range.end {
            let excluded = self.entry.excluded();
            let candidates: Vec<usize> = (0..self.stages.len())
                .filter(|index| {
                    let stage = &self.stages[*index];
                    let is_used = |used: &RouteStage| used.endpoint == stage.name;
                    stage.range.first <= next
                        && stage.range.end > next
                        && excluded.binary_search(&stage.name).is_err()
                        && !used.iter().chain(&stages).any(is_used)
                })
                .collect();
            if candidates.is_empty() {
                return None;
            }
            let index = candidates[self.draw(candidates.len())];
            let end = self.stages[index].range.end.min(range.end);
            stages.push(RouteStage {
                endpoint: self.stages[index].name.clone(),
                address: index.to_string(),
                range: LayerRange::new(next, end),
            });
            next = end;
        }
        Some(stages)
    }

    pub(super) fn check(&self) {
        check_answer(PROMPT, &self.delivered);
        let length = self.stop_length.min(self.entry.order().max_tokens);
        match self.result.expect("the entry has ended the request") {
            Ok(tokens) => {
                assert_eq!(tokens, length);
                assert_eq!(
                    self.delivered.len(),
                    length as usize,
                    "the delivered answer is incomplete"
                );
            }
            Err(failure) => {
                assert_eq!(
                    failure.reason,
                    RefusalReason::Crasher,
                    "failed without crashes"
                );
                let losses = self.kills + self.engine_crashes + self.lost_connections;
                assert!(losses >= 2, "refused as a crasher after {losses} losses");
                assert!(self.delivered.len() < length as usize);
            }
        }
    }
}
