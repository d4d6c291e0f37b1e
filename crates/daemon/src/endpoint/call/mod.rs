/*!
Calls to the plain service beside this process.
*/

mod call_admission;
mod call_registry;
mod call_server;
mod dispatch_driver;
mod plain_call;

use std::sync::Arc;

use dandelionroad_messages::call_api::CallApiServer;
use jsonrpsee::RpcModule;

use crate::node::NodeContext;

use self::call_registry::CallRegistry;
use self::call_server::CallServer;

/// Returns the internal methods of this part.
pub(super) fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let registry = Arc::new(CallRegistry::new(context.clone()));
    CallServer::new(registry).into_rpc().remove_context()
}

/// Starts the tasks of this part.
pub(super) fn start(_context: &Arc<NodeContext>) {}
