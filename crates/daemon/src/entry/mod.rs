/*!
The role entry: the callers' listener and the administration listener.
*/

mod admin;
mod caller_auth;
mod caller_error;
mod model;
mod service;

use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use tokio::net::TcpListener;

use crate::node::NodeContext;

/// Serves both listeners until the process stops.
pub fn start(context: &Arc<NodeContext>, public: TcpListener, admin: TcpListener) {
    let callers = Router::new()
        .route("/healthz", get(async || "ok\n"))
        .merge(model::routes(context))
        .merge(service::routes(context));
    spawn_server(public, callers);
    spawn_server(admin, admin::routes(context));
}

fn spawn_server(listener: TcpListener, router: Router) {
    tokio::spawn(async move { axum::serve(listener, router).await });
}
