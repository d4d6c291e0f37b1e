//! The calls to other processes that the gossip machine asks for.

use std::time::Duration;

use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMessage;
use dandelionroad_messages::ProbeReply;
use dandelionroad_messages::control_api::ControlApiClient;
use tokio::time::timeout;

use crate::node::NodeContext;

/// The time in which a gossip message must be answered, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 2_000;

/// The time in which a probe must be answered, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 800;

/// Sends a gossip message and hands its reply to the control task.
///
/// A message that fails is not repeated: the digests find out what it should have brought.
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

/// Probes a member and hands the result to the control task.
pub(super) async fn probe(context: &NodeContext, name: String, address: String) {
    let reply = probe_address(context, &address, PROBE_TIMEOUT_MS).await;
    let event = match reply {
        Some(reply) if reply.name == name => GossipEvent::ProbeAnswered { name },
        // Another process may have taken over the address.
        _ => GossipEvent::ProbeMissed { name },
    };
    context.control.send(event).await;
}

/// Returns the answer to a probe, or `None` if there is none in time.
///
/// The connection is dropped on silence, so that the next probe opens a new one.
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
