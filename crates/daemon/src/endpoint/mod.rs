/*!
The endpoint role: serves one model engine or plain service to the entries.

An endpoint is the only process that talks to its engine or service. It admits requests through a
queue, keeps the engine loaded with what the configuration assigns to it, and sends fencing tokens
with orders and calls, so that those of an earlier process of this endpoint are rejected.
*/

pub mod admission;
mod call;
mod order;
mod stream;

use std::sync::Arc;

use jsonrpsee::RpcModule;

use crate::node::NodeContext;

/// Returns the internal RPC methods of an endpoint.
pub fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let mut methods = RpcModule::new(());
    for part in [call::methods(context), stream::methods(context)] {
        // The modules have distinct method names, so merging can't fail.
        let _ = methods.merge(part);
    }
    methods
}

/// Starts the tasks of an endpoint.
pub fn start(context: &Arc<NodeContext>) {
    call::start(context);
    order::start(context);
    stream::start(context);
}
