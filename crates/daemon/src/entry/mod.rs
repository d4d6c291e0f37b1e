/*!
The role entry: the callers' listener and the administration listener.
*/

mod admin;
mod caller_auth;
mod caller_error;
pub mod crash;
mod entry_servers;
mod follow_request;
mod followed_body;
mod model;
mod request_record;
pub mod routing;
mod service;

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::outcome::RefusalReason;
use tokio::net::TcpListener;

use crate::node::NodeContext;

use self::caller_auth::new_request_ident;
use self::caller_error::CallerError;

pub use self::entry_servers::EntryServers;

/// Serves both listeners until they are closed.
pub fn start(context: &Arc<NodeContext>, public: TcpListener, admin: TcpListener) -> EntryServers {
    let follow =
        axum::middleware::from_fn_with_state(context.clone(), follow_request::follow_request);
    let callers = Router::new()
        .merge(model::routes(context))
        .merge(service::routes(context))
        .fallback(async || no_route("there is no such route"))
        .method_not_allowed_fallback(async || {
            let error = no_route("the route does not take this method");
            (StatusCode::METHOD_NOT_ALLOWED, error)
        })
        .layer(follow)
        .route("/healthz", get(async || "ok\n"))
        .merge(
            Router::new()
                .route("/readyz", get(readiness))
                .with_state(context.clone()),
        );
    EntryServers::start((public, callers), (admin, admin::routes(context)))
}

fn no_route(detail: &str) -> CallerError {
    CallerError::not_run(&new_request_ident(), RefusalReason::NotFound, detail)
}

/// Answers 200 while this entry may be given new requests by the balancer.
async fn readiness(State(context): State<Arc<NodeContext>>) -> (StatusCode, &'static str) {
    if context.local_record.borrow().state != MemberState::Live {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if context.config.borrow().revision == 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    (StatusCode::OK, "ready\n")
}
