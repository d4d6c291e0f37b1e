use axum::Json;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use serde_json::Value;
use serde_json::json;

/// The response header with the outcome of a refused or failed request.
pub(super) const OUTCOME_HEADER: &str = "x-dandelionroad-outcome";

/// The response header with the request identifier.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The error response to a request that was refused or failed.
#[derive(Clone, Debug)]
pub(super) struct CallerError {
    pub(super) request: RequestIdent,
    /// Whether the request ran, as far as this entry knows.
    pub(super) outcome: RequestOutcome,
    /// The cause, which determines the HTTP status and the remedy in the message.
    pub(super) reason: RefusalReason,
    /// A one-sentence description of the error, without the remedy.
    pub(super) detail: String,
    /// The time after which a retry may succeed, in milliseconds.
    pub(super) retry_after_ms: u64,
}

impl CallerError {
    /// Creates the error for a request that was not run; it may be retried after one second.
    pub(super) fn not_run(
        request: &RequestIdent,
        reason: RefusalReason,
        detail: &str,
    ) -> CallerError {
        CallerError {
            request: request.clone(),
            outcome: RequestOutcome::NotRun,
            reason,
            detail: detail.to_owned(),
            retry_after_ms: 1_000,
        }
    }

    /// Creates the error for a request that exceeds the work-unit limit of its client account.
    pub(super) fn account_limit(request: &RequestIdent, retry_after_ms: u64) -> CallerError {
        let detail = "the client account exceeds its limit of work units";
        CallerError {
            retry_after_ms,
            ..CallerError::not_run(request, RefusalReason::AccountLimit, detail)
        }
    }

    /// Returns whether a later retry of the same request may succeed.
    fn is_retryable(&self) -> bool {
        matches!(
            self.status(),
            StatusCode::CONFLICT
                | StatusCode::GATEWAY_TIMEOUT
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
        )
    }

    /// Returns the JSON body of the response.
    pub(super) fn body(&self) -> Value {
        json!({"error": {
            "outcome": self.outcome.as_str(),
            "reason": self.reason.as_str(),
            "message": format!("{}; {}", self.detail, self.reason.remedy()),
            "request_id": self.request.as_str(),
        }})
    }

    pub(super) fn status(&self) -> StatusCode {
        match self.reason {
            RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
            RefusalReason::BadRequest | RefusalReason::KeyMissing => StatusCode::BAD_REQUEST,
            RefusalReason::NotFound => StatusCode::NOT_FOUND,
            RefusalReason::KeyReused | RefusalReason::Crasher => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalReason::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::InProgress => StatusCode::CONFLICT,
            RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            RefusalReason::EndpointLost | RefusalReason::ServiceError => StatusCode::BAD_GATEWAY,
            RefusalReason::Overloaded
            | RefusalReason::Leaving
            | RefusalReason::NotLoaded
            | RefusalReason::NoEndpoint
            | RefusalReason::StoreDown
            | RefusalReason::RetryBudget => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl IntoResponse for CallerError {
    fn into_response(self) -> Response {
        let mut response = (self.status(), Json(self.body())).into_response();
        response.extensions_mut().insert(self.reason);
        let headers = response.headers_mut();
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Ok(request) = HeaderValue::from_str(self.request.as_str()) {
            headers.insert(REQUEST_ID_HEADER, request);
        }
        if self.outcome == RequestOutcome::NotRun && self.is_retryable() {
            let seconds = self.retry_after_ms.div_ceil(1_000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
