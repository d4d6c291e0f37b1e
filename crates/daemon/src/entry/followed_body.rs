use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use axum::body::Body;
use axum::body::Bytes;
use axum::body::HttpBody;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use hyper::body::Frame;
use hyper::body::SizeHint;
use serde::Deserialize;

use crate::node::RunningRequest;
use crate::telemetry;

use super::request_record::CANCELLED;
use super::request_record::RequestRecord;

/// The start of the event that ends an answer that broke off.
const ERROR_EVENT: &[u8] = b"event: error";

/// The body of an answer; notes the times of its parts and how it ends.
pub(super) struct FollowedBody {
    body: Body,
    record: RequestRecord,
    is_stream: bool,
    is_ended: bool,
    last_part: Option<Instant>,
    _running: RunningRequest,
}

/// The data of the error event.
#[derive(Deserialize)]
struct ErrorData {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    outcome: RequestOutcome,
    reason: RefusalReason,
}

impl FollowedBody {
    /// Follows `body`; `is_stream` says that its parts are server-sent events.
    pub(super) fn new(
        body: Body,
        record: RequestRecord,
        running: RunningRequest,
        is_stream: bool,
    ) -> FollowedBody {
        FollowedBody {
            is_ended: body.is_end_stream(),
            body,
            record,
            is_stream,
            last_part: None,
            _running: running,
        }
    }

    fn note_part(&mut self, data: &[u8]) {
        if !self.is_stream {
            return;
        }
        if data.starts_with(ERROR_EVENT) {
            self.note_error(data);
            return;
        }
        let now = Instant::now();
        match self.last_part.replace(now) {
            None => {
                let elapsed = now - self.record.start;
                telemetry::record_first_token(elapsed.as_secs_f64() * 1_000.0);
            }
            Some(last) => telemetry::record_token_gap((now - last).as_secs_f64() * 1_000.0),
        }
    }

    fn note_error(&mut self, data: &[u8]) {
        self.record.outcome = RequestOutcome::Unknown.as_str();
        let text = String::from_utf8_lossy(data);
        let data = text.lines().find_map(|line| line.strip_prefix("data:"));
        let parsed = data.and_then(|data| serde_json::from_str::<ErrorData>(data).ok());
        if let Some(parsed) = parsed {
            self.record.outcome = parsed.error.outcome.as_str();
            self.record.reason = Some(parsed.error.reason);
        }
    }
}

impl HttpBody for FollowedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.note_part(data);
                }
                // A body of known length is not polled again after its last part.
                self.is_ended = self.body.is_end_stream();
            }
            Poll::Ready(None) => self.is_ended = true,
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for FollowedBody {
    fn drop(&mut self) {
        if !self.is_ended {
            self.record.outcome = CANCELLED;
        }
    }
}
