//! Runs steps and generations on the engine and passes the results to the request's stage machine.

use std::sync::Arc;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::GenerateOrder;
use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::StageOutput;
use dandelionroad_core::stream::StopReason;
use dandelionroad_core::stream::StreamOrder;
use futures_util::StreamExt;

use crate::telemetry::HopKind;
use crate::telemetry::HopSpan;

use super::stream_registry::StreamRegistry;
use super::stream_slot::StreamSlot;

/// Runs one step of a session on the engine.
pub(super) async fn run_step(
    registry: Arc<StreamRegistry>,
    slot: Arc<StreamSlot>,
    step: EngineStep,
) {
    let Some(engine) = registry.context.clients.engine.clone() else {
        registry.drive(&slot, |machine, now| {
            machine.handle_engine_failure(&step.session, FaultKind::Refused, now)
        });
        return;
    };
    let mut span = engine_span(&registry, &slot);
    span.set_number("position", u64::from(step.position));
    let result = engine.step(&step).await;
    drop(span);
    // A step that reaches the engine after the cancellation creates the session again and leaks it.
    if is_session_ended(&slot, &step.session) {
        // Fails if the engine is unreachable; a lost engine holds no session.
        let _ = engine.cancel(&step.session).await;
    }
    match result {
        Ok(output) => {
            let output = StageOutput {
                payload: output.payload,
                end: output.is_end.then_some(StopReason::Stop),
            };
            registry.drive(&slot, |machine, now| {
                machine.handle_step_output(&step.session, step.position, output, now)
            });
        }
        Err(error) => {
            let request = slot.lock().machine.order().request.clone();
            spdlog::warn!(
                "endpoint: engine step failed: {error}",
                kv: { request = request.as_str(), position = step.position }
            );
            let kind = fault_kind(&error);
            registry.drive(&slot, |machine, now| {
                machine.handle_engine_failure(&step.session, kind, now)
            });
        }
    }
}

/// Generates the answer with an engine that holds the whole model.
pub(super) async fn run_generate(
    registry: Arc<StreamRegistry>,
    slot: Arc<StreamSlot>,
    session: String,
    order: StreamOrder,
) {
    let result = generate(&registry, &slot, &session, order).await;
    if let Err(kind) = result {
        registry.drive(&slot, |machine, now| {
            machine.handle_engine_failure(&session, kind, now)
        });
    }
}

async fn generate(
    registry: &Arc<StreamRegistry>,
    slot: &Arc<StreamSlot>,
    session: &str,
    order: StreamOrder,
) -> Result<(), FaultKind> {
    let engine = registry.context.clients.engine.clone();
    let engine = engine.ok_or(FaultKind::Refused)?;
    let order = GenerateOrder {
        session: session.to_owned(),
        prompt: order.prompt,
        resume: order.sent,
        max_tokens: order.max_tokens,
        priority: order.priority,
    };
    let _span = engine_span(registry, slot);
    let mut tokens = engine
        .generate(&order)
        .await
        .map_err(|error| fault_kind(&error))?;
    while let Some(token) = tokens.next().await {
        let token = token.map_err(|error| fault_kind(&error))?;
        let end = token.is_end.then_some(StopReason::Stop);
        registry.drive(slot, |machine, now| {
            machine.handle_generated_token(session, token.position, token.text, end, now)
        });
        if end.is_some() || is_session_ended(slot, session) {
            return Ok(());
        }
    }
    // A stream that ends without an end token was cut off. The machine ignores this fault if the
    // answer is already complete.
    Err(FaultKind::EngineCrash)
}

fn engine_span(registry: &StreamRegistry, slot: &StreamSlot) -> HopSpan {
    let request = || slot.lock().machine.order().request.clone();
    HopSpan::start_lazy(
        HopKind::EngineCall,
        &registry.context.settings.name,
        request,
    )
}

fn is_session_ended(slot: &StreamSlot, session: &str) -> bool {
    let state = slot.lock();
    state.machine.is_finished() || state.machine.session() != session
}

fn fault_kind(error: &PlatformError) -> FaultKind {
    match error {
        PlatformError::Rejected { .. } | PlatformError::Invalid { .. } => FaultKind::Refused,
        PlatformError::Unreachable { .. } | PlatformError::Indeterminate { .. } => {
            FaultKind::EngineCrash
        }
    }
}
