use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use tokio::net::TcpListener;

use crate::internal_server::serve_responses;
use crate::node::NodeState;

/// Serves metrics to scrapers and the row snapshot to other processes, until the process ends.
pub async fn serve_metrics(state: Rc<NodeState>, listener: TcpListener) {
    let respond = move |request: &hyper::Request<_>| respond(&state, request.uri().path());
    serve_responses(listener, "metrics", respond).await;
}

fn respond(state: &NodeState, path: &str) -> Response<Full<Bytes>> {
    let snapshot = state.row_snapshot.borrow();
    let (content_type, body) = match snapshot.rows_at(path) {
        Some(rows) => match serde_json::to_vec(rows) {
            Ok(body) => ("application/json", body),
            Err(error) => {
                spdlog::warn!("metrics: can't encode {path} for another process: {error}");
                ("application/json", Vec::new())
            }
        },
        None => ("text/plain; version=0.0.4", state.metrics.render(state)),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
