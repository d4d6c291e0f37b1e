//! Executes the actions of a stage that need I/O and passes the results to its stage machine.

use std::sync::Arc;
use std::time::Duration;

use dandelionroad_clients::engine::EngineStep;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::StageAction;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_messages::TokenMessage;
use dandelionroad_messages::stream_api::StreamApiClient;
use futures_util::future::join_all;

use super::engine_runner;
use super::peer_calls::call_peer;
use super::stream_registry::StreamRegistry;
use super::stream_slot::StreamSlot;

/// Spawns a task that executes an action.
pub(super) fn spawn(registry: Arc<StreamRegistry>, slot: Arc<StreamSlot>, action: StageAction) {
    tokio::spawn(run(registry, slot, action));
}

async fn run(registry: Arc<StreamRegistry>, slot: Arc<StreamSlot>, action: StageAction) {
    match action {
        StageAction::RunStep {
            session,
            position,
            range,
            is_last,
            payload,
        } => {
            let step = EngineStep {
                session,
                position,
                range,
                is_last,
                payload,
            };
            engine_runner::run_step(registry, slot, step).await;
        }
        StageAction::Generate { session, order } => {
            engine_runner::run_generate(registry, slot, session, *order).await;
        }
        StageAction::Push { address, message } => push(registry, slot, &address, message).await,
        StageAction::ReturnToken {
            address,
            request,
            attempt,
            position,
            text,
            end,
        } => {
            let token = TokenMessage {
                request,
                attempt,
                position,
                text,
                end,
            };
            return_token(registry, slot, &address, token).await;
        }
        StageAction::ReportFault {
            address,
            attempt,
            stage,
            kind,
        } => {
            let request = slot.lock().machine.order().request.clone();
            report_fault(&registry, &address, request, attempt, stage, kind).await;
        }
        StageAction::CancelSession { session } => {
            if let Some(engine) = &registry.context.clients.engine {
                // Fails if the engine is unreachable; a lost engine holds no session.
                let _ = engine.cancel(&session).await;
            }
        }
        StageAction::CancelStages { addresses } => {
            let request = slot.lock().machine.order().request.clone();
            let calls = addresses
                .iter()
                .map(|address| cancel(&registry, address, &request));
            join_all(calls).await;
        }
        // The registry executes these itself, as they need no I/O.
        StageAction::Emit(_) | StageAction::Forget => {}
    }
}

async fn push(
    registry: Arc<StreamRegistry>,
    slot: Arc<StreamSlot>,
    address: &str,
    message: StepMessage,
) {
    let attempt = message.attempt;
    let deadline = deadline(&registry);
    let result = call_peer(&registry.context.peers, address, deadline, |client| {
        let message = message.clone();
        async move { client.step_push(message).await }
    })
    .await;
    registry.drive(&slot, |machine, now| match result {
        Ok(reply) => machine.handle_push_reply(attempt, reply, now),
        Err(kind) => machine.handle_push_failure(attempt, kind, now),
    });
}

async fn return_token(
    registry: Arc<StreamRegistry>,
    slot: Arc<StreamSlot>,
    address: &str,
    token: TokenMessage,
) {
    let attempt = token.attempt;
    let deadline = deadline(&registry);
    let result = call_peer(&registry.context.peers, address, deadline, |client| {
        let token = token.clone();
        async move { client.token_return(token).await }
    })
    .await;
    registry.drive(&slot, |machine, now| {
        machine.handle_return_result(attempt, result.is_ok(), now)
    });
}

async fn report_fault(
    registry: &StreamRegistry,
    address: &str,
    request: RequestIdent,
    attempt: u32,
    stage: usize,
    kind: FaultKind,
) {
    let deadline = deadline(registry);
    // The entry replaces a head that can't be reached, which makes the report obsolete.
    let _ = call_peer(&registry.context.peers, address, deadline, |client| {
        let request = request.clone();
        async move { client.fault_report(request, attempt, stage, kind).await }
    })
    .await;
}

async fn cancel(registry: &StreamRegistry, address: &str, request: &RequestIdent) {
    let deadline = deadline(registry);
    // A stage that can't be reached removes the request after its idle timeout.
    let _ = call_peer(&registry.context.peers, address, deadline, |client| {
        let request = request.clone();
        async move { client.stream_cancel(request).await }
    })
    .await;
}

fn deadline(registry: &StreamRegistry) -> Duration {
    Duration::from_millis(registry.context.settings.step_deadline_ms)
}
