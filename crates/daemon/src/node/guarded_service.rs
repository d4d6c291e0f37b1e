use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use jsonrpsee::server::HttpRequest;
use jsonrpsee::server::HttpResponse;
use tower::Service;

use super::cluster_guard::CLUSTER_HEADER;
use super::cluster_guard::ClusterGuard;

/// The HTTP service of the internal listener behind its guard.
#[derive(Clone, Debug)]
pub(super) struct GuardedService<S> {
    guard: Arc<ClusterGuard>,
    service: S,
}

impl<S> GuardedService<S> {
    /// Puts `guard` before `service`.
    pub(super) fn new(guard: Arc<ClusterGuard>, service: S) -> GuardedService<S> {
        GuardedService { guard, service }
    }
}

impl<S> Service<HttpRequest> for GuardedService<S>
where
    S: Service<HttpRequest, Response = HttpResponse>,
    S::Error: Send + 'static,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, S::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.service.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest) -> Self::Future {
        match self.guard.refuse(request.headers().get(CLUSTER_HEADER)) {
            Some(answer) => Box::pin(std::future::ready(Ok(answer))),
            None => Box::pin(self.service.call(request)),
        }
    }
}
