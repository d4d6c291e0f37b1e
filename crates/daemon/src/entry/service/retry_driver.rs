//! Runs an idempotent call by performing the actions of its state machine.

use std::sync::Arc;

use dandelionroad_core::config::ServiceSpec;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::RetryAction;
use dandelionroad_core::dispatch::RetryEvent;
use dandelionroad_core::dispatch::RetryMachine;
use dandelionroad_core::outcome::RefusalReason;

use crate::node::NodeContext;

use super::call_forward::CallForward;
use super::endpoint_choice::choose_endpoint;

/// The time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Runs an idempotent call and returns the last action of its machine, which is `Answer` or
/// `Refuse`.
pub(super) async fn run(
    context: &Arc<NodeContext>,
    service: &ServiceSpec,
    order: &CallOrder,
) -> RetryAction {
    let deadline = context.clock.now().plus(order.deadline_in_ms);
    let mut machine = RetryMachine::new();
    let mut tried = Vec::new();
    loop {
        let deadline_in_ms = deadline.since(context.clock.now());
        let event = match choose_endpoint(context, service, &tried) {
            _ if deadline_in_ms == 0 => forward_denied(RefusalReason::Deadline),
            None => forward_denied(RefusalReason::NoEndpoint),
            Some((name, address)) => {
                tried.push(name.clone());
                let order = CallOrder {
                    deadline_in_ms,
                    ..order.clone()
                };
                match CallForward::send(context, (&name, &address), order).await {
                    CallForward::Replied(reply) => RetryEvent::Replied(reply),
                    CallForward::Unsent => RetryEvent::ForwardUnsent,
                    CallForward::Lost => RetryEvent::ReplyLost,
                }
            }
        };
        let action = machine.handle(event);
        if action != RetryAction::Forward {
            return action;
        }
    }
}

fn forward_denied(reason: RefusalReason) -> RetryEvent {
    RetryEvent::ForwardDenied {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}
