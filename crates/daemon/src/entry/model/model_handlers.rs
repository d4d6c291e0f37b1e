//! The handlers of the completions, chat and model list routes.

use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::response::IntoResponse;
use axum::response::Response;
use dandelionroad_core::config::AccountSpec;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ModelSpec;
use dandelionroad_core::hex::hex_text;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::StreamOrder;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::entry::routing::RoutingState;
use crate::node::NodeContext;

use super::super::caller_auth::authenticate;
use super::super::caller_auth::new_request_ident;
use super::super::caller_error::CallerError;
use super::super::caller_error::REQUEST_ID_HEADER;
use super::answer_stream::buffered_answer;
use super::answer_stream::streamed_answer;
use super::completion_request::CompletionRequest;
use super::crash_handling::admit_request;
use super::stream_driver::start_request;

type BodyResult = Result<Bytes, BytesRejection>;

/// Serves `POST /v1/completions`.
pub(super) async fn complete(
    State(context): State<Arc<NodeContext>>,
    headers: HeaderMap,
    body: BodyResult,
) -> Response {
    answer(context, headers, body, false).await
}

/// Serves `POST /v1/chat/completions`.
pub(super) async fn chat(
    State(context): State<Arc<NodeContext>>,
    headers: HeaderMap,
    body: BodyResult,
) -> Response {
    answer(context, headers, body, true).await
}

/// Serves `GET /v1/models`: lists the models that the client account may use.
pub(super) async fn list_models(
    State(context): State<Arc<NodeContext>>,
    headers: HeaderMap,
) -> Response {
    let config = context.config.borrow().clone();
    let account = match authenticate(&config, &headers, &new_request_ident()) {
        Ok(account) => account,
        Err(error) => return error.into_response(),
    };
    let models = config.models.iter();
    let granted = models.filter(|model| account.models.contains(&model.name));
    let data: Vec<_> = granted
        .map(|model| {
            json!({
                "id": model.name.as_str(),
                "object": "model",
                "created": 0,
                "owned_by": "dandelionroad",
            })
        })
        .collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn answer(
    context: Arc<NodeContext>,
    headers: HeaderMap,
    body: BodyResult,
    is_chat: bool,
) -> Response {
    let ident = new_request_ident();
    let result = try_answer(context, &ident, &headers, body, is_chat).await;
    let mut response = result.unwrap_or_else(IntoResponse::into_response);
    if let Ok(value) = HeaderValue::from_str(ident.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

async fn try_answer(
    context: Arc<NodeContext>,
    ident: &RequestIdent,
    headers: &HeaderMap,
    body: BodyResult,
    is_chat: bool,
) -> Result<Response, CallerError> {
    let config = context.config.borrow().clone();
    let account = authenticate(&config, headers, ident)?;
    let bad_request = |detail: &str| CallerError::not_run(ident, RefusalReason::BadRequest, detail);
    let body = body.map_err(|error| bad_request(&error.body_text()))?;
    let request = CompletionRequest::parse(&body, is_chat).map_err(|fault| bad_request(&fault))?;
    let model = granted_model(&config, &account, &request.model).ok_or_else(|| {
        let detail = "the client account has no access to a model of this name";
        CallerError::not_run(ident, RefusalReason::NotFound, detail)
    })?;
    let mut order = StreamOrder {
        request: ident.clone(),
        attempt: 0,
        fingerprint: fingerprint(&account, model, &body),
        account: account.name,
        weight: account.weight,
        priority: account.priority,
        model: model.name.clone(),
        version: model.version,
        suspect: false,
        route: ChainRoute { stages: Vec::new() },
        prompt: request.prompt.clone(),
        sent: Vec::new(),
        max_tokens: request.max_tokens,
        deadline_in_ms: context.settings.request_deadline_ms,
    };
    let members = context.members.borrow().clone();
    let units = RoutingState::request_units(&order);
    let now = context.clock.now();
    let taken = context
        .limits
        .take(&config, &members, &order.account, units, now);
    taken.map_err(|retry_after_ms| CallerError::account_limit(ident, retry_after_ms))?;
    let shared = request.shared_messages.iter();
    let parts: Vec<PromptPart> = shared
        .map(|digest| PromptPart::new(order.model.as_str(), digest))
        .collect();
    admit_request(&context, &mut order, &parts).await?;
    let events = start_request(context, order, parts);
    if request.is_stream {
        streamed_answer(ident, &request, events).await
    } else {
        buffered_answer(ident, &request, events).await
    }
}

fn granted_model<'a>(
    config: &'a ConfigState,
    account: &AccountSpec,
    name: &str,
) -> Option<&'a ModelSpec> {
    let name = ModelName::parse(name).ok()?;
    if !account.models.contains(&name) {
        return None;
    }
    config.model(&name)
}

/// Returns the fingerprint that identifies the request in the crash counts: the SHA-256 of client
/// account, model and body.
fn fingerprint(account: &AccountSpec, model: &ModelSpec, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    digest.update(account.name.as_str());
    digest.update([0]);
    digest.update(model.name.as_str());
    digest.update([0]);
    digest.update(body);
    let digest = digest.finalize();
    hex_text(&digest)
}
