//! The interface for model requests.

use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_core::stream::StepReply;
use dandelionroad_core::stream::StreamOrder;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::proc_macros::rpc;

use crate::Ack;
use crate::StreamItem;
use crate::TokenMessage;

/// The interface of an endpoint for model requests.
///
/// The head, the endpoint of the first stage, controls the request and sends its events to the entry.
#[rpc(client, server)]
pub trait StreamApi {
    /// Opens the event stream of a request at the head of its route, or reopens it.
    #[subscription(name = "stream_open" => "stream_event", unsubscribe = "stream_close", item = StreamItem)]
    async fn stream_open(&self, order: StreamOrder) -> SubscriptionResult;

    /// Cancels a request at the head, which cancels it at all stages.
    #[method(name = "stream_cancel")]
    async fn stream_cancel(&self, request: RequestIdent) -> RpcResult<Ack>;

    /// Handles inputs that the preceding stage pushes, and returns whether they were accepted.
    #[method(name = "step_push")]
    async fn step_push(&self, message: StepMessage) -> RpcResult<StepReply>;

    /// Handles a token that the last stage returns to the head.
    #[method(name = "token_return")]
    async fn token_return(&self, token: TokenMessage) -> RpcResult<Ack>;

    /// Handles a report to the head that a stage failed.
    #[method(name = "fault_report")]
    async fn fault_report(
        &self,
        request: RequestIdent,
        attempt: u32,
        stage: usize,
        kind: FaultKind,
    ) -> RpcResult<Ack>;
}
