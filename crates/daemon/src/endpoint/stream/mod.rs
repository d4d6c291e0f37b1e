/*!
Model requests on the engine beside this process.
*/

mod engine_runner;
mod peer_calls;
mod slot_state;
mod stage_tasks;
mod stream_admission;
mod stream_registry;
mod stream_server;
mod stream_slot;

use std::sync::Arc;

use dandelionroad_messages::stream_api::StreamApiServer;
use jsonrpsee::RpcModule;

use crate::node::NodeContext;

use self::stream_registry::StreamRegistry;
use self::stream_server::StreamServer;

/// Returns the internal methods of this part and starts the check of its deadlines.
pub(super) fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let registry = Arc::new(StreamRegistry::new(context.clone()));
    tokio::spawn(stream_registry::check_deadlines(Arc::downgrade(&registry)));
    StreamServer::new(registry).into_rpc().remove_context()
}

/// Starts the tasks of this part.
pub(super) fn start(_context: &Arc<NodeContext>) {}
