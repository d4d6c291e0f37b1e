/*!
Calls to plain services, by service name and path.
*/

mod call_driver;
mod call_handover;
mod call_request;
mod endpoint_choice;
mod repeat_driver;
mod row_sweeper;
mod service_handlers;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::any;

use crate::node::NodeContext;

/// The greatest size of a request's body in bytes, half of the greatest internal message.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Returns the routes of this part and starts the deletion of old rows.
pub(super) fn routes(context: &Arc<NodeContext>) -> Router {
    tokio::spawn(row_sweeper::run(Arc::downgrade(context)));
    Router::new()
        .route("/services/{service}", any(service_handlers::call))
        .route("/services/{service}/{*path}", any(service_handlers::call))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context.clone())
}
