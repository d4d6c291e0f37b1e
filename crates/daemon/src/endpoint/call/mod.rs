/*!
Calls to the plain service beside this process.
*/

mod call_admission;
mod call_host;
mod call_server;
mod dispatch_driver;
mod plain_call;

use std::sync::Arc;

use dandelionroad_messages::call_api::CallApiServer;
use jsonrpsee::RpcModule;

use crate::node::NodeContext;

use self::call_host::CallHost;
use self::call_server::CallServer;

/// Returns the internal methods of this part.
pub(super) fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let host = Arc::new(CallHost::new(context.clone()));
    CallServer::new(host).into_rpc().remove_context()
}

/// Starts the tasks of this part.
pub(super) fn start(_context: &Arc<NodeContext>) {}
