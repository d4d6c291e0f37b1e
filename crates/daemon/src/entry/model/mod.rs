/*!
The completions and chat routes.
*/

mod answer_body;
mod answer_event;
mod answer_stream;
mod completion_request;
mod crash_count;
mod head_stream;
mod model_handlers;
mod route_choice;
mod stream_driver;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::get;
use axum::routing::post;

use crate::node::NodeContext;

/// The greatest size of a request's body in bytes, half of the greatest internal message.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Returns the routes of this part.
pub(super) fn routes(context: &Arc<NodeContext>) -> Router {
    Router::new()
        .route("/v1/completions", post(model_handlers::complete))
        .route("/v1/chat/completions", post(model_handlers::chat))
        .route("/v1/models", get(model_handlers::list_models))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context.clone())
}
