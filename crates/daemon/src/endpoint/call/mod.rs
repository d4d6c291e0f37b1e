/*!
Calls to the plain service of this endpoint.

Idempotent calls go straight to the service. For the others, a row in the table service records
which process runs an attempt and its outcome, so that a call that is sent again runs at most once.
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

/// Returns the internal RPC methods for calls.
pub(super) fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let registry = Arc::new(CallRegistry::new(context.clone()));
    CallServer::new(registry).into_rpc().remove_context()
}

/// Does nothing: calls need no task of their own.
pub(super) fn start(_context: &Arc<NodeContext>) {}
