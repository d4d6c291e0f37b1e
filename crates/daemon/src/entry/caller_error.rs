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

/// The header that carries the outcome of a refused or failed request.
pub(super) const OUTCOME_HEADER: &str = "x-dandelionroad-outcome";

/// The header that carries the request identifier.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// A refusal or failure as the caller sees it.
#[derive(Clone, Debug)]
pub(super) struct CallerError {
    /// The request.
    pub(super) request: RequestIdent,
    /// What is known about the request.
    pub(super) outcome: RequestOutcome,
    /// Why there is no answer.
    pub(super) reason: RefusalReason,
    /// What happened, in one sentence without the remedy.
    pub(super) detail: String,
    /// The time after which a retry can succeed, in milliseconds.
    pub(super) retry_after_ms: u64,
}

impl CallerError {
    /// Creates an error for a request that was not run, with a retry after one second.
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

    /// Creates the error for a request beyond the limit of its client account.
    pub(super) fn account_limit(request: &RequestIdent, retry_after_ms: u64) -> CallerError {
        let detail = "the client account is over its limit of work units";
        CallerError {
            retry_after_ms,
            ..CallerError::not_run(request, RefusalReason::AccountLimit, detail)
        }
    }

    /// Returns whether the same request can succeed at a later time.
    fn may_succeed_later(&self) -> bool {
        matches!(
            self.status(),
            StatusCode::CONFLICT
                | StatusCode::GATEWAY_TIMEOUT
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
        )
    }

    /// Returns the JSON body.
    pub(super) fn body(&self) -> Value {
        json!({"error": {
            "outcome": self.outcome.as_str(),
            "reason": self.reason.as_str(),
            "message": format!("{}; {}", self.detail, self.reason.remedy()),
            "request_id": self.request.as_str(),
        }})
    }

    /// Returns the HTTP status.
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
        if self.outcome == RequestOutcome::NotRun && self.may_succeed_later() {
            let seconds = self.retry_after_ms.div_ceil(1_000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
