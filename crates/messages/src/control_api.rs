//! Gossip and probes.

use dandelionroad_core::member::GossipMessage;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::ProbeReply;

/// The interface of every process for membership and configuration.
#[rpc(client, server)]
pub trait ControlApi {
    /// Tells that the process is alive, and its state.
    #[method(name = "probe")]
    async fn probe(&self, from: String) -> RpcResult<ProbeReply>;

    /// Exchanges what sender and receiver know of members, configuration and crash counts.
    #[method(name = "gossip_exchange")]
    async fn gossip_exchange(&self, message: GossipMessage) -> RpcResult<GossipMessage>;
}
