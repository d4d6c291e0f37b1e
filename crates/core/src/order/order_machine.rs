use crate::time::MilliTime;

use super::EngineView;
use super::LeaveVerdict;
use super::LoadTarget;
use super::OrderAction;
use super::OrderConfig;
use super::OrderEvent;
use super::OrderPhase;

/// Brings one engine to the model version and layers that the configuration assigns, and keeps it
/// there.
///
/// The state that the engine reports is authoritative: it is read after each order, and at
/// intervals while no order is pending. This also covers engines that ignore fencing tokens: the
/// effect of an order of a process that was paused and resumed is found by the next read and
/// undone.
///
/// An engine that serves is unloaded only after the row of ready endpoints allows it to leave and
/// its requests have ended.
#[derive(Clone, Debug)]
pub struct OrderMachine {
    config: OrderConfig,
    phase: OrderPhase,
    target: Option<LoadTarget>,
    /// The time at which the current phase is retried.
    retry_at: MilliTime,
    /// The time at which the current phase began.
    entered_at: MilliTime,
    has_turn: bool,
    /// Whether the row of ready endpoints contains the endpoint.
    is_joined: bool,
    is_serving: bool,
}

impl OrderMachine {
    /// Creates a machine without a target.
    pub fn new(config: OrderConfig) -> OrderMachine {
        OrderMachine {
            config,
            phase: OrderPhase::Idle,
            target: None,
            retry_at: MilliTime::MAX,
            entered_at: MilliTime::default(),
            has_turn: false,
            is_joined: false,
            is_serving: false,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> OrderPhase {
        self.phase
    }

    /// Returns whether the endpoint serves its target.
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, event: OrderEvent, now: MilliTime) -> Vec<OrderAction> {
        match (event, self.phase) {
            (OrderEvent::TargetSet(target), _) => self.set_target(target, now),
            (OrderEvent::EngineRead(view), OrderPhase::Reading) => self.on_engine_read(view, now),
            (OrderEvent::EngineRead(view), OrderPhase::Loading) => self.on_load_read(view, now),
            (OrderEvent::LeaveDecided(verdict), OrderPhase::LeavingReady) => {
                self.on_leave_decided(verdict, now)
            }
            (OrderEvent::Drained, OrderPhase::Draining) => {
                self.enter(OrderPhase::TakingTurn, now);
                vec![OrderAction::TakeTurn]
            }
            (OrderEvent::TurnDecided(acquired), OrderPhase::TakingTurn) => {
                self.on_turn_decided(acquired, now)
            }
            (OrderEvent::OrderAnswered(accepted), OrderPhase::Ordering) => {
                self.on_order_answered(accepted, now)
            }
            (OrderEvent::JoinAnswered(joined), OrderPhase::Ready) => {
                self.is_joined = joined;
                Vec::new()
            }
            (OrderEvent::Tick, _) => self.on_tick(now),
            // An answer to an action of an earlier phase, which a new target has replaced.
            _ => Vec::new(),
        }
    }

    fn set_target(&mut self, target: Option<LoadTarget>, now: MilliTime) -> Vec<OrderAction> {
        if target == self.target {
            return Vec::new();
        }
        self.target = target;
        self.is_joined = false;
        let mut actions = self.release_turn();
        if self.target.is_none() {
            // The engine keeps what it has loaded: no configuration names the endpoint any more.
            self.enter(OrderPhase::Idle, now);
            return actions;
        }
        self.enter(OrderPhase::Reading, now);
        actions.push(OrderAction::ReadEngine);
        actions
    }

    fn on_engine_read(&mut self, view: Option<EngineView>, now: MilliTime) -> Vec<OrderAction> {
        let Some(view) = view else {
            self.schedule_retry(now);
            return Vec::new();
        };
        let Some(target) = self.target.clone() else {
            return Vec::new();
        };
        if view.holds(&target) {
            return if view.ready {
                self.become_ready(target, now)
            } else {
                self.wait_for_load(now)
            };
        }
        self.enter(OrderPhase::LeavingReady, now);
        let forced = !view.serves();
        vec![OrderAction::LeaveReady { target, forced }]
    }

    fn on_leave_decided(
        &mut self,
        verdict: Option<LeaveVerdict>,
        now: MilliTime,
    ) -> Vec<OrderAction> {
        match verdict {
            Some(LeaveVerdict::Granted) => {
                self.is_serving = false;
                self.is_joined = false;
                self.enter(OrderPhase::Draining, now);
                vec![OrderAction::StopServing]
            }
            Some(LeaveVerdict::Denied) | None => {
                self.schedule_retry(now);
                Vec::new()
            }
        }
    }

    fn on_turn_decided(&mut self, acquired: Option<bool>, now: MilliTime) -> Vec<OrderAction> {
        let is_overdue = now.since(self.entered_at) >= self.config.turn_timeout_ms;
        match acquired {
            Some(true) => {
                self.has_turn = true;
                self.send_load_order(now)
            }
            None if is_overdue => self.send_load_order(now),
            Some(false) | None => {
                self.schedule_retry(now);
                Vec::new()
            }
        }
    }

    fn send_load_order(&mut self, now: MilliTime) -> Vec<OrderAction> {
        self.enter(OrderPhase::Ordering, now);
        self.target
            .iter()
            .cloned()
            .map(OrderAction::OrderLoad)
            .collect()
    }

    fn on_order_answered(&mut self, accepted: bool, now: MilliTime) -> Vec<OrderAction> {
        if accepted {
            return self.wait_for_load(now);
        }
        // An unanswered order may have taken effect, so the state is read again.
        let actions = self.release_turn();
        self.enter(OrderPhase::Reading, now);
        self.schedule_retry(now);
        actions
    }

    fn wait_for_load(&mut self, now: MilliTime) -> Vec<OrderAction> {
        self.enter(OrderPhase::Loading, now);
        self.schedule_retry(now);
        Vec::new()
    }

    fn on_load_read(&mut self, view: Option<EngineView>, now: MilliTime) -> Vec<OrderAction> {
        let Some(target) = self.target.clone() else {
            return Vec::new();
        };
        let is_overdue = now.since(self.entered_at) >= self.config.load_timeout_ms;
        match view {
            Some(view) if view.holds(&target) && view.ready => self.become_ready(target, now),
            Some(view) if view.holds(&target) && !is_overdue => {
                self.schedule_retry(now);
                Vec::new()
            }
            None if !is_overdue => {
                self.schedule_retry(now);
                Vec::new()
            }
            // The engine lost the load or takes too long, so start over from its current state.
            _ => {
                let mut actions = self.release_turn();
                self.enter(OrderPhase::Reading, now);
                actions.push(OrderAction::ReadEngine);
                actions
            }
        }
    }

    fn become_ready(&mut self, target: LoadTarget, now: MilliTime) -> Vec<OrderAction> {
        let mut actions = self.release_turn();
        self.enter(OrderPhase::Ready, now);
        self.retry_at = now.plus(self.config.read_interval_ms);
        if !self.is_serving {
            self.is_serving = true;
            actions.push(OrderAction::StartServing(target.clone()));
        }
        if !self.is_joined {
            actions.push(OrderAction::JoinReady(target));
        }
        actions
    }

    fn on_tick(&mut self, now: MilliTime) -> Vec<OrderAction> {
        if now < self.retry_at {
            return Vec::new();
        }
        // The answer sets this again; the deadline covers an answer that never arrives.
        self.retry_at = now.plus(self.config.read_interval_ms);
        match self.phase {
            OrderPhase::Reading | OrderPhase::Loading => vec![OrderAction::ReadEngine],
            OrderPhase::Ready => {
                self.phase = OrderPhase::Reading;
                vec![OrderAction::ReadEngine]
            }
            // A denied request to leave starts from a new read, as the engine may have crashed in
            // the meantime.
            OrderPhase::LeavingReady => {
                self.enter(OrderPhase::Reading, now);
                vec![OrderAction::ReadEngine]
            }
            OrderPhase::TakingTurn => vec![OrderAction::TakeTurn],
            OrderPhase::Idle | OrderPhase::Draining | OrderPhase::Ordering => Vec::new(),
        }
    }

    fn release_turn(&mut self) -> Vec<OrderAction> {
        if !self.has_turn {
            return Vec::new();
        }
        self.has_turn = false;
        vec![OrderAction::ReleaseTurn]
    }

    fn enter(&mut self, phase: OrderPhase, now: MilliTime) {
        self.phase = phase;
        self.entered_at = now;
        self.retry_at = now.plus(self.config.read_interval_ms);
    }

    fn schedule_retry(&mut self, now: MilliTime) {
        self.retry_at = now.plus(self.config.retry_interval_ms);
    }
}
