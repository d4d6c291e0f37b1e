use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio_stream::wrappers::ReceiverStream;

/// Sends the pieces of a body; an error closes the connection.
pub(crate) type PieceSender = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// A response of a fake server, whose body is streamed from a channel.
pub(crate) struct FakeResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) pieces: mpsc::Receiver<Result<Bytes, std::io::Error>>,
}

impl FakeResponse {
    /// Creates a response with a body that is known in full.
    pub(crate) fn new(status: u16, body: &str) -> FakeResponse {
        let (sender, response) = FakeResponse::streamed(status);
        sender.try_send(Ok(Bytes::from(body.to_owned()))).unwrap();
        response
    }

    /// Creates a response with a streamed body, and the sender of the body's pieces.
    pub(crate) fn streamed(status: u16) -> (PieceSender, FakeResponse) {
        let (sender, pieces) = mpsc::channel(64);
        let response = FakeResponse {
            status,
            headers: Vec::new(),
            pieces,
        };
        (sender, response)
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> FakeResponse {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// Serves requests on a free port of the loopback interface.
pub(crate) async fn serve_fake<F>(answer: impl Fn(Parts, Bytes) -> F + 'static) -> SocketAddr
where
    F: Future<Output = FakeResponse> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Rc::new(answer);
    spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let answer = Rc::clone(&answer);
            spawn_local(async move {
                let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
                    let answer = Rc::clone(&answer);
                    async move {
                        let (parts, body) = request.into_parts();
                        let body = body.collect().await.unwrap().to_bytes();
                        let fake = answer(parts, body).await;
                        let mut response = Response::builder().status(fake.status);
                        for (name, value) in &fake.headers {
                            response = response.header(*name, value);
                        }
                        let pieces = ReceiverStream::new(fake.pieces);
                        let body = StreamBody::new(pieces.map(|piece| piece.map(Frame::data)));
                        Ok::<_, Infallible>(response.body(body).unwrap())
                    }
                });
                // Tests close connections on purpose, so errors are expected.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}
