/*!
Calls to the plain service beside this process.
*/

use std::sync::Arc;

use jsonrpsee::RpcModule;

use crate::node::NodeContext;

/// Returns the internal methods of this part.
pub(super) fn methods(_context: &Arc<NodeContext>) -> RpcModule<()> {
    RpcModule::new(())
}

/// Starts the tasks of this part.
pub(super) fn start(_context: &Arc<NodeContext>) {}
