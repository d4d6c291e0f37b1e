use axum::Json;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use dandelionroad_clients::PlatformError;
use serde_json::json;

/// An error of the administration API.
#[derive(Clone, Debug)]
pub(super) struct AdminError {
    /// The HTTP status.
    pub(super) status: StatusCode,
    /// The kind of error, for programs.
    pub(super) reason: &'static str,
    /// What happened and what to do about it.
    pub(super) message: String,
}

impl AdminError {
    /// Creates an error for a request that can't be understood.
    pub(super) fn bad_request(message: impl Into<String>) -> AdminError {
        AdminError {
            status: StatusCode::BAD_REQUEST,
            reason: "bad-request",
            message: message.into(),
        }
    }

    /// Creates an error for something that does not exist.
    pub(super) fn not_found(message: impl Into<String>) -> AdminError {
        AdminError {
            status: StatusCode::NOT_FOUND,
            reason: "not-found",
            message: message.into(),
        }
    }

    /// Creates an error for a missing or wrong token.
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
