/*!
The control plane of a process: membership, configuration and crash counts, spread by gossip.

Three live entries poll the table service and the host list; the other processes learn of changes by
gossip, and probes detect lost members. Only this module writes the configuration, the members and
the crash counts of a [`NodeContext`].
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

/// Returns the internal RPC methods of the control plane.
pub fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let server = ControlServer::new(context.clone());
    server.into_rpc().remove_context()
}

/// Starts the tasks of the control plane; later calls have no effect.
pub fn start(context: &Arc<NodeContext>) {
    let control = &context.control;
    if let Some(receiver) = control.take_receiver() {
        control.spawn(control_task::run(context.clone(), receiver));
        control.spawn(host_poller::run(context.clone()));
        control.spawn(store_poller::run(context.clone()));
    }
}

/// Returns whether this process is one of those that poll the table service and the host list.
fn is_poller(context: &NodeContext) -> bool {
    let members: Arc<MemberTable> = context.members.borrow().clone();
    members.is_poller(&context.settings.name)
}
