use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::route::LoadReport;
use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_core::stream::StepReply;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_messages::Ack;
use dandelionroad_messages::StreamItem;
use dandelionroad_messages::TokenMessage;
use dandelionroad_messages::stream_api::StreamApiServer;
use jsonrpsee::PendingSubscriptionSink;
use jsonrpsee::SubscriptionSink;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::core::async_trait;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::telemetry;

use super::stream_registry::StreamRegistry;

/// The time between two heartbeats on a subscription, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 100;

/// Serves the interface for model requests to entries and other stages.
pub(super) struct StreamServer {
    registry: Arc<StreamRegistry>,
}

impl StreamServer {
    /// Creates a server for the requests of `registry`.
    pub(super) fn new(registry: Arc<StreamRegistry>) -> StreamServer {
        StreamServer { registry }
    }

    fn ack(&self) -> Ack {
        let revision = self.registry.context.config.borrow().revision;
        Ack { revision }
    }

    fn item(&self, event: StreamEvent) -> StreamItem {
        let is_token = matches!(event, StreamEvent::Token { .. });
        StreamItem {
            event,
            load: (!is_token).then(|| self.read_load_report()),
            revision: (!is_token).then(|| self.ack().revision),
        }
    }

    /// Returns the current load of the queue and records the queued work as a metric.
    fn read_load_report(&self) -> LoadReport {
        let load = self.registry.admission.load_report();
        telemetry::record_queue_units(&self.registry.context.settings.name, load.queued_units);
        load
    }

    /// Sends events and heartbeats until the subscription or the stream ends.
    async fn forward(
        &self,
        sink: &SubscriptionSink,
        mut events: UnboundedReceiver<StreamEvent>,
        attempt: u32,
    ) {
        let mut interval = tokio::time::interval(Duration::from_millis(PROGRESS_INTERVAL_MS));
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                () = sink.closed() => None,
                _ = interval.tick() => Some(StreamEvent::Progress { attempt }),
            };
            let Some(event) = event else {
                return;
            };
            let Ok(message) = serde_json::value::to_raw_value(&self.item(event)) else {
                return;
            };
            if sink.send(message).await.is_err() {
                return;
            }
        }
    }
}

#[async_trait]
impl StreamApiServer for StreamServer {
    async fn stream_open(
        &self,
        pending: PendingSubscriptionSink,
        order: StreamOrder,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        let (sender, events) = mpsc::unbounded_channel();
        let request = order.request.clone();
        let attempt = order.attempt;
        let opening = tokio::spawn(self.registry.clone().open(order, sender));
        self.forward(&sink, events, attempt).await;
        opening.abort();
        self.registry.handle_subscription_end(&request, attempt);
        Ok(())
    }

    async fn stream_cancel(&self, request: RequestIdent) -> RpcResult<Ack> {
        if let Some(slot) = self.registry.slot(&request) {
            self.registry.drive(&slot, |machine, _| machine.cancel());
        }
        Ok(self.ack())
    }

    async fn step_push(&self, message: StepMessage) -> RpcResult<StepReply> {
        Ok(self.registry.push(message))
    }

    async fn token_return(&self, token: TokenMessage) -> RpcResult<Ack> {
        if let Some(slot) = self.registry.slot(&token.request) {
            self.registry.drive(&slot, |machine, now| {
                machine.handle_returned_token(
                    token.attempt,
                    token.position,
                    token.text,
                    token.end,
                    now,
                )
            });
        }
        Ok(self.ack())
    }

    async fn fault_report(
        &self,
        request: RequestIdent,
        attempt: u32,
        stage: usize,
        kind: FaultKind,
    ) -> RpcResult<Ack> {
        if let Some(slot) = self.registry.slot(&request) {
            self.registry.drive(&slot, |machine, _| {
                machine.handle_fault_report(attempt, stage, kind)
            });
        }
        Ok(self.ack())
    }
}
