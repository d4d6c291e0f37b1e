use crate::ClientFuture;

use super::ServiceAnswer;
use super::ServiceCall;

/// A client through which an endpoint calls its plain service.
pub trait ServiceClient: Send + Sync {
    /// Calls the service once, without retries.
    ///
    /// For a call with an idempotency key, the error
    /// [`Unreachable`](crate::PlatformError::Unreachable) proves that no byte was sent.
    fn call<'a>(&'a self, call: &'a ServiceCall) -> ClientFuture<'a, ServiceAnswer>;
}
