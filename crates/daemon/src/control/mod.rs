/*!
Membership, configuration and their gossip: the only part that writes the configuration and the
members of a [`NodeContext`].
*/

mod control_server;

use std::sync::Arc;

use dandelionroad_messages::control_api::ControlApiServer;
use jsonrpsee::RpcModule;

use crate::node::NodeContext;

use self::control_server::ControlServer;

/// Returns the internal methods of this part.
pub fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let server = ControlServer::new(context.clone());
    server.into_rpc().remove_context()
}

/// Starts the tasks of this part.
pub fn start(_context: &Arc<NodeContext>) {}
