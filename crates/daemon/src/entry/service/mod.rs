/*!
Calls to plain services, addressed by service name and path.

An idempotent call is retried at other endpoints after a failure. A call that is not idempotent must
carry an idempotency key: its attempts are recorded in rows of the table service, so that a repeated
call returns the recorded outcome, or waits for it, instead of running a second time. The state
machines that decide on this are in [`dandelionroad_core::dispatch`]; the drivers here perform their
actions.
*/

mod call_driver;
mod call_forward;
mod call_request;
mod endpoint_choice;
mod retry_driver;
mod row_sweeper;
mod service_handlers;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::any;

use crate::node::NodeContext;

/// The maximum size of a request body in bytes; half of the maximum size of an internal message.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Returns the routes to plain services and starts the task that deletes the rows of old calls.
pub(super) fn routes(context: &Arc<NodeContext>) -> Router {
    tokio::spawn(row_sweeper::run(Arc::downgrade(context)));
    Router::new()
        .route("/services/{service}", any(service_handlers::call))
        .route("/services/{service}/{*path}", any(service_handlers::call))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context.clone())
}
