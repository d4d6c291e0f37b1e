use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;

/// A response that makes the server close the connection instead of sending any byte.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCut;

impl IntoResponse for ConnectionCut {
    fn into_response(self) -> Response {
        let mut response = Response::new(Body::empty());
        response.extensions_mut().insert(self);
        response
    }
}
