//! Calls the plain service.

use std::time::Duration;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::service::ServiceCall;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::dispatch::ServiceResult;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;

use crate::call_rows::service_key;
use crate::node::NodeContext;
use crate::telemetry::HopKind;
use crate::telemetry::HopSpan;

use super::call_registry::CallRegistry;
use super::call_server::new_refusal;

/// Runs an idempotent call until its deadline.
pub(super) async fn run(registry: &CallRegistry, order: &CallOrder) -> CallReply {
    let deadline = Duration::from_millis(order.deadline_in_ms);
    let calling = call_service(&registry.context, order, registry.runner().incarnation);
    match tokio::time::timeout(deadline, calling).await {
        Ok(ServiceResult::Answered {
            status,
            content_type,
            body,
        }) => {
            let replayed = false;
            CallReply::Answered {
                status,
                content_type,
                body,
                replayed,
            }
        }
        Ok(ServiceResult::Unsent) => new_refusal(RequestOutcome::NotRun, RefusalReason::NoEndpoint),
        Ok(ServiceResult::Lost) => {
            new_refusal(RequestOutcome::Unknown, RefusalReason::EndpointLost)
        }
        Err(_) => new_refusal(RequestOutcome::Unknown, RefusalReason::Deadline),
    }
}

/// Calls the service once and returns its answer, or whether the call was unsent or lost.
pub(super) async fn call_service(
    context: &NodeContext,
    order: &CallOrder,
    fence: u64,
) -> ServiceResult {
    let Some(service) = &context.clients.service else {
        return ServiceResult::Unsent;
    };
    let _span = HopSpan::start(HopKind::ServiceCall, &order.request, &context.settings.name);
    let call = ServiceCall {
        method: order.method.clone(),
        path: order.path.clone(),
        content_type: order.content_type.clone(),
        body: order.body.clone(),
        key: order.row.as_ref().map(service_key),
        fence,
    };
    match service.call(&call).await {
        Ok(answer) => ServiceResult::Answered {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        },
        Err(PlatformError::Unreachable { .. }) => ServiceResult::Unsent,
        Err(_) => ServiceResult::Lost,
    }
}
