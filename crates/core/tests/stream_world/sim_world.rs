use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StageAction;
use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamFailure;
use dandelionroad_core::stream::StreamLimits;
use dandelionroad_core::stream::StreamMachine;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;

use super::sim_packet::SimPacket;
use super::sim_stage::STEP_DEADLINE_MS;
use super::sim_stage::SimStage;

pub(super) const RANGES: [(u16, u16); 7] =
    [(0, 4), (0, 6), (3, 9), (4, 8), (4, 9), (8, 12), (7, 12)];
pub(super) const ENTRY: usize = usize::MAX;
pub(super) const PROMPT: &str = "two knots";
/// The maximum number of rounds; a request that has not ended by then fails the test.
const MAX_ROUNDS: usize = 50_000;

/// A simulation of one request over failing stages.
///
/// Every choice is read from the bytes of the test input. After the last byte all stages recover
/// and no more faults are injected, so that the request must end.
pub(crate) struct SimWorld<'a> {
    /// The rest of the test input.
    pub(super) bytes: &'a [u8],
    pub(super) now: MilliTime,
    pub(super) stages: Vec<SimStage>,
    /// The packets in flight with the index of the receiving stage, or `ENTRY`.
    pub(super) packets: Vec<(usize, SimPacket)>,
    pub(super) entry: StreamMachine,
    pub(super) delivered: Vec<String>,
    /// How the request ended: the number of tokens or the failure.
    pub(super) result: Option<Result<u32, StreamFailure>>,
    /// The number of killed processes.
    pub(super) kills: u32,
    max_kills: u32,
    pub(super) engine_crashes: u32,
    pub(super) lost_connections: u32,
    /// Incremented with each engine step, so that a position sampled again yields another token.
    pub(super) salt: u64,
    /// The number of tokens after which the model ends its answer.
    pub(super) stop_length: u32,
}

impl<'a> SimWorld<'a> {
    pub(crate) fn run(bytes: &'a [u8]) {
        let order = StreamOrder {
            request: RequestIdent::parse("request").unwrap(),
            attempt: 0,
            account: AccountName::parse("account").unwrap(),
            weight: 1,
            priority: 0,
            model: ModelName::parse("model").unwrap(),
            version: 1,
            fingerprint: String::new(),
            suspect: false,
            route: ChainRoute { stages: Vec::new() },
            prompt: PROMPT.to_owned(),
            sent: Vec::new(),
            max_tokens: 9,
            deadline_in_ms: 0,
        };
        let limits = StreamLimits {
            silence_ms: STEP_DEADLINE_MS / 2,
            reopen_ms: STEP_DEADLINE_MS,
            max_attempts: u32::MAX,
            route_retry_ms: 200,
        };
        let now = MilliTime::from_millis(0);
        let (entry, actions) = StreamMachine::start(limits, order, MilliTime::MAX, now);
        let ranges = RANGES.iter().enumerate();
        let stages =
            ranges.map(|(index, (first, end))| SimStage::new(index, LayerRange::new(*first, *end)));
        let mut world = SimWorld {
            bytes,
            now,
            stages: stages.collect(),
            packets: Vec::new(),
            entry,
            delivered: Vec::new(),
            result: None,
            kills: 0,
            max_kills: 0,
            engine_crashes: 0,
            lost_connections: 0,
            salt: 0,
            stop_length: 0,
        };
        world.stop_length = 3 + world.draw(9) as u32;
        world.max_kills = world.draw(4) as u32;
        world.run_entry_actions(actions);
        world.run_to_end();
        world.check();
    }

    pub(super) fn draw(&mut self, below: usize) -> usize {
        let Some((first, rest)) = self.bytes.split_first() else {
            return 0;
        };
        self.bytes = rest;
        usize::from(*first) % below
    }

    fn run_to_end(&mut self) {
        for _ in 0..MAX_ROUNDS {
            if self.entry.is_done() {
                return;
            }
            if self.bytes.is_empty() {
                self.recover_stages();
                self.deliver(0);
            } else {
                self.run_random_round();
            }
        }
        panic!(
            "the request has not ended after {MAX_ROUNDS} rounds; delivered {:?}",
            self.delivered
        );
    }

    fn recover_stages(&mut self) {
        for stage in &mut self.stages {
            stage.is_alive = true;
            stage.is_frozen = false;
        }
    }

    fn run_random_round(&mut self) {
        let at = self.draw(RANGES.len());
        match self.draw(64) {
            0 | 1 => self.stages[at].is_frozen = true,
            2..=5 => self.stages[at].is_frozen = false,
            6 if self.kills < self.max_kills => self.kill(at),
            7 if self.kills < self.max_kills => self.kill_head_and_last(),
            8 | 9 => self.stages[at].is_alive = true,
            10 if self.engine_crashes == 0 => self.crash_engine(at),
            11 => self.stages[at].sessions.clear(),
            12..=14 => self.drop_packet(),
            15..=18 => self.duplicate_packet(),
            19..=22 => self.tick(),
            _ => {
                let count = self.packets.len().max(1);
                let index = self.draw(count);
                self.deliver(index);
            }
        }
    }

