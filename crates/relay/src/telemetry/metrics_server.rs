use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::Uri;
use hyper::header::CONTENT_TYPE;
use tokio::net::TcpListener;

use crate::internal_server::serve_responses;
use crate::node::NodeState;
use crate::peer::shared_body;

/// Serves metrics to scrapers and the rows that were read to other processes, until the process ends.
pub async fn serve_metrics(state: Rc<NodeState>, listener: Rc<TcpListener>) {
    let respond = move |request: &hyper::Request<_>| respond(&state, request.uri());
    serve_responses(listener, "metrics", respond).await;
}

fn respond(state: &NodeState, uri: &Uri) -> Response<Full<Bytes>> {
    let (content_type, body) = match shared_body(state, uri.path(), uri.query()) {
        Some(body) => ("application/octet-stream", body),
        None => {
            let text = state.metrics.render(state);
            ("text/plain; version=0.0.4", Bytes::from(text))
        }
    };
    let mut response = Response::new(Full::new(body));
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
