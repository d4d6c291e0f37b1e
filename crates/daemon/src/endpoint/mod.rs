/*!
The role endpoint: admits, orders and fences what the engine or plain service beside it runs.
*/

pub mod admission;
mod call;
mod order;
mod stream;

use std::sync::Arc;

use jsonrpsee::RpcModule;

use crate::node::NodeContext;

/// Returns the internal methods of this part.
pub fn methods(context: &Arc<NodeContext>) -> RpcModule<()> {
    let mut methods = RpcModule::new(());
    for part in [call::methods(context), stream::methods(context)] {
        // The parts have distinct method names, so that merging can't fail.
        let _ = methods.merge(part);
    }
    methods
}

/// Starts the tasks of this part.
pub fn start(context: &Arc<NodeContext>) {
    call::start(context);
    order::start(context);
    stream::start(context);
}
