//! The interface for gossip and probes.

use dandelionroad_core::member::GossipMessage;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::ProbeReply;

/// The interface of every process for membership, configuration and crash counts.
#[rpc(client, server)]
pub trait ControlApi {
    /// Answers a liveness probe with the state of the process.
    #[method(name = "probe")]
    async fn probe(&self, from: String) -> RpcResult<ProbeReply>;

    /// Handles a gossip message on members, configuration and crash counts, and returns the reply.
    #[method(name = "gossip_exchange")]
    async fn gossip_exchange(&self, message: GossipMessage) -> RpcResult<GossipMessage>;
}
