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
use super::engine_shared::EngineShared;
use super::generate_session::GenerateSession;
use super::layer_session::LayerSession;

type Shared = State<Arc<EngineShared>>;

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
pub(super) fn new_router(shared: Arc<EngineShared>) -> Router {
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
            shared.clone(),
            hold_while_frozen,
        ));
    Router::new()
        .merge(protocol)
        .route("/engine/faults", get(read_faults).put(set_faults))
        .route("/engine/stats", get(read_stats))
        .route("/engine/crash", post(crash))
        .with_state(shared)
}

async fn hold_while_frozen(
    State(shared): Shared,
    request: axum::extract::Request,
    next: axum::middleware::Next,
) -> Response {
    shared.wait_thawed().await;
    let response = next.run(request).await;
    shared.wait_thawed().await;
    response
}

async fn run_step(State(shared): Shared, Json(step): Json<EngineStep>) -> Response {
    if let StepPayload::Text(text) = &step.payload
        && text.contains(&shared.options.crash_marker)
    {
        return break_connection(&shared).await;
    }
    let (reply, output) = oneshot::channel();
    let started = *shared.started.borrow();
    {
        let mut memory = shared.memory();
        let held = memory.state.range;
        let is_held = step.range.first >= held.first && step.range.end <= held.end;
        if shared.options.mode != EngineMode::LayerRange || step.range.is_empty() || !is_held {
            return refuse(
                StatusCode::CONFLICT,
                "the engine does not hold these layers",
            );
        }
        if !memory.state.ready {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no model is loaded");
        }
        let prompt_tokens = match &step.payload {
            StepPayload::Text(text) if step.position == 0 => {
                let capacity = shared.options.cache_blocks;
                let cached = memory.cache.touch(text, capacity);
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
    shared.work.notify_one();
    match output.await {
        Ok(Ok(output)) => Json(output).into_response(),
        Ok(Err(detail)) => refuse(StatusCode::CONFLICT, &detail),
        Err(_) if shared.memory().state.started != started => std::future::pending().await,
        Err(_) => refuse(StatusCode::CONFLICT, "the session was cancelled"),
    }
}

async fn generate(State(shared): Shared, Json(order): Json<GenerateOrder>) -> Response {
    if order.prompt.contains(&shared.options.crash_marker) {
        return break_connection(&shared).await;
    }
    if order.resume.len() as u32 >= order.max_tokens {
        return refuse(StatusCode::BAD_REQUEST, "no token is left to generate");
    }
    let (tokens, receiver) = mpsc::unbounded_channel();
    {
        let mut memory = shared.memory();
        if shared.options.mode != EngineMode::WholeModel {
            return refuse(StatusCode::CONFLICT, "the engine runs single steps only");
        }
        if !memory.state.ready {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no model is loaded");
        }
        let cached = memory
            .cache
            .touch(&order.prompt, shared.options.cache_blocks);
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
    shared.work.notify_one();
    let cut_after = shared.faults.borrow().cut_after;
    let limit = cut_after.map_or(usize::MAX, |tokens| tokens as usize);
    let events = UnboundedReceiverStream::new(receiver)
        .take(limit)
        .map(|token: GeneratedToken| Event::default().json_data(token))
        .filter_map(async |event| event.ok().map(Ok::<Event, Infallible>));
    Sse::new(events).into_response()
}

async fn cancel(State(shared): Shared, Json(body): Json<CancelBody>) {
    let mut memory = shared.memory();
    memory.stats.cancels += 1;
    memory.queue.retain(|job| job.session != body.session);
    memory.sessions.retain(|(name, _)| *name != body.session);
}

async fn read_state(State(shared): Shared) -> Json<EngineState> {
    Json(shared.memory().state.clone())
}

async fn apply_order(State(shared): Shared, Json(body): Json<OrderBody>) -> Response {
    let ignore_fence = shared.faults.borrow().ignore_fence;
    let applied = shared
        .memory()
        .apply_order(&body.order, body.fence, ignore_fence);
    if let Err(newest) = applied {
        let detail = format!("fencing number {} is below {newest}", body.fence);
        return refuse(StatusCode::CONFLICT, &detail);
    }
    let load_number = shared.memory().load_number;
    tokio::spawn(finish_load(shared.clone(), load_number));
    StatusCode::OK.into_response()
}

/// Marks the load complete, unless a later order replaced it.
async fn finish_load(shared: Arc<EngineShared>, load_number: u64) {
    if shared.options.load_ms > 0 {
        tokio::time::sleep(Duration::from_millis(shared.options.load_ms)).await;
    }
    let mut memory = shared.memory();
    if memory.load_number == load_number && !memory.state.model.is_empty() {
        memory.state.ready = true;
    }
}

async fn read_events(
    State(shared): Shared,
    Query(query): Query<EventQuery>,
) -> Json<Vec<CacheEvent>> {
    let options = &shared.options;
    let memory = shared.memory();
    let events = memory.cache.events(
        query.after,
        options.event_delay_ms,
        options.event_loss_interval,
    );
    Json(events)
}

async fn export_cache(State(shared): Shared, Path(name): Path<String>) -> Response {
    let memory = shared.memory();
    match memory
        .sessions
        .binary_search_by(|(known, _)| known.cmp(&name))
    {
        Ok(index) => Json(&memory.sessions[index].1).into_response(),
        Err(_) => refuse(StatusCode::NOT_FOUND, "the session is unknown"),
    }
}

async fn import_cache(
    State(shared): Shared,
    Path(name): Path<String>,
    Json(session): Json<LayerSession>,
) -> Response {
    let mut memory = shared.memory();
    let held = memory.state.range;
    let is_held = session.range.first >= held.first && session.range.end <= held.end;
    if session.version != memory.state.version || !is_held {
        let detail = "the cache belongs to another version or other layers";
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

async fn read_faults(State(shared): Shared) -> Json<EngineFaults> {
    Json(shared.faults.borrow().clone())
}

async fn set_faults(State(shared): Shared, Json(faults): Json<EngineFaults>) {
    shared.faults.send_replace(faults);
}

async fn read_stats(State(shared): Shared) -> Json<EngineStats> {
    Json(shared.memory().stats.clone())
}

async fn crash(State(shared): Shared) -> Response {
    break_connection(&shared).await
}

/// Crashes the engine, which closes this connection before any answer is sent.
async fn break_connection(shared: &EngineShared) -> Response {
    shared.crash();
    std::future::pending().await
}

fn refuse(status: StatusCode, detail: &str) -> Response {
    (status, detail.to_owned()).into_response()
}
