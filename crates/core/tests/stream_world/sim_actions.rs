//! What the machines ask for, and the check of the answer.

use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::RouteStage;
use dandelionroad_core::stream::StageAction;
use dandelionroad_core::stream::StreamAction;

use super::sim_engine::LAYERS;
use super::sim_engine::check_answer;
use super::sim_flight::Flight;
use super::sim_flight::SimToken;
use super::sim_world::ENTRY;
use super::sim_world::PROMPT;
use super::sim_world::SimWorld;

impl SimWorld<'_> {
    pub(super) fn spread(&mut self, at: usize, actions: Vec<StageAction>) {
        for action in actions {
            self.spread_one(at, action);
        }
    }

    fn spread_one(&mut self, at: usize, action: StageAction) {
        let parse = |address: String| address.parse::<usize>().unwrap();
        let flight = match action {
            StageAction::RunStep {
                session,
                position,
                range,
                payload,
                ..
            } => (at, Flight::Step(session, position, range, payload)),
            StageAction::Push { address, message } => {
                (parse(address), Flight::Push(at, message, false))
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
                (parse(address), Flight::Return(at, token, false))
            }
            StageAction::Emit(event) => {
                let Some(attempt) = self.stages[at].subscription else {
                    return;
                };
                (ENTRY, Flight::Event(attempt, event))
            }
            StageAction::ReportFault {
                address,
                attempt,
                stage,
                kind,
            } => (parse(address), Flight::Fault(attempt, stage, kind)),
            StageAction::CancelSession { session } => (at, Flight::CancelSession(session)),
            StageAction::CancelStages { addresses } => {
                let cancels = addresses.into_iter().map(|to| (parse(to), Flight::Cancel));
                self.flights.extend(cancels);
                return;
            }
            StageAction::Forget => {
                let stage = &mut self.stages[at];
                stage.closed = stage.machine.take().map(|machine| machine.attempt());
                stage.subscription = None;
                return;
            }
            StageAction::Generate { .. } => unreachable!("the engines hold ranges of layers"),
        };
        self.flights.push(flight);
    }

    pub(super) fn carry_out(&mut self, actions: Vec<StreamAction>) {
        for action in actions {
            match action {
                StreamAction::ChooseRoute { current, replace } => {
                    let route = self.choose_route(current, replace);
                    let actions = self.entry.handle_route(route, self.now);
                    self.carry_out(actions);
                }
                StreamAction::CountCrash { must_wait: true } => {
                    let actions = self.entry.handle_crash_count(true, self.now);
                    self.carry_out(actions);
                }
                StreamAction::CountCrash { must_wait: false } => {}
                StreamAction::Open { order, .. } => {
                    let to = order.route.stages[0].address.parse().unwrap();
                    self.flights.push((to, Flight::Open(order)));
                }
                StreamAction::Deliver { text } => self.delivered.push(text),
                StreamAction::Finish { tokens, .. } => self.ending = Some(Ok(tokens)),
                StreamAction::Fail(failure) => self.ending = Some(Err(failure)),
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
            if let Some(cover) = self.cover(range, &route.stages) {
                stages.splice(failed..=failed, cover);
                return Some(ChainRoute { stages });
            }
        }
        let stages = self.cover(LayerRange::new(0, LAYERS), &[])?;
        Some(ChainRoute { stages })
    }

    /// Covers a range with stages drawn at random, which need not be the longest ones.
    fn cover(&mut self, range: LayerRange, used: &[RouteStage]) -> Option<Vec<RouteStage>> {
        let mut stages: Vec<RouteStage> = Vec::new();
        let mut next = range.first;
        while next < range.end {
            let excluded = self.entry.excluded();
            let fits: Vec<usize> = (0..self.stages.len())
                .filter(|index| {
                    let stage = &self.stages[*index];
                    let is_used = |used: &RouteStage| used.endpoint == stage.name;
                    stage.range.first <= next
                        && stage.range.end > next
                        && excluded.binary_search(&stage.name).is_err()
                        && !used.iter().chain(&stages).any(is_used)
                })
                .collect();
            if fits.is_empty() {
                return None;
            }
            let index = fits[self.draw(fits.len())];
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
        let whole = self.end_at.min(self.entry.order().max_tokens);
        match self.ending.expect("the entry has told the caller the end") {
            Ok(tokens) => {
                assert_eq!(tokens, whole);
                assert_eq!(
                    self.delivered.len(),
                    whole as usize,
                    "the answer has a hole"
                );
            }
            Err(failure) => {
                assert_eq!(failure.reason, RefusalReason::Crasher, "given up too early");
                let losses = self.kills + self.engine_crashes + self.lost_connections;
                assert!(losses >= 2, "refused after {losses} losses");
                assert!(self.delivered.len() < whole as usize);
            }
        }
    }
}
