/*!
The routes of the completions API: completions, chat and the list of models.

A request passes authentication, the limit of its client account and the check for earlier crashes.
Its [`StreamMachine`](dandelionroad_core::stream::StreamMachine) then decides on routes, retries and
failure handling, and a driver task performs the actions of the machine: it chooses routes,
subscribes to the first endpoint of the route and passes the tokens on to the caller.
*/

mod answer_body;
mod answer_event;
mod answer_stream;
mod completion_request;
mod crash_handling;
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

pub(super) use self::crash_handling::load_crashes;

/// The maximum size of a request body in bytes; half of the maximum size of an internal message.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Returns the routes of the completions API.
pub(super) fn routes(context: &Arc<NodeContext>) -> Router {
    Router::new()
        .route("/v1/completions", post(model_handlers::complete))
        .route("/v1/chat/completions", post(model_handlers::chat))
        .route("/v1/models", get(model_handlers::list_models))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context.clone())
}
