//! What a message does where it arrives.

use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_core::stream::StepReply;
use dandelionroad_core::stream::StreamOrder;

use super::sim_flight::Flight;
use super::sim_world::RANGES;
use super::sim_world::SimWorld;

impl SimWorld<'_> {
    pub(super) fn deliver_to_entry(&mut self, flight: Flight) {
        let actions = match flight {
            Flight::Event(_, event) => self.entry.handle_event(event, self.now),
            Flight::Lost(attempt) => self.entry.handle_stream_loss(attempt, self.now),
            _ => Vec::new(),
        };
        self.carry_out(actions);
    }

    pub(super) fn deliver_to_dead(&mut self, flight: Flight) {
        self.fail_sender(&flight, FaultKind::Unreachable);
        if let Flight::Open(order) = flight {
            let actions = self
                .entry
                .handle_open_failure(order.attempt, false, self.now);
            self.carry_out(actions);
        }
    }

    /// Lets the sender's deadline pass and keeps the message until the stage wakes.
    pub(super) fn deliver_to_frozen(&mut self, to: usize, mut flight: Flight) {
        self.fail_sender(&flight, FaultKind::Silent);
        if let Flight::Push(_, _, is_copy) | Flight::Return(_, _, is_copy) = &mut flight {
            *is_copy = true;
        }
        self.flights.push((to, flight));
        self.tick();
    }

    pub(super) fn deliver_to_stage(&mut self, at: usize, flight: Flight) {
        match flight {
            Flight::Step(session, position, range, payload) => {
                self.run_step(at, &session, position, range, &payload);
            }
            Flight::Push(from, message, is_copy) => {
                let attempt = message.attempt;
                let reply = self.push(at, message);
                if !is_copy {
                    let result = Flight::PushResult(attempt, Ok(reply));
                    self.flights.push((from, result));
                }
            }
            Flight::PushResult(attempt, result) => self.drive(at, |machine, now| match result {
                Ok(reply) => machine.handle_push_reply(attempt, reply, now),
                Err(kind) => machine.handle_push_failure(attempt, kind, now),
            }),
            Flight::Return(from, token, is_copy) => {
                let attempt = token.attempt;
                self.drive(at, |machine, now| {
                    machine.handle_returned_token(
                        attempt,
                        token.position,
                        token.text,
                        token.end,
                        now,
                    )
                });
                if !is_copy {
                    let result = Flight::ReturnResult(attempt, true);
                    self.flights.push((from, result));
                }
            }
            Flight::ReturnResult(attempt, is_acknowledged) => self.drive(at, |machine, now| {
                machine.handle_return_result(attempt, is_acknowledged, now)
            }),
            Flight::Fault(attempt, stage, kind) => self.drive(at, |machine, _| {
                machine.handle_fault_report(attempt, stage, kind)
            }),
            Flight::Cancel => self.drive(at, |machine, _| machine.cancel()),
            Flight::CancelSession(session) => {
                self.stages[at].sessions.remove(&session);
            }
            Flight::Open(order) => self.open(at, *order),
            Flight::Event(..) | Flight::Lost(_) => {}
        }
    }

    fn open(&mut self, at: usize, order: StreamOrder) {
        let attempt = order.attempt;
        let stage = &mut self.stages[at];
        let newest = stage.machine.as_ref().map(StageMachine::attempt);
        if newest
            .max(stage.closed)
            .is_some_and(|newest| newest >= attempt)
        {
            return;
        }
        stage.subscription = Some(attempt);
        match &mut stage.machine {
            Some(_) => self.drive(at, |machine, now| machine.reopen(order, now)),
            None => {
                let actions = stage.open(order, 0, self.now);
                self.spread(at, actions);
            }
        }
    }

    fn push(&mut self, at: usize, message: StepMessage) -> StepReply {
        let stage = &mut self.stages[at];
        if stage.machine.is_none() {
            if let Some(newest) = stage.closed.filter(|closed| *closed >= message.attempt) {
                return StepReply::Stale { newest };
            }
            let Some(order) = message.order.clone() else {
                return StepReply::Gap { expected: 0 };
            };
            let actions = stage.open(order, message.stage, self.now);
            self.spread(at, actions);
            self.offer_export(at);
        }
        for input in &message.inputs {
            let tokens = &mut self.stages[at].tokens;
            tokens.truncate(input.position as usize);
            if tokens.len() == input.position as usize {
                tokens.push(input.token.clone());
            }
        }
        let mut reply = StepReply::Accepted;
        self.drive(at, |machine, now| {
            let (answer, actions) = machine.handle_push(message, now);
            reply = answer;
            actions
        });
        reply
    }

    /// Offers the cache of any stage, which may be of other layers or ahead of the entry.
    fn offer_export(&mut self, at: usize) {
        let from = self.draw(RANGES.len());
        let Some((export, cache)) = self.stages[from].export().filter(|_| from != at) else {
            return;
        };
        let stage = &mut self.stages[at];
        let tokens = export.tokens.clone();
        let machine = stage.machine.as_mut();
        let Some(actions) = machine.and_then(|machine| machine.import_cache(export)) else {
            return;
        };
        let session = stage.machine.as_ref().map(StageMachine::session);
        stage
            .sessions
            .insert(session.unwrap_or_default().to_owned(), cache);
        stage.tokens = [vec![String::new()], tokens].concat();
        self.spread(at, actions);
    }

    fn run_step(
        &mut self,
        at: usize,
        session: &str,
        position: u32,
        range: LayerRange,
        payload: &StepPayload,
    ) {
        self.salt += 1;
        let sessions = &mut self.stages[at].sessions;
        let held = sessions.get(session).map_or(0, |held| held.inputs.len());
        if held as u32 != position {
            let kind = FaultKind::Refused;
            self.drive(at, |machine, now| {
                machine.handle_engine_failure(session, kind, now)
            });
            return;
        }
        let cache = sessions.entry(session.to_owned()).or_default();
        let output = cache.step(range, payload, self.salt, self.end_at);
        self.drive(at, |machine, now| {
            machine.handle_step_output(session, position, output, now)
        });
    }
}
