use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::node::NodeState;

/// Answers the balancer's question whether this process takes callers, until the process ends.
pub async fn serve_readiness(state: Rc<NodeState>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("readiness: can't accept: {error}");
                continue;
            }
        };
        let state = Rc::clone(&state);
        spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let is_ready = state.view.borrow().is_ready();
                async move {
                    let mut response = Response::new(Full::<Bytes>::default());
                    if !is_ready {
                        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                    }
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                spdlog::debug!("readiness: connection ended: {error}");
            }
        });
    }
}
