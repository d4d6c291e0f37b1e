use std::sync::Arc;

use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::dispatch::CallState;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_messages::CallAnswer;
use dandelionroad_messages::call_api::CallApiServer;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;

use super::call_registry::CallRegistry;
use super::dispatch_driver;
use super::plain_call;

/// The time after which a refused call may be retried, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Serves the call interface: runs calls and reports which attempts are running.
pub(super) struct CallServer {
    registry: Arc<CallRegistry>,
}

impl CallServer {
    /// Creates a server for the calls of `registry`.
    pub(super) fn new(registry: Arc<CallRegistry>) -> CallServer {
        CallServer { registry }
    }

    async fn run(&self, mut order: CallOrder) -> CallReply {
        let context = &self.registry.context;
        let arrival = context.clock.now();
        let running = context.requests.start();
        let permit = match self.registry.admission.admit(context, &order).await {
            Ok(permit) => permit,
            Err(reason) => return new_refusal(RequestOutcome::NotRun, reason),
        };
        let waited_ms = context.clock.now().since(arrival);
        order.deadline_in_ms = order.deadline_in_ms.saturating_sub(waited_ms);
        match order.row {
            Some(_) => dispatch_driver::run(&self.registry, order, permit, running).await,
            None => {
                let reply = plain_call::run(&self.registry, &order).await;
                permit.complete();
                reply
            }
        }
    }
}

#[async_trait]
impl CallApiServer for CallServer {
    async fn call_run(&self, order: CallOrder) -> RpcResult<CallAnswer> {
        let reply = self.run(order).await;
        Ok(CallAnswer {
            reply,
            load: self.registry.admission.load_report(),
            revision: self.registry.context.config.borrow().revision,
        })
    }

    async fn call_state(&self, row: RowKey, incarnation: u64) -> RpcResult<CallState> {
        Ok(match self.registry.is_running(&row, incarnation) {
            true => CallState::Running,
            false => CallState::Absent,
        })
    }
}

/// Returns a refusal with the default retry time.
pub(super) fn new_refusal(outcome: RequestOutcome, reason: RefusalReason) -> CallReply {
    CallReply::Refused {
        outcome,
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}
