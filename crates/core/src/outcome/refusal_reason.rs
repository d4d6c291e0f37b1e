use serde::Deserialize;
use serde::Serialize;

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The credential is missing or belongs to no client account.
    Unauthorized,
    /// The request is malformed or too large.
    BadRequest,
    /// The service, model or path is not configured or not granted to the client account.
    NotFound,
    /// A call that is not idempotent has no `Idempotency-Key` header.
    KeyMissing,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The client account has exceeded its limit.
    AccountLimit,
    /// The queue of every suitable endpoint is full.
    Overloaded,
    /// The request did not or can't complete before its deadline.
    Deadline,
    /// The endpoint is shutting down.
    Leaving,
    /// The engine does not hold the layers of the model version, or is about to unload them.
    NotLoaded,
    /// No endpoint is available for the request.
    NoEndpoint,
    /// The table service can't be reached, so the stored state of the request is unknown.
    StoreDown,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The request crashed the endpoints that ran it.
    Crasher,
    /// The endpoint was lost while it may have been running the request.
    EndpointLost,
    /// The service or engine returned an error.
    ServiceError,
    /// Another attempt of the same call is still running.
    InProgress,
}

impl RefusalReason {
    /// Returns the reason as it appears in JSON bodies, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Unauthorized => "unauthorized",
            RefusalReason::BadRequest => "bad-request",
            RefusalReason::NotFound => "not-found",
            RefusalReason::KeyMissing => "key-missing",
            RefusalReason::KeyReused => "key-reused",
            RefusalReason::AccountLimit => "account-limit",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::Deadline => "deadline",
            RefusalReason::Leaving => "leaving",
            RefusalReason::NotLoaded => "not-loaded",
            RefusalReason::NoEndpoint => "no-endpoint",
            RefusalReason::StoreDown => "store-down",
            RefusalReason::RetryBudget => "retry-budget",
            RefusalReason::Crasher => "crasher",
            RefusalReason::EndpointLost => "endpoint-lost",
            RefusalReason::ServiceError => "service-error",
            RefusalReason::InProgress => "in-progress",
        }
    }

    /// Returns what the caller can do about the refusal.
    pub const fn remedy(self) -> &'static str {
        match self {
            RefusalReason::Unauthorized => "send the client account's secret as a bearer token",
            RefusalReason::BadRequest => "correct the request and send it again",
            RefusalReason::NotFound => {
                "check the name, or ask an operator to grant it to the client account"
            }
            RefusalReason::KeyMissing => "send an Idempotency-Key header with this call",
            RefusalReason::KeyReused => "use a new Idempotency-Key for a different request",
            RefusalReason::AccountLimit => {
                "wait for the time in retry-after, or ask for a higher limit"
            }
            RefusalReason::Overloaded => {
                "wait for the time in retry-after and send the request again"
            }
            RefusalReason::Deadline => {
                "allow more time or send the request when there is less load"
            }
            RefusalReason::Leaving => "send the request again",
            RefusalReason::NotLoaded => "send the request again",
            RefusalReason::NoEndpoint => "send the request again when the pool has live endpoints",
            RefusalReason::StoreDown => "send the call again when the table service answers",
            RefusalReason::RetryBudget => {
                "wait for the time in retry-after and send the request again"
            }
            RefusalReason::Crasher => "do not send this request again; change its content",
            RefusalReason::EndpointLost => {
                "ask for the outcome with the same Idempotency-Key before a new call"
            }
            RefusalReason::ServiceError => "read the answer of the service",
            RefusalReason::InProgress => "send the call again with the same Idempotency-Key",
        }
    }
}
