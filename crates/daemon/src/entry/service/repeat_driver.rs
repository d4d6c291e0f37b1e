//! Carries out the actions of the machine of an idempotent call.

use std::sync::Arc;

use dandelionroad_core::config::ServiceSpec;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::RetryAction;
use dandelionroad_core::dispatch::RetryEvent;
use dandelionroad_core::dispatch::RetryMachine;
use dandelionroad_core::outcome::RefusalReason;

use crate::node::NodeContext;

use super::call_handover::CallHandover;
use super::endpoint_choice::choose_endpoint;

/// The time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Runs an idempotent call and returns the last action of its machine.
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
            _ if deadline_in_ms == 0 => denied(RefusalReason::Deadline),
            None => denied(RefusalReason::NoEndpoint),
            Some((name, address)) => {
                tried.push(name.clone());
                let order = CallOrder {
                    deadline_in_ms,
                    ..order.clone()
                };
                match CallHandover::send(context, (&name, &address), order).await {
                    CallHandover::Replied(reply) => RetryEvent::Replied(reply),
                    CallHandover::Unsent => RetryEvent::ForwardUnsent,
                    CallHandover::Lost => RetryEvent::ReplyLost,
                }
            }
        };
        let action = machine.handle(event);
        if action != RetryAction::Forward {
            return action;
        }
    }
}

fn denied(reason: RefusalReason) -> RetryEvent {
    RetryEvent::ForwardDenied {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}
