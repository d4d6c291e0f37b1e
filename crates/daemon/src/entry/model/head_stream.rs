//! The entry's subscription to the events of a request at the head, the first endpoint of its
//! route.

use std::sync::Arc;

use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_messages::stream_api::StreamApiClient;
use jsonrpsee::core::client::Error;
use jsonrpsee::ws_client::WsClient;
use tokio::sync::mpsc::UnboundedSender;

use crate::node::NodeContext;

/// An update from the subscription to a head.
#[derive(Debug)]
pub(super) enum HeadUpdate {
    /// The stream uses this connection.
    Connected(Arc<WsClient>),
    /// The head sent an event.
    Event(StreamEvent),
    /// The stream of the attempt could not be opened; the flag tells whether the head may have
    /// received the order.
    OpenFailed(u32, bool),
    /// The stream of the attempt was opened, and its connection was lost.
    Lost(u32),
}

/// Opens the stream of an order at its head and passes on its events until it ends.
///
/// `silent_client` is a connection that stopped responding; the stream must not use it again.
pub(super) async fn subscribe_to_head(
    context: Arc<NodeContext>,
    order: StreamOrder,
    silent_client: Option<Arc<WsClient>>,
    updates: UnboundedSender<HeadUpdate>,
) {
    let attempt = order.attempt;
    // If the driver of the request has ended, the update is not needed.
    let _ = match read_events(&context, order, silent_client, &updates).await {
        Ok(()) => updates.send(HeadUpdate::Lost(attempt)),
        Err(was_sent) => updates.send(HeadUpdate::OpenFailed(attempt, was_sent)),
    };
}

/// Returns an error if the stream could not be opened; it tells whether the head may have received
/// the order.
async fn read_events(
    context: &NodeContext,
    order: StreamOrder,
    silent_client: Option<Arc<WsClient>>,
    updates: &UnboundedSender<HeadUpdate>,
) -> Result<(), bool> {
    let Some(head) = order.route.stages.first().cloned() else {
        return Err(false);
    };
    let address = head.address;
    if let Some(silent_client) = silent_client {
        context.peers.drop_if_current(&address, &silent_client);
    }
    let client = context.peers.client(&address).await.map_err(|_| false)?;
    // If the driver of the request has ended, the update is not needed.
    let _ = updates.send(HeadUpdate::Connected(client.clone()));
    let opened = client.stream_open(order).await;
    let mut events = opened.map_err(|error| {
        context.peers.drop_if_current(&address, &client);
        !matches!(error, Error::Call(_))
    })?;
    while let Some(Ok(item)) = events.next().await {
        if let Some(load) = &item.load {
            let now = context.clock.now();
            context.routing.record_report(&head.endpoint, load, now);
        }
        if updates.send(HeadUpdate::Event(item.event)).is_err() {
            break;
        }
    }
    Ok(())
}
