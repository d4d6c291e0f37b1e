//! Connections that are accepted, and answers to calls that need no waiting.

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

/// The pause after a connection could not be accepted, in milliseconds.
///
/// The usual cause is that all descriptors are in use, which takes requests to end.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Returns the next connection of a listener, which logs name `listener_name`.
pub(crate) async fn accept_stream(listener: &TcpListener, listener_name: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                spdlog::warn!("{listener_name}: can't accept: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

/// Answers the calls on a listener until the process ends.
pub(crate) async fn serve_answers(
    listener: TcpListener,
    listener_name: &'static str,
    answer: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let stream = accept_stream(&listener, listener_name).await;
        let answer = Rc::clone(&answer);
        spawn_local(async move {
            let service = service_fn(move |request| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                spdlog::debug!("{listener_name}: connection ended: {error}");
            }
        });
    }
}
