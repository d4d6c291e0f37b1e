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

use super::sim_flight::Flight;
use super::sim_stage::STEP_DEADLINE_MS;
use super::sim_stage::SimStage;

pub(super) const RANGES: [(u16, u16); 7] =
    [(0, 4), (0, 6), (3, 9), (4, 8), (4, 9), (8, 12), (7, 12)];
pub(super) const ENTRY: usize = usize::MAX;
pub(super) const PROMPT: &str = "two knots";
/// Enough for any schedule that ends; a schedule that needs more does not end.
const MAX_ROUNDS: usize = 50_000;

/// One request over stages that fail; every choice comes from the bytes of the test's input, and
/// when they are used up there are no more faults.
pub(crate) struct SimWorld<'a> {
    pub(super) bytes: &'a [u8],
    pub(super) now: MilliTime,
    pub(super) stages: Vec<SimStage>,
    pub(super) flights: Vec<(usize, Flight)>,
    pub(super) entry: StreamMachine,
    pub(super) delivered: Vec<String>,
    pub(super) ending: Option<Result<u32, StreamFailure>>,
    /// The processes that died.
    pub(super) kills: u32,
    max_kills: u32,
    pub(super) engine_crashes: u32,
    pub(super) lost_connections: u32,
    pub(super) salt: u64,
    pub(super) end_at: u32,
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
            flights: Vec::new(),
            entry,
            delivered: Vec::new(),
            ending: None,
            kills: 0,
            max_kills: 0,
            engine_crashes: 0,
            lost_connections: 0,
            salt: 0,
            end_at: 0,
        };
        world.end_at = 3 + world.draw(9) as u32;
        world.max_kills = world.draw(4) as u32;
        world.carry_out(actions);
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
                self.heal();
                self.deliver(0);
            } else {
                self.random_round();
            }
        }
        panic!("no end; delivered {:?}", self.delivered);
    }

    fn heal(&mut self) {
        for stage in &mut self.stages {
            stage.is_alive = true;
            stage.is_frozen = false;
        }
    }

    fn random_round(&mut self) {
        let at = self.draw(RANGES.len());
        match self.draw(64) {
            0 | 1 => self.stages[at].is_frozen = true,
            2..=5 => self.stages[at].is_frozen = false,
            6 if self.kills < self.max_kills => self.kill(at),
            7 if self.kills < self.max_kills => self.kill_head_and_last(),
            8 | 9 => self.stages[at].is_alive = true,
            10 if self.engine_crashes == 0 => self.crash_engine(at),
            11 => self.stages[at].sessions.clear(),
            12..=14 => self.lose_one(),
            15..=18 => self.copy_one(),
            19..=22 => self.tick(),
            _ => {
                let count = self.flights.len().max(1);
                let index = self.draw(count);
                self.deliver(index);
            }
        }
    }

    /// Kills the two stages that know the newest tokens.
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
        self.flights
            .retain(|(to, flight)| *to != at || !matches!(flight, Flight::Step(..)));
        if let Some(attempt) = subscription {
            self.break_subscription(attempt);
        }
    }

    fn crash_engine(&mut self, at: usize) {
        let is_step =
            |(to, flight): &(usize, Flight)| *to == at && matches!(flight, Flight::Step(..));
        let Some(index) = self.flights.iter().position(is_step) else {
            return;
        };
        let (_, Flight::Step(session, ..)) = self.flights.remove(index) else {
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
        self.flights
            .retain(|(_, flight)| !matches!(flight, Flight::Event(open, _) if *open == attempt));
        self.flights.push((ENTRY, Flight::Lost(attempt)));
    }

    fn lose_one(&mut self) {
        let count = self.flights.len().max(1);
        let index = self.draw(count);
        let Some((_, flight)) = self.flights.get(index).cloned() else {
            return;
        };
        match flight {
            Flight::Push(..) | Flight::Return(..) => {
                self.flights.remove(index);
                self.fail_sender(&flight, FaultKind::Silent);
            }
            Flight::Fault(..) | Flight::Cancel => {
                self.flights.remove(index);
            }
            Flight::Event(attempt, _) => self.break_subscription(attempt),
            Flight::Open(order) => {
                self.flights.remove(index);
                self.break_subscription(order.attempt);
            }
            _ => {}
        }
    }

    fn copy_one(&mut self) {
        let count = self.flights.len().max(1);
        let index = self.draw(count);
        let Some((to, mut flight)) = self.flights.get(index).cloned() else {
            return;
        };
        match &mut flight {
            Flight::Push(_, _, is_copy) | Flight::Return(_, _, is_copy) => *is_copy = true,
            Flight::Fault(..) => {}
            _ => return,
        }
        self.flights.push((to, flight));
    }

    /// Tells the sender of a message, if it waits, that there is no reply.
    pub(super) fn fail_sender(&mut self, flight: &Flight, kind: FaultKind) {
        let result = match flight {
            Flight::Push(from, message, false) => {
                (*from, Flight::PushResult(message.attempt, Err(kind)))
            }
            Flight::Return(from, token, false) => {
                (*from, Flight::ReturnResult(token.attempt, false))
            }
            _ => return,
        };
        self.flights.push(result);
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
                self.flights.push((ENTRY, Flight::Event(attempt, event)));
            }
        }
        let actions = self.entry.tick(self.now);
        self.carry_out(actions);
    }

    fn deliver(&mut self, index: usize) {
        let Some((to, flight)) = self.flights.get(index) else {
            self.tick();
            return;
        };
        let to = *to;
        // The events of one subscription arrive in order.
        let index = match flight {
            Flight::Event(wanted, _) => {
                let is_same = |(_, flight): &(usize, Flight)| matches!(flight, Flight::Event(open, _) if open == wanted);
                self.flights.iter().position(is_same).unwrap_or(index)
            }
            _ => index,
        };
        let (_, flight) = self.flights.remove(index);
        if to == ENTRY {
            self.deliver_to_entry(flight);
        } else if !self.stages[to].is_alive {
            self.deliver_to_dead(flight);
        } else if self.stages[to].is_frozen {
            self.deliver_to_frozen(to, flight);
        } else {
            self.deliver_to_stage(to, flight);
        }
    }

    pub(super) fn drive(
        &mut self,
        at: usize,
        event: impl FnOnce(&mut StageMachine, MilliTime) -> Vec<StageAction>,
    ) {
        if let Some(machine) = &mut self.stages[at].machine {
            let actions = event(machine, self.now);
            self.spread(at, actions);
        }
    }
}
