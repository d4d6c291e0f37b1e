use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::response::sse::Event;
use axum::response::sse::Sse;
use axum::routing::get;
use axum::routing::post;
use dandelionroad_clients::engine::EngineOrder;
use dandelionroad_clients::engine::EngineState;
use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::GenerateOrder;
use dandelionroad_clients::engine::GeneratedToken;
use dandelionroad_core::stream::StepPayload;
use futures_util::StreamExt;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::CacheEvent;
use super::EngineFaults;
use super::EngineMode;
use super::EngineStats;
use super::TokenModel;
use super::batch_job::BatchJob;
use super::batch_work::BatchWork;
use super::engine_context::EngineContext;
use super::generate_session::GenerateSession;
use super::layer_session::LayerSession;

type ContextState = State<Arc<EngineContext>>;

#[derive(Deserialize)]
struct CancelBody {
    session: String,
}

#[derive(Deserialize)]
struct OrderBody {
    order: EngineOrder,
    fence: u64,
}

#[derive(Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

/// Returns the routes of an engine stand-in.
pub(super) fn new_router(context: Arc<EngineContext>) -> Router {
    let protocol = Router::new()
        .route("/engine/step", post(run_step))
        .route("/engine/generate", post(generate))
        .route("/engine/cancel", post(cancel))
        .route("/engine/state", get(read_state))
        .route("/engine/order", post(apply_order))
        .route("/engine/events", get(read_events))
        .route(
            "/engine/cache/{session}",
            get(export_cache).put(import_cache),
        )
        .layer(axum::middleware::from_fn_with_state(
            context.clone(),
            hold_while_frozen,
        ));
    Router::new()
        .merge(protocol)
        .route("/engine/faults", get(read_faults).put(set_faults))
        .route("/engine/stats", get(read_stats))
        .route("/engine/crash", post(crash))
        .with_state(context)
}

/// Delays requests, and the answers to requests that have run, while the engine is frozen.
async fn hold_while_frozen(
    State(context): ContextState,
    request: axum::extract::Request,
    next: axum::middleware::Next,
) -> Response {
    context.wait_while_frozen().await;
    let response = next.run(request).await;
    context.wait_while_frozen().await;
    response
}

async fn run_step(State(context): ContextState, Json(step): Json<EngineStep>) -> Response {
    if let StepPayload::Text(text) = &step.payload
        && text.contains(&context.options.crash_marker)
    {
        return break_connection(&context).await;
    }
    let (reply, output) = oneshot::channel();
    let started = *context.started.borrow();
    {
        let mut memory = context.memory();
        let held = memory.state.range;
        let is_held = step.range.first >= held.first && step.range.end <= held.end;
        if context.options.mode != EngineMode::LayerRange || step.range.is_empty() || !is_held {
            return refuse(
                StatusCode::CONFLICT,
                "the engine does not hold the layers of the step",
            );
        }
        if !memory.state.ready {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no model is loaded");
        }
        let prompt_tokens = match &step.payload {
            StepPayload::Text(text) if step.position == 0 => {
                let capacity = context.options.cache_blocks;
                let cached = memory.cache.insert_prompt(text, capacity);
                memory.stats.cached_tokens += u64::from(cached);
                TokenModel::prompt_tokens(text).saturating_sub(cached)
            }
            _ => 0,
        };
        memory.queue.push(BatchJob {
            session: step.session.clone(),
            priority: 0,
            prompt_tokens,
            work: BatchWork::Step { step, reply },
        });
    }
    context.work.notify_one();
    match output.await {
        Ok(Ok(output)) => Json(output).into_response(),
        Ok(Err(detail)) => refuse(StatusCode::CONFLICT, &detail),
        Err(_) if context.memory().state.started != started => std::future::pending().await,
        Err(_) => refuse(StatusCode::CONFLICT, "the session was cancelled"),
    }
}

