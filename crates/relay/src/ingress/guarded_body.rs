use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::caller_body::CallerBody;
use super::request_guard::RequestGuard;

/// The body of a response, with the guard of its request.
pub(super) struct GuardedBody {
    body: CallerBody,
    _guard: RequestGuard,
}

impl GuardedBody {
    /// Creates a body that holds the guard until it is dropped.
    pub(super) fn new(body: CallerBody, guard: RequestGuard) -> GuardedBody {
        GuardedBody {
            body,
            _guard: guard,
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
