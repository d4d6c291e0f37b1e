use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use tokio::net::TcpListener;

use crate::internal_server::serve_responses;
use crate::node::NodeState;

/// Serves the load balancer's readiness checks until the process ends: 200 if the process accepts
/// callers, otherwise 503.
pub async fn serve_readiness(state: Rc<NodeState>, listener: Rc<TcpListener>) {
    serve_responses(listener, "readiness", move |_| {
        let mut response = Response::new(Full::<Bytes>::default());
        if !state.view.borrow().is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    })
    .await;
}
