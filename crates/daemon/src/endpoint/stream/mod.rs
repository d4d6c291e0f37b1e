/*!
Model requests on the engine of this endpoint.

A request runs on a chain of endpoints, its stages, whose engines together hold all layers of the
model. The first stage is the head: it admits the request, sends the tokens to the entry and
receives each token from the last stage. Stages push activations directly to the next stage. The
stage machine of core decides; the modules here execute its actions, one slot for each request.
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

/// Returns the internal RPC methods for model requests and starts the check of their deadlines.
pub(super) fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let registry = Arc::new(StreamRegistry::new(context.clone()));
    tokio::spawn(stream_registry::check_deadlines(Arc::downgrade(&registry)));
    StreamServer::new(registry).into_rpc().remove_context()
}

/// Does nothing: [`methods`] starts the only task.
pub(super) fn start(_context: &Arc<NodeContext>) {}
