use std::sync::Arc;

use dandelionroad_core::member::GossipMessage;
use dandelionroad_messages::ProbeReply;
use dandelionroad_messages::control_api::ControlApiServer;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorCode;
use jsonrpsee::types::ErrorObjectOwned;

use crate::node::NodeContext;

/// Serves the control interface: probes and gossip of other processes.
pub(super) struct ControlServer {
    context: Arc<NodeContext>,
}

impl ControlServer {
    /// Creates a server that answers from `context`.
    pub(super) fn new(context: Arc<NodeContext>) -> ControlServer {
        ControlServer { context }
    }
}

#[async_trait]
impl ControlApiServer for ControlServer {
    async fn probe(&self, _from: String) -> RpcResult<ProbeReply> {
        let record = self.context.local_record.borrow().clone();
        let revision = self.context.config.borrow().revision;
        Ok(ProbeReply {
            name: record.name,
            incarnation: record.incarnation,
            state: record.state,
            revision,
        })
    }

    async fn gossip_exchange(&self, message: GossipMessage) -> RpcResult<GossipMessage> {
        let reply = self.context.control.handle_request(message).await;
        reply.ok_or_else(|| ErrorObjectOwned::from(ErrorCode::InternalError))
    }
}
