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

/// The time for which a reply is awaited beyond the deadline of the order, in milliseconds.
const REPLY_GRACE_MS: u64 = 500;

/// The timeout of one query for the state of an attempt, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 1_000;

/// The maximum number of queries for the state of an attempt.
///
/// The pooled connection of the first query may be silent; the second one opens a new connection.
const MAX_QUERY_ATTEMPTS: u32 = 2;

/// The result of forwarding an order to an endpoint.
pub(super) enum CallForward {
    /// The endpoint replied.
    Replied(CallReply),
    /// The endpoint could not be reached; nothing was sent.
    Unsent,
    /// The reply was lost; the endpoint may have run the call.
    Lost,
}

impl CallForward {
    /// Forwards an order to the process of the endpoint `name` at `address`, and counts the call as
    /// load there until it ends.
    pub(super) async fn send(
        context: &Arc<NodeContext>,
        (name, address): (&str, &str),
        order: CallOrder,
    ) -> CallForward {
        let Ok(endpoint) = EndpointName::parse(name) else {
            return CallForward::Unsent;
        };
        let guard = CallLoadGuard::begin(context, endpoint);
        let Ok(client) = context.peers.client(address).await else {
            return CallForward::Unsent;
        };
        let limit = Duration::from_millis(order.deadline_in_ms + REPLY_GRACE_MS);
        match tokio::time::timeout(limit, client.call_run(order)).await {
            Ok(Ok(answer)) => {
                guard.record_reply(&answer.load);
                CallForward::Replied(answer.reply)
            }
            Ok(Err(_)) | Err(_) => {
                context.peers.drop_if_current(address, &client);
                CallForward::Lost
            }
        }
    }
}

/// Counts a call as load at its endpoint until it is dropped.
struct CallLoadGuard<'a> {
    context: &'a NodeContext,
    endpoint: EndpointName,
    load: Option<LoadReport>,
}

impl CallLoadGuard<'_> {
    fn begin(context: &NodeContext, endpoint: EndpointName) -> CallLoadGuard<'_> {
        context.call_loads.begin_call(&endpoint);
        CallLoadGuard {
            context,
            endpoint,
            load: None,
        }
    }

    fn record_reply(mut self, load: &LoadReport) {
        self.load = Some(*load);
    }
}

impl Drop for CallLoadGuard<'_> {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let loads = &self.context.call_loads;
        loads.end_call(&self.endpoint, self.load.as_ref(), now);
    }
}

/// Queries the endpoint process at `address` for the state of an attempt.
///
/// Returns `None` if the process can't be reached.
pub(super) async fn query_attempt_state(
    context: &Arc<NodeContext>,
    address: &str,
    key: RowKey,
    incarnation: u64,
) -> Option<CallState> {
    let limit = Duration::from_millis(QUERY_TIMEOUT_MS);
    for _ in 0..MAX_QUERY_ATTEMPTS {
        let client = context.peers.client(address).await.ok()?;
        let querying = client.call_state(key.clone(), incarnation);
        if let Ok(Ok(state)) = tokio::time::timeout(limit, querying).await {
            return Some(state);
        }
        context.peers.drop_if_current(address, &client);
    }
    None
}
