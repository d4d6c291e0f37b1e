/*!
Orders to the engine beside this process, derived from the configuration.
*/

mod engine_target;
mod order_rows;
mod order_task;

use std::sync::Arc;

use dandelionroad_settings::EngineKind;

use crate::node::NodeContext;

/// Starts the task of this part, if an engine stands beside this process.
pub(super) fn start(context: &Arc<NodeContext>) {
    let is_engine = context.settings.engine_kind != EngineKind::PlainService;
    if let (true, Some(engine)) = (is_engine, context.clients.engine.clone()) {
        tokio::spawn(order_task::run(context.clone(), engine));
    }
}
