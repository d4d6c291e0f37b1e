//! The subscription of an entry to the events of a head.

use std::sync::Arc;

use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_messages::stream_api::StreamApiClient;
use jsonrpsee::core::client::Error;
use jsonrpsee::ws_client::WsClient;
use tokio::sync::mpsc::UnboundedSender;

use crate::node::NodeContext;

/// What a subscription reports.
#[derive(Debug)]
pub(super) enum HeadReport {
    /// The connection that the stream uses.
    Connected(Arc<WsClient>),
    /// An event of the head.
    Event(StreamEvent),
    /// The stream could not be opened; the flag tells whether the order may have been received.
    OpenFailed(u32, bool),
    /// The stream of the attempt was opened and broke off.
    Lost(u32),
}

/// Opens a stream and reports its events until it ends or the task is aborted.
///
/// `silent` is a connection that the stream must not use again.
pub(super) async fn follow_head(
    context: Arc<NodeContext>,
    order: StreamOrder,
    silent: Option<Arc<WsClient>>,
    reports: UnboundedSender<HeadReport>,
) {
    let attempt = order.attempt;
    // The driver of the request may have ended, in which case nobody needs the report.
    let _ = match read_events(&context, order, silent, &reports).await {
        Ok(()) => reports.send(HeadReport::Lost(attempt)),
        Err(was_sent) => reports.send(HeadReport::OpenFailed(attempt, was_sent)),
    };
}

async fn read_events(
    context: &NodeContext,
    order: StreamOrder,
    silent: Option<Arc<WsClient>>,
    reports: &UnboundedSender<HeadReport>,
) -> Result<(), bool> {
    let Some(head) = order.route.stages.first().cloned() else {
        return Err(false);
    };
    let address = head.address;
    if let Some(silent) = silent {
        context.peers.drop_if_current(&address, &silent);
    }
    let client = context.peers.client(&address).await.map_err(|_| false)?;
    // The driver of the request may have ended, in which case nobody needs the report.
    let _ = reports.send(HeadReport::Connected(client.clone()));
    let opened = client.stream_open(order).await;
    let mut events = opened.map_err(|error| {
        context.peers.drop_if_current(&address, &client);
        !matches!(error, Error::Call(_))
    })?;
    while let Some(Ok(item)) = events.next().await {
        if let Some(load) = &item.load {
            let now = context.clock.now();
            context.routing.report(&head.endpoint, load, now);
        }
        if reports.send(HeadReport::Event(item.event)).is_err() {
            break;
        }
    }
    Ok(())
}
