/*!
The administration API: applies change tickets and shows the configuration, the members, the
throughput bounds and the accepted tickets.

Every request must send the administration token as a bearer token.
*/

mod admin_error;
mod config_routes;
mod member_routes;
mod ticket_routes;
mod ticket_runner;

use std::sync::Arc;

use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::middleware::Next;
use axum::middleware::from_fn_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::node::NodeContext;

use self::admin_error::AdminError;

use super::caller_auth::bearer_token;

/// Returns the routes of the administration API.
pub(super) fn routes(context: &Arc<NodeContext>) -> Router {
    Router::new()
        .merge(config_routes::routes())
        .merge(member_routes::routes())
        .merge(ticket_routes::routes())
        .fallback(async || AdminError::not_found("there is no such route; see docs/design.md"))
        .layer(from_fn_with_state(context.clone(), check_token))
        .with_state(context.clone())
}

async fn check_token(
    State(context): State<Arc<NodeContext>>,
    request: Request,
    next: Next,
) -> Response {
    if !is_authorized(&context.settings.admin_token, request.headers()) {
        return AdminError::unauthorized().into_response();
    }
    next.run(request).await
}

/// Returns whether the request has the expected token; an empty token is never accepted.
///
/// Compares digests in constant time, so that the response time reveals nothing about the token.
fn is_authorized(expected: &str, headers: &HeaderMap) -> bool {
    let given = bearer_token(headers).unwrap_or_default();
    let is_equal = Sha256::digest(given).ct_eq(&Sha256::digest(expected));
    !expected.is_empty() && bool::from(is_equal)
}
