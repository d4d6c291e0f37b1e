/*!
The entry role: receives the requests of client accounts and sends them to endpoints.

An entry has two HTTP listeners. The public one serves the routes for models and plain services, and
the health and readiness probes of a load balancer. The other one serves the administration API.
Each request to the public routes passes a middleware layer that counts it as running, measures it
and records its outcome; the two probes are outside this layer.
*/

mod admin;
mod caller_auth;
mod caller_error;
pub mod crash;
mod entry_servers;
mod instrument_request;
mod instrumented_body;
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

/// Starts the servers of the public and the administration listener.
pub fn start(context: &Arc<NodeContext>, public: TcpListener, admin: TcpListener) -> EntryServers {
    tokio::spawn(model::load_crashes(context.clone()));
    let instrumentation = axum::middleware::from_fn_with_state(
        context.clone(),
        instrument_request::instrument_request,
    );
    let caller_routes = Router::new()
        .merge(model::routes(context))
        .merge(service::routes(context))
        .fallback(async || no_route("there is no such route"))
        .method_not_allowed_fallback(async || {
            let error = no_route("the route does not support this method");
            (StatusCode::METHOD_NOT_ALLOWED, error)
        })
        .layer(instrumentation)
        .route("/healthz", get(async || "ok\n"))
        .merge(
            Router::new()
                .route("/readyz", get(readiness))
                .with_state(context.clone()),
        );
    EntryServers::start((public, caller_routes), (admin, admin::routes(context)))
}

fn no_route(detail: &str) -> CallerError {
    CallerError::not_run(&new_request_ident(), RefusalReason::NotFound, detail)
}

/// Serves the load balancer's readiness probe: 200 if this entry accepts new requests, else 503.
async fn readiness(State(context): State<Arc<NodeContext>>) -> (StatusCode, &'static str) {
    if context.local_record.borrow().state != MemberState::Live {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if context.config.borrow().revision == 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    (StatusCode::OK, "ready\n")
}