    /// Kills the head and the last stage, the two that know the newest tokens.
    fn kill_head_and_last(&mut self) {
        let stages = &self.entry.order().route.stages;
        let ends = [stages.first(), stages.last()];
        let ends = ends.map(|end| end.and_then(|end| end.address.parse().ok()));
        for at in ends.into_iter().flatten() {
            self.kill(at);
        }
    }

    fn kill(&mut self, at: usize) {
        let stage = &mut self.stages[at];
        if !stage.is_alive {
            return;
        }
        stage.is_alive = false;
        let subscription = stage.subscription;
        self.kills += 1;
        stage.clear();
        self.packets
            .retain(|(to, packet)| *to != at || !matches!(packet, SimPacket::Step(..)));
        if let Some(attempt) = subscription {
            self.break_subscription(attempt);
        }
    }

    fn crash_engine(&mut self, at: usize) {
        let is_step =
            |(to, packet): &(usize, SimPacket)| *to == at && matches!(packet, SimPacket::Step(..));
        let Some(index) = self.packets.iter().position(is_step) else {
            return;
        };
        let (_, SimPacket::Step(session, ..)) = self.packets.remove(index) else {
            return;
        };
        self.engine_crashes += 1;
        self.stages[at].sessions.clear();
        self.drive(at, |machine, now| {
            machine.handle_engine_failure(&session, FaultKind::EngineCrash, now)
        });
    }

    pub(super) fn break_subscription(&mut self, attempt: u32) {
        self.lost_connections += 1;
        self.packets
            .retain(|(_, packet)| !matches!(packet, SimPacket::Event(open, _) if *open == attempt));
        self.packets
            .push((ENTRY, SimPacket::ConnectionLost(attempt)));
    }

    fn drop_packet(&mut self) {
        let count = self.packets.len().max(1);
        let index = self.draw(count);
        let Some((_, packet)) = self.packets.get(index).cloned() else {
            return;
        };
        match packet {
            SimPacket::Push(..) | SimPacket::Return(..) => {
                self.packets.remove(index);
                self.fail_sender(&packet, FaultKind::Silent);
            }
            SimPacket::Fault(..) | SimPacket::Cancel => {
                self.packets.remove(index);
            }
            SimPacket::Event(attempt, _) => self.break_subscription(attempt),
            SimPacket::Open(order) => {
                self.packets.remove(index);
                self.break_subscription(order.attempt);
            }
            _ => {}
        }
    }

    fn duplicate_packet(&mut self) {
        let count = self.packets.len().max(1);
        let index = self.draw(count);
        let Some((to, mut packet)) = self.packets.get(index).cloned() else {
            return;
        };
        match &mut packet {
            SimPacket::Push(_, _, is_detached) | SimPacket::Return(_, _, is_detached) => {
                *is_detached = true
            }
            SimPacket::Fault(..) => {}
            _ => return,
        }
        self.packets.push((to, packet));
    }

    /// Reports to the sender of a packet that there is no reply, if it waits for one.
    pub(super) fn fail_sender(&mut self, packet: &SimPacket, kind: FaultKind) {
        let result = match packet {
            SimPacket::Push(from, message, false) => {
                (*from, SimPacket::PushResult(message.attempt, Err(kind)))
            }
            SimPacket::Return(from, token, false) => {
                (*from, SimPacket::ReturnResult(token.attempt, false))
            }
            _ => return,
        };
        self.packets.push(result);
    }

    pub(super) fn tick(&mut self) {
        self.now = self.now.plus(50);
        for at in 0..self.stages.len() {
            if !self.stages[at].is_alive || self.stages[at].is_frozen {
                continue;
            }
            self.drive(at, StageMachine::tick);
            if let Some(attempt) = self.stages[at].subscription {
                let event = StreamEvent::Progress { attempt };
                self.packets.push((ENTRY, SimPacket::Event(attempt, event)));
            }
        }
        let actions = self.entry.tick(self.now);
        self.run_entry_actions(actions);
    }

    fn deliver(&mut self, index: usize) {
        let Some((to, packet)) = self.packets.get(index) else {
            self.tick();
            return;
        };
        let to = *to;
        // The events of one subscription arrive in order.
        let index = match packet {
            SimPacket::Event(wanted, _) => {
                let is_same = |(_, packet): &(usize, SimPacket)| matches!(packet, SimPacket::Event(open, _) if open == wanted);
                self.packets.iter().position(is_same).unwrap_or(index)
            }
            _ => index,
        };
        let (_, packet) = self.packets.remove(index);
        if to == ENTRY {
            self.deliver_to_entry(packet);
        } else if !self.stages[to].is_alive {
            self.deliver_to_dead(packet);
        } else if self.stages[to].is_frozen {
            self.deliver_to_frozen(to, packet);
        } else {
            self.deliver_to_stage(to, packet);
        }
    }

    pub(super) fn drive(
        &mut self,
        at: usize,
        event: impl FnOnce(&mut StageMachine, MilliTime) -> Vec<StageAction>,
    ) {
        if let Some(machine) = &mut self.stages[at].machine {
            let actions = event(machine, self.now);
            self.run_stage_actions(at, actions);
        }
    }
}
