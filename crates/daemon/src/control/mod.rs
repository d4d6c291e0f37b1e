/*!
Membership, configuration and their gossip: the only part that writes the configuration, the members
and the crash counts of a [`NodeContext`].
*/

pub(crate) mod config_store;
mod control_event;
mod control_handle;
mod control_server;
mod control_task;
mod host_poller;
pub(crate) mod peer_calls;
mod store_poller;

use std::sync::Arc;

use dandelionroad_core::member::MemberTable;
use dandelionroad_messages::control_api::ControlApiServer;
use jsonrpsee::RpcModule;

use crate::node::NodeContext;

use self::control_server::ControlServer;

pub use self::control_handle::ControlHandle;

/// Returns the internal methods of this part.
pub fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let server = ControlServer::new(context.clone());
    server.into_rpc().remove_context()
}

/// Starts the tasks of this part; further calls have no effect.
pub fn start(context: &Arc<NodeContext>) {
    let control = &context.control;
    if let Some(receiver) = control.take_receiver() {
        control.spawn(control_task::run(context.clone(), receiver));
        control.spawn(host_poller::run(context.clone()));
        control.spawn(store_poller::run(context.clone()));
    }
}

/// Returns whether this process polls the table service and the host list.
fn is_poller(context: &NodeContext) -> bool {
    let members: Arc<MemberTable> = context.members.borrow().clone();
    members.is_poller(&context.settings.name)
}
