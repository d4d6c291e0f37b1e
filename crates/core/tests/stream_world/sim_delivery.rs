//! Delivery of packets to the entry and to running, frozen and dead stages.

use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_core::stream::StepReply;
use dandelionroad_core::stream::StreamOrder;

use super::sim_packet::SimPacket;
use super::sim_world::RANGES;
use super::sim_world::SimWorld;

impl SimWorld<'_> {
    pub(super) fn deliver_to_entry(&mut self, packet: SimPacket) {
        let actions = match packet {
            SimPacket::Event(_, event) => self.entry.handle_event(event, self.now),
            SimPacket::ConnectionLost(attempt) => self.entry.handle_stream_loss(attempt, self.now),
            _ => Vec::new(),
        };
        self.run_entry_actions(actions);
    }

    pub(super) fn deliver_to_dead(&mut self, packet: SimPacket) {
        self.fail_sender(&packet, FaultKind::Unreachable);
        if let SimPacket::Open(order) = packet {
            let actions = self
                .entry
                .handle_open_failure(order.attempt, false, self.now);
            self.run_entry_actions(actions);
        }
    }

    /// Lets the sender's deadline expire and keeps the packet until the stage resumes.
    pub(super) fn deliver_to_frozen(&mut self, to: usize, mut packet: SimPacket) {
        self.fail_sender(&packet, FaultKind::Silent);
        if let SimPacket::Push(_, _, is_detached) | SimPacket::Return(_, _, is_detached) =
            &mut packet
        {
            *is_detached = true;
        }
        self.packets.push((to, packet));
        self.tick();
    }

    pub(super) fn deliver_to_stage(&mut self, at: usize, packet: SimPacket) {
        match packet {
            SimPacket::Step(session, position, range, payload) => {
                self.run_step(at, &session, position, range, &payload);
            }
            SimPacket::Push(from, message, is_detached) => {
                let attempt = message.attempt;
                let reply = self.push(at, message);
                if !is_detached {
                    let result = SimPacket::PushResult(attempt, Ok(reply));
                    self.packets.push((from, result));
                }
            }
            SimPacket::PushResult(attempt, result) => self.drive(at, |machine, now| match result {
                Ok(reply) => machine.handle_push_reply(attempt, reply, now),
                Err(kind) => machine.handle_push_failure(attempt, kind, now),
            }),
            SimPacket::Return(from, token, is_detached) => {
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
                if !is_detached {
                    let result = SimPacket::ReturnResult(attempt, true);
                    self.packets.push((from, result));
                }
            }
            SimPacket::ReturnResult(attempt, is_acknowledged) => self.drive(at, |machine, now| {
                machine.handle_return_result(attempt, is_acknowledged, now)
            }),
            SimPacket::Fault(attempt, stage, kind) => self.drive(at, |machine, _| {
                machine.handle_fault_report(attempt, stage, kind)
            }),
            SimPacket::Cancel => self.drive(at, |machine, _| machine.cancel()),
            SimPacket::CancelSession(session) => {
                self.stages[at].sessions.remove(&session);
            }
            SimPacket::Open(order) => self.open(at, *order),
            SimPacket::Event(..) | SimPacket::ConnectionLost(_) => {}
        }
    }

    fn open(&mut self, at: usize, order: StreamOrder) {
        let attempt = order.attempt;
        let stage = &mut self.stages[at];
        let newest = stage.machine.as_ref().map(StageMachine::attempt);
        if newest
            .max(stage.removed_attempt)
            .is_some_and(|newest| newest >= attempt)
        {
            return;
        }
        stage.subscription = Some(attempt);
        match &mut stage.machine {
            Some(_) => self.drive(at, |machine, now| machine.reopen(order, now)),
            None => {
                let actions = stage.open(order, 0, self.now);
                self.run_stage_actions(at, actions);
            }
        }
    }

    fn push(&mut self, at: usize, message: StepMessage) -> StepReply {
        let stage = &mut self.stages[at];
        if stage.machine.is_none() {
            if let Some(newest) = stage
                .removed_attempt
                .filter(|removed| *removed >= message.attempt)
            {
                return StepReply::Stale { newest };
            }
            let Some(order) = message.order.clone() else {
                return StepReply::Gap { expected: 0 };
            };
            let actions = stage.open(order, message.stage, self.now);
            self.run_stage_actions(at, actions);
            self.import_random_cache(at);
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

    /// Imports the cache of a random stage, which may be of other layers or ahead of the entry.
    fn import_random_cache(&mut self, at: usize) {
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
        self.run_stage_actions(at, actions);
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
        let output = cache.step(range, payload, self.salt, self.stop_length);
        self.drive(at, |machine, now| {
            machine.handle_step_output(session, position, output, now)
        });
    }
}
