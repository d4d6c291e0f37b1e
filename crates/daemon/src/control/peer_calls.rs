//! Gossip messages and probes to other processes.

use std::time::Duration;

use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMessage;
use dandelionroad_messages::ProbeReply;
use dandelionroad_messages::control_api::ControlApiClient;
use tokio::time::timeout;

use crate::node::NodeContext;

/// The timeout of a gossip exchange, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 2_000;

/// The timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 800;

/// Sends a gossip message and passes the reply to the control task.
///
/// A failed message is not repeated: the digests of a later exchange reveal what is missing.
pub(super) async fn exchange(context: &NodeContext, address: String, message: GossipMessage) {
    let Ok(client) = context.peers.client(&address).await else {
        return;
    };
    let limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
    let reply = timeout(limit, client.gossip_exchange(message)).await;
    let Ok(Ok(message)) = reply else {
        context.peers.drop_if_current(&address, &client);
        return;
    };
    let message = Box::new(message);
    let event = GossipEvent::Reply { address, message };
    context.control.send(event).await;
}

/// Probes a member and passes the result to the control task.
pub(super) async fn probe(context: &NodeContext, name: String, address: String) {
    let reply = probe_address(context, &address, PROBE_TIMEOUT_MS).await;
    let event = match reply {
        Some(reply) if reply.name == name => GossipEvent::ProbeAnswered { name },
        // A different name means that another process now has the address.
        _ => GossipEvent::ProbeMissed { name },
    };
    context.control.send(event).await;
}

/// Probes an address and returns the reply, or `None` on an error or a timeout.
///
/// A failed probe drops the connection, so that the next one opens a new connection.
pub(crate) async fn probe_address(
    context: &NodeContext,
    address: &str,
    timeout_ms: u64,
) -> Option<ProbeReply> {
    let client = context.peers.client(address).await.ok()?;
    let limit = Duration::from_millis(timeout_ms);
    let reply = timeout(limit, client.probe(context.settings.name.clone())).await;
    let reply = reply.ok().and_then(|reply| reply.ok());
    if reply.is_none() {
        context.peers.drop_if_current(address, &client);
    }
    reply
}
