use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::relay::CallerLimits;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::EXPECT;
use tokio::task::spawn_local;

use super::request_guard::RequestGuard;

/// The body of a caller's request; what is left of it when it is dropped is received and discarded.
///
/// Otherwise the connection would be closed while the caller is still sending, and the caller could lose the response
/// by a reset.
#[derive(Debug)]
pub(super) struct RequestBody {
    /// `None` once the body has ended, or has failed.
    incoming: Option<Incoming>,
    guard: Option<RequestGuard>,
    limits: CallerLimits,
    is_expecting: bool,
}

impl RequestBody {
    /// Wraps the body of a request; `limits` are in force for what is discarded as well.
    pub(super) fn wrap(
        request: Request<Incoming>,
        guard: RequestGuard,
        limits: CallerLimits,
    ) -> Request<RequestBody> {
        let is_expecting = request.headers().contains_key(EXPECT);
        request.map(|incoming| RequestBody {
            incoming: Some(incoming),
            guard: Some(guard),
            limits,
            is_expecting,
        })
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(incoming) = self.incoming.as_mut() else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(incoming).poll_frame(context);
        match &polled {
            Poll::Ready(None | Some(Err(_))) => self.incoming = None,
            // The body was asked for, so the caller sends it.
            Poll::Pending | Poll::Ready(Some(Ok(_))) => self.is_expecting = false,
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.incoming.as_ref().map(Body::size_hint);
        hint.unwrap_or_else(|| SizeHint::with_exact(0))
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        // A caller that waits for an interim response may never send the body, so its connection is closed instead.
        if self.is_end_stream() || self.is_expecting {
            return;
        }
        let (limits, guard) = (self.limits, self.guard.take());
        if let Some(incoming) = self.incoming.take() {
            spawn_local(async move {
                let timeout = Duration::from_millis(limits.idle_timeout_ms);
                let discard = discard_body(incoming, limits.body_bytes);
                if tokio::time::timeout(timeout, discard).await.is_err() {
                    spdlog::debug!("request: the rest of a body took too long to discard");
                }
                drop(guard);
            });
        }
    }
}

/// Receives and drops the rest of a body, up to `max_bytes`.
async fn discard_body(mut incoming: Incoming, max_bytes: usize) {
    let mut left = max_bytes;
    while let Some(Ok(frame)) = incoming.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = left.checked_sub(length) else {
            spdlog::debug!("request: the rest of a body is too large to discard");
            return;
        };
        left = rest;
    }
}
