//! The task that keeps the model version and the layers that the configuration assigns to this
//! endpoint loaded in its engine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use dandelionroad_clients::engine::EngineClient;
use dandelionroad_clients::engine::EngineOrder;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::member::HeldModel;
use dandelionroad_core::order::EngineView;
use dandelionroad_core::order::FenceNumber;
use dandelionroad_core::order::LoadTarget;
use dandelionroad_core::order::OrderAction;
use dandelionroad_core::order::OrderConfig;
use dandelionroad_core::order::OrderEvent;
use dandelionroad_core::order::OrderMachine;

use crate::node::NodeContext;

use super::engine_target::load_target;
use super::order_rows::OrderRows;

/// The time between two ticks of the order machine, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;

/// Executes the actions of the order machine.
struct OrderRunner {
    context: Arc<NodeContext>,
    engine: Arc<dyn EngineClient>,
    rows: OrderRows,
    fence: Option<FenceNumber>,
}

/// Runs the order machine until the process stops.
///
/// Actions are executed one at a time, so that changes of the row of ready endpoints are committed
/// in the order in which they were decided.
pub(super) async fn run(context: Arc<NodeContext>, engine: Arc<dyn EngineClient>) {
    let Ok(name) = EndpointName::parse(&context.settings.name) else {
        return;
    };
    let rows = OrderRows::new(context.clone(), name);
    let mut runner = OrderRunner {
        context: context.clone(),
        engine,
        rows,
        fence: None,
    };
    let mut machine = OrderMachine::new(OrderConfig::default());
    let mut config = context.config.subscribe();
    config.mark_changed();
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    loop {
        let event = tokio::select! {
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
                let config = config.borrow_and_update().clone();
                OrderEvent::TargetSet(load_target(&config, &context.settings.name))
            }
            _ = ticks.tick() => OrderEvent::Tick,
        };
        let mut pending = VecDeque::from(machine.on_event(event, context.clock.now()));
        while let Some(action) = pending.pop_front() {
            if let Some(event) = runner.execute(action).await {
                pending.extend(machine.on_event(event, context.clock.now()));
            }
        }
    }
}

impl OrderRunner {
    async fn execute(&mut self, action: OrderAction) -> Option<OrderEvent> {
        match action {
            OrderAction::ReadEngine => Some(OrderEvent::EngineRead(self.read_engine().await)),
            OrderAction::LeaveReady { target, forced } => {
                let verdict = self.rows.leave_ready(&target, forced).await;
                Some(OrderEvent::LeaveDecided(verdict))
            }
            OrderAction::StopServing => {
                self.publish(None);
                self.context.requests.wait_idle().await;
                Some(OrderEvent::Drained)
            }
            OrderAction::TakeTurn => {
                Some(OrderEvent::TurnDecided(self.rows.take_load_slot().await))
            }
            OrderAction::OrderLoad(target) => {
                let is_accepted = self.send_load_order(&target).await;
                Some(OrderEvent::OrderAnswered(is_accepted))
            }
            OrderAction::ReleaseTurn => {
                self.rows.release_load_slot().await;
                None
            }
            OrderAction::StartServing(target) => {
                self.publish(Some(&target));
                None
            }
            OrderAction::JoinReady(target) => {
                let is_joined = self.rows.join_ready(&target).await;
                Some(OrderEvent::JoinAnswered(is_joined))
            }
        }
    }

    async fn read_engine(&self) -> Option<EngineView> {
        let state = self.engine.state().await.ok()?;
        Some(EngineView {
            model: state.model,
            version: state.version,
            range: state.range,
            ready: state.ready,
        })
    }

    async fn send_load_order(&mut self, target: &LoadTarget) -> bool {
        let fence = match self.fence {
            Some(fence) => fence,
            None => *self.fence.insert(self.rows.take_fence().await),
        };
        let order = EngineOrder::Load {
            model: target.model.to_string(),
            version: target.version,
            weights: target.weights.clone(),
            first_layer: target.range.first,
            end_layer: target.range.end,
        };
        let LoadTarget { model, version, .. } = target;
        spdlog::info!("endpoint: ordering the engine to load {model} version {version}");
        match self.engine.send_order(&order, fence.as_u64()).await {
            Ok(()) => true,
            Err(error) => {
                spdlog::warn!(
                    "endpoint: failed to order the engine to load {model} version {version}: {error}"
                );
                false
            }
        }
    }

    /// Publishes in the local member record what the engine serves; the gossip spreads it.
    fn publish(&self, target: Option<&LoadTarget>) {
        let held = target.map(|target| HeldModel {
            model: target.model.clone(),
            version: target.version,
            range: target.range,
        });
        self.context.local_record.send_if_modified(|record| {
            let is_changed = record.held != held;
            if is_changed {
                record.sequence += 1;
                record.held = held;
            }
            is_changed
        });
    }
}
