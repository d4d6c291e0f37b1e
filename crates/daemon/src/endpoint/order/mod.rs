/*!
Loads the engine with the model version and layers that the configuration assigns to it.

The order machine of core decides; the task here executes its actions: it removes the endpoint from
the ready endpoints of its pool, drains it, acquires one of the few slots for loads from the weight
store, orders the engine to load, and adds the endpoint again. A rollout thus keeps the configured
minimum of ready endpoints, and the engines don't all read the weight store at the same time.
*/

mod engine_target;
mod order_rows;
mod order_task;

use std::sync::Arc;

use dandelionroad_settings::EngineKind;

use crate::node::NodeContext;

/// Starts the task if this endpoint serves a model engine.
pub(super) fn start(context: &Arc<NodeContext>) {
    let is_engine = context.settings.engine_kind != EngineKind::PlainService;
    if let (true, Some(engine)) = (is_engine, context.clients.engine.clone()) {
        tokio::spawn(order_task::run(context.clone(), engine));
    }
}
