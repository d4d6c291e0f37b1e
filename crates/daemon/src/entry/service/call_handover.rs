use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::dispatch::CallState;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::route::LoadReport;
use dandelionroad_messages::call_api::CallApiClient;

use crate::node::NodeContext;

/// The time that an endpoint's reply may take beyond the deadline of the order, in milliseconds.
const REPLY_GRACE_MS: u64 = 500;

/// The time after which an unanswered question to a runner is given up, in milliseconds.
const QUESTION_TIMEOUT_MS: u64 = 1_000;

/// The number of connections over which a runner is asked; the first one can be silent.
const QUESTION_CONNECTIONS: u32 = 2;

/// How the hand-over of an order to an endpoint ended.
pub(super) enum CallHandover {
    /// The endpoint replied.
    Replied(CallReply),
    /// The endpoint could not be reached; nothing was sent.
    Unsent,
    /// The reply was lost; the endpoint may run the call.
    Lost,
}

impl CallHandover {
    /// Hands an order to the process of the endpoint `name` at `address`.
    pub(super) async fn send(
        context: &Arc<NodeContext>,
        (name, address): (&str, &str),
        order: CallOrder,
    ) -> CallHandover {
        let Ok(endpoint) = EndpointName::parse(name) else {
            return CallHandover::Unsent;
        };
        let counted = CountedCall::begin(context, endpoint);
        let Ok(client) = context.peers.client(address).await else {
            return CallHandover::Unsent;
        };
        let limit = Duration::from_millis(order.deadline_in_ms + REPLY_GRACE_MS);
        match tokio::time::timeout(limit, client.call_run(order)).await {
            Ok(Ok(answer)) => {
                counted.replied(&answer.load);
                CallHandover::Replied(answer.reply)
            }
            Ok(Err(_)) | Err(_) => {
                context.peers.drop_if_current(address, &client);
                CallHandover::Lost
            }
        }
    }
}

/// A call counted at its endpoint, until it is dropped.
struct CountedCall<'a> {
    context: &'a NodeContext,
    endpoint: EndpointName,
    load: Option<LoadReport>,
}

impl CountedCall<'_> {
    fn begin(context: &NodeContext, endpoint: EndpointName) -> CountedCall<'_> {
        context.call_loads.begin(&endpoint);
        CountedCall {
            context,
            endpoint,
            load: None,
        }
    }

    fn replied(mut self, load: &LoadReport) {
        self.load = Some(*load);
    }
}

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let loads = &self.context.call_loads;
        loads.end(&self.endpoint, self.load.as_ref(), now);
    }
}

/// Asks the endpoint's process at `address` for the state of an attempt; `None` if it can't be
/// reached.
pub(super) async fn ask_runner(
    context: &Arc<NodeContext>,
    address: &str,
    key: RowKey,
    incarnation: u64,
) -> Option<CallState> {
    let limit = Duration::from_millis(QUESTION_TIMEOUT_MS);
    for _ in 0..QUESTION_CONNECTIONS {
        let client = context.peers.client(address).await.ok()?;
        let asking = client.call_state(key.clone(), incarnation);
        if let Ok(Ok(state)) = tokio::time::timeout(limit, asking).await {
            return Some(state);
        }
        context.peers.drop_if_current(address, &client);
    }
    None
}