async fn generate(State(context): ContextState, Json(order): Json<GenerateOrder>) -> Response {
    if order.prompt.contains(&context.options.crash_marker) {
        return break_connection(&context).await;
    }
    if order.resume.len() as u32 >= order.max_tokens {
        return refuse(
            StatusCode::BAD_REQUEST,
            "no token is left to generate: resume has max_tokens tokens or more",
        );
    }
    let (tokens, receiver) = mpsc::unbounded_channel();
    {
        let mut memory = context.memory();
        if context.options.mode != EngineMode::WholeModel {
            return refuse(
                StatusCode::CONFLICT,
                "this is a layer-range engine; use /engine/step",
            );
        }
        if !memory.state.ready {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no model is loaded");
        }
        let cached = memory
            .cache
            .insert_prompt(&order.prompt, context.options.cache_blocks);
        memory.stats.cached_tokens += u64::from(cached);
        let session = GenerateSession::new(memory.state.version, memory.state.range, &order);
        memory.queue.retain(|job| job.session != order.session);
        memory.queue.push(BatchJob {
            session: order.session.clone(),
            priority: order.priority,
            prompt_tokens: TokenModel::prompt_tokens(&order.prompt).saturating_sub(cached),
            work: BatchWork::Generate {
                session: Box::new(session),
                tokens,
            },
        });
    }
    context.work.notify_one();
    let cut_after = context.faults.borrow().cut_after;
    let limit = cut_after.map_or(usize::MAX, |tokens| tokens as usize);
    let events = UnboundedReceiverStream::new(receiver)
        .take(limit)
        .map(|token: GeneratedToken| Event::default().json_data(token))
        .filter_map(async |event| event.ok().map(Ok::<Event, Infallible>));
    Sse::new(events).into_response()
}

async fn cancel(State(context): ContextState, Json(body): Json<CancelBody>) {
    let mut memory = context.memory();
    memory.stats.cancels += 1;
    memory.queue.retain(|job| job.session != body.session);
    memory.sessions.retain(|(name, _)| *name != body.session);
}

async fn read_state(State(context): ContextState) -> Json<EngineState> {
    Json(context.memory().state.clone())
}

async fn apply_order(State(context): ContextState, Json(body): Json<OrderBody>) -> Response {
    let ignore_fence = context.faults.borrow().ignore_fence;
    let applied = context
        .memory()
        .apply_order(&body.order, body.fence, ignore_fence);
    if let Err(highest) = applied {
        let detail = format!("stale fencing token {}, highest is {highest}", body.fence);
        return refuse(StatusCode::CONFLICT, &detail);
    }
    let model_changes = context.memory().model_changes;
    tokio::spawn(finish_model_load(context.clone(), model_changes));
    StatusCode::OK.into_response()
}

/// Marks the model ready after `load_ms`, unless a later order has changed the model meanwhile.
async fn finish_model_load(context: Arc<EngineContext>, model_changes: u64) {
    if context.options.load_ms > 0 {
        tokio::time::sleep(Duration::from_millis(context.options.load_ms)).await;
    }
    let mut memory = context.memory();
    if memory.model_changes == model_changes && !memory.state.model.is_empty() {
        memory.state.ready = true;
    }
}

async fn read_events(
    State(context): ContextState,
    Query(query): Query<EventQuery>,
) -> Json<Vec<CacheEvent>> {
    let options = &context.options;
    let memory = context.memory();
    let events = memory.cache.events(
        query.after,
        options.event_delay_ms,
        options.event_loss_interval,
    );
    Json(events)
}

async fn export_cache(State(context): ContextState, Path(name): Path<String>) -> Response {
    let memory = context.memory();
    match memory
        .sessions
        .binary_search_by(|(known, _)| known.cmp(&name))
    {
        Ok(index) => Json(&memory.sessions[index].1).into_response(),
        Err(_) => refuse(
            StatusCode::NOT_FOUND,
            "the engine has no session of this name",
        ),
    }
}

async fn import_cache(
    State(context): ContextState,
    Path(name): Path<String>,
    Json(session): Json<LayerSession>,
) -> Response {
    let mut memory = context.memory();
    let held = memory.state.range;
    let is_held = session.range.first >= held.first && session.range.end <= held.end;
    if session.version != memory.state.version || !is_held {
        let detail =
            "the cache is of another model version or of layers that the engine does not hold";
        return refuse(StatusCode::CONFLICT, detail);
    }
    match memory
        .sessions
        .binary_search_by(|(known, _)| known.cmp(&name))
    {
        Ok(index) => memory.sessions[index].1 = session,
        Err(index) => memory.sessions.insert(index, (name, session)),
    }
    StatusCode::OK.into_response()
}

async fn read_faults(State(context): ContextState) -> Json<EngineFaults> {
    Json(context.faults.borrow().clone())
}

async fn set_faults(State(context): ContextState, Json(faults): Json<EngineFaults>) {
    context.faults.send_replace(faults);
}

async fn read_stats(State(context): ContextState) -> Json<EngineStats> {
    Json(context.memory().stats.clone())
}

async fn crash(State(context): ContextState) -> Response {
    break_connection(&context).await
}

/// Crashes the engine; the listener then closes this connection before an answer is sent.
async fn break_connection(context: &EngineContext) -> Response {
    context.crash();
    std::future::pending().await
}

fn refuse(status: StatusCode, detail: &str) -> Response {
    (status, detail.to_owned()).into_response()
}
