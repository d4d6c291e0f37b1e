/*!
Calls to plain services, by service name and path.
*/

use std::sync::Arc;

use axum::Router;

use crate::node::NodeContext;

/// Returns the routes of this part.
pub(super) fn routes(_context: &Arc<NodeContext>) -> Router {
    Router::new()
}
