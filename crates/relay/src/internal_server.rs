//! Helpers for HTTP listeners: accepting connections, and serving responses that need no waiting.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// The pause after an error of `accept`, in milliseconds.
///
/// The usual cause is that all file descriptors are in use, which passes only when requests end.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Accepts the next connection; retries after errors, which are logged under `listener_name`.
pub(crate) async fn accept_stream(listener: &TcpListener, listener_name: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                spdlog::warn!("{listener_name}: can't accept a connection, retrying: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

/// Serves the requests on a listener with the responses of `respond` until the process ends.
pub(crate) async fn serve_responses(
    listener: Rc<TcpListener>,
    listener_name: &'static str,
    respond: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let respond = Rc::new(respond);
    loop {
        let stream = accept_stream(&listener, listener_name).await;
        let respond = Rc::clone(&respond);
        spawn_local(async move {
            let service = service_fn(move |request| {
                let response = respond(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                spdlog::debug!("{listener_name}: connection failed: {error}");
            }
        });
    }
}
