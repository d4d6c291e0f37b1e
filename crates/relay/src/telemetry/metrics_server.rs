use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::node::NodeState;

/// Serves metrics to scrapers and copies of rows to other processes, until the process ends.
pub async fn serve_metrics(state: Rc<NodeState>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("metrics: can't accept: {error}");
                continue;
            }
        };
        let state = Rc::clone(&state);
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let state = Rc::clone(&state);
                async move { Ok::<_, Infallible>(answer(&state, request.uri().path())) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                spdlog::debug!("metrics: connection ended: {error}");
            }
        });
    }
}

fn answer(state: &NodeState, path: &str) -> Response<Full<Bytes>> {
    let copies = state.copies.borrow();
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
