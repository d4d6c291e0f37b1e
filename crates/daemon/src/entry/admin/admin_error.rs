use axum::Json;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use dandelionroad_clients::PlatformError;
use serde_json::json;

/// An error response of the administration API.
#[derive(Clone, Debug)]
pub(super) struct AdminError {
    pub(super) status: StatusCode,
    /// The kind of error, for use by programs.
    pub(super) reason: &'static str,
    /// A description of the error and its remedy, for operators.
    pub(super) message: String,
}

impl AdminError {
    /// Creates the error for a request with invalid content.
    pub(super) fn bad_request(message: impl Into<String>) -> AdminError {
        AdminError {
            status: StatusCode::BAD_REQUEST,
            reason: "bad-request",
            message: message.into(),
        }
    }

    /// Creates the error for a route or an object that does not exist.
    pub(super) fn not_found(message: impl Into<String>) -> AdminError {
        AdminError {
            status: StatusCode::NOT_FOUND,
            reason: "not-found",
            message: message.into(),
        }
    }

    /// Creates the error for a missing or wrong administration token.
    pub(super) fn unauthorized() -> AdminError {
        AdminError {
            status: StatusCode::UNAUTHORIZED,
            reason: "unauthorized",
            message: "the bearer token is missing or wrong; send DANDELIONROAD_ADMIN_TOKEN".into(),
        }
    }
}

impl From<PlatformError> for AdminError {
    fn from(error: PlatformError) -> AdminError {
        AdminError {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "store-down",
            message: error.to_string(),
        }
    }
}

impl IntoResponse for AdminError {
    fn into_response(self) -> Response {
        let body = json!({"error": {"reason": self.reason, "message": self.message}});
        (self.status, Json(body)).into_response()
    }
}
