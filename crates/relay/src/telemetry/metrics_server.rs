use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use tokio::net::TcpListener;

use crate::internal_server::serve_answers;
use crate::node::NodeState;

/// Serves metrics to scrapers and copies of rows to other processes, until the process ends.
pub async fn serve_metrics(state: Rc<NodeState>, listener: TcpListener) {
    let answer = move |request: &hyper::Request<_>| answer(&state, request.uri().path());
    serve_answers(listener, "metrics", answer).await;
}

fn answer(state: &NodeState, path: &str) -> Response<Full<Bytes>> {
    let copies = state.row_snapshot.borrow();
    let (kind, body) = match copies.at_path(path) {
        Some(rows) => match serde_json::to_vec(rows) {
            Ok(body) => ("application/json", body),
            Err(error) => {
                spdlog::warn!("metrics: rows not written: {error}");
                ("application/json", Vec::new())
            }
        },
        None => ("text/plain; version=0.0.4", state.metrics.render(state)),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let kind = hyper::header::HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
