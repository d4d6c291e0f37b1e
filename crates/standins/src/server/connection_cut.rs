use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;

/// Marks a response in place of which the connection is closed without a byte.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCut;

impl IntoResponse for ConnectionCut {
    fn into_response(self) -> Response {
        let mut response = Response::new(Body::empty());
        response.extensions_mut().insert(self);
        response
    }
}
