use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use tokio::net::TcpListener;

use crate::internal_server::serve_answers;
use crate::node::NodeState;

/// Answers the balancer's question whether this process takes callers, until the process ends.
pub async fn serve_readiness(state: Rc<NodeState>, listener: TcpListener) {
    serve_answers(listener, "readiness", move |_| {
        let mut response = Response::new(Full::<Bytes>::default());
        if !state.view.borrow().is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    })
    .await;
}
