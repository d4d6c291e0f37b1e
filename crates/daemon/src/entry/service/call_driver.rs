//! Runs a call that is not idempotent by performing the actions of its state machine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use dandelionroad_clients::encode_segment;
use dandelionroad_core::dispatch::CallAction;
use dandelionroad_core::dispatch::CallEvent;
use dandelionroad_core::dispatch::CallMachine;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::RetryAction;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::dispatch::ServiceResult;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;

use crate::call_rows::commit_row;
use crate::call_rows::read_row;
use crate::call_rows::service_key;
use crate::node::NodeContext;

use super::call_forward::CallForward;
use super::call_forward::query_attempt_state;
use super::call_request::CallRequest;
use super::endpoint_choice::choose_endpoint;
use super::retry_driver;

/// The timeout of a query to a service for the outcome of a call, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 2_000;

/// The time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

struct CallDriver<'a> {
    context: &'a Arc<NodeContext>,
    request: &'a CallRequest,
    tried: Vec<String>,
}

/// Runs a call that is not idempotent and returns the last action of its machine, which is `Answer`
/// or `Refuse`.
pub(super) async fn run(
    context: &Arc<NodeContext>,
    request: &CallRequest,
    key: RowKey,
) -> CallAction {
    let token = format!("{}-{:032x}", context.settings.name, rand::random::<u128>());
    let fingerprint = request.order.fingerprint.clone();
    let has_status_path = request.service.status_path.is_some();
    let (mut machine, actions) =
        CallMachine::start(key, fingerprint, token, request.deadline, has_status_path);
    let mut driver = CallDriver {
        context,
        request,
        tried: Vec::new(),
    };
    let mut queue = VecDeque::from(actions);
    while let Some(action) = queue.pop_front() {
        if matches!(
            action,
            CallAction::Answer { .. } | CallAction::Refuse { .. }
        ) {
            return action;
        }
        if let Some(event) = driver.execute_action(action).await {
            queue.extend(machine.handle(event, context.clock.now()));
        }
    }
    // Not reached: until the call has a result, each event leads to a further action.
    CallAction::Refuse {
        outcome: RequestOutcome::Unknown,
        reason: RefusalReason::EndpointLost,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

impl CallDriver<'_> {
    async fn execute_action(&mut self, action: CallAction) -> Option<CallEvent> {
        let clients = &self.context.clients;
        Some(match action {
            CallAction::ReadRow(key) => match read_row(clients.table.as_ref(), &key).await {
                Ok(found) => CallEvent::RowRead(found),
                Err(_) => CallEvent::ReadFailed,
            },
            CallAction::Commit(change) => {
                CallEvent::CommitEnded(commit_row(clients.table.as_ref(), &change).await)
            }
            CallAction::Record(change) => {
                let table = clients.table.clone();
                // If the commit fails, the next repetition of the call queries the service again.
                tokio::spawn(async move { commit_row(table.as_ref(), &change).await });
                return None;
            }
            CallAction::Forward(key) => self.forward_call(key).await,
            CallAction::QueryRunner {
                key,
                address,
                incarnation,
            } => CallEvent::RunnerQueried(
                query_attempt_state(self.context, &address, key, incarnation).await,
            ),
            CallAction::QueryService => CallEvent::ServiceQueried(self.query_service().await),
            CallAction::ReadBody(key) => {
                let body = clients.object.get(&key).await.ok().flatten();
                CallEvent::BodyRead(body.and_then(|body| String::from_utf8(body.into()).ok()))
            }
            CallAction::Wait { until } => {
                let remaining_ms = until.since(self.context.clock.now());
                tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
                CallEvent::WaitElapsed
            }
            CallAction::Answer { .. } | CallAction::Refuse { .. } => return None,
        })
    }

    async fn forward_call(&mut self, key: RowKey) -> CallEvent {
        let chosen = choose_endpoint(self.context, &self.request.service, &self.tried);
        let Some((name, address)) = chosen else {
            return CallEvent::ForwardDenied {
                reason: RefusalReason::NoEndpoint,
                retry_after_ms: RETRY_AFTER_MS,
            };
        };
        self.tried.push(name.clone());
        let order = CallOrder {
            row: Some(key),
            deadline_in_ms: self.request.deadline.since(self.context.clock.now()),
            ..self.request.order.clone()
        };
        match CallForward::send(self.context, (&name, &address), order).await {
            CallForward::Replied(reply) => CallEvent::Replied(reply),
            CallForward::Unsent => CallEvent::ForwardUnsent,
            CallForward::Lost => CallEvent::ReplyLost,
        }
    }

    /// Queries the service at its status path, through any endpoint, for the outcome of the call.
    ///
    /// Only a response with a success status gives an outcome. Other statuses don't prove that the
    /// call has not run, since the service does not find a call in progress either.
    async fn query_service(&self) -> ServiceResult {
        let order = &self.request.order;
        let (Some(path), Some(key)) = (&self.request.service.status_path, &order.row) else {
            return ServiceResult::Lost;
        };
        let remaining_ms = self.request.deadline.since(self.context.clock.now());
        let query = CallOrder {
            method: "GET".to_owned(),
            path: format!(
                "{}/{}",
                path.trim_end_matches('/'),
                encode_segment(&service_key(key))
            ),
            content_type: String::new(),
            body: String::new(),
            row: None,
            fingerprint: String::new(),
            deadline_in_ms: remaining_ms.min(STATUS_TIMEOUT_MS),
            ..order.clone()
        };
        match retry_driver::run(self.context, &self.request.service, &query).await {
            RetryAction::Answer {
                status,
                content_type,
                body,
            } if status / 100 == 2 => ServiceResult::Answered {
                status,
                content_type,
                body,
            },
            _ => ServiceResult::Lost,
        }
    }
}
