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

/// The start of the server-sent event that reports the failure of a started stream.
const ERROR_EVENT: &[u8] = b"event: error";

/// A response body that measures the times of its chunks and records how it ends.
///
/// For a stream, the time to the first token and the gaps between tokens are recorded as metrics. A
/// body that is dropped before its end counts as cancelled by the caller.
pub(super) struct InstrumentedBody {
    body: Body,
    record: RequestRecord,
    is_stream: bool,
    is_ended: bool,
    last_chunk_at: Option<Instant>,
    _running: RunningRequest,
}

/// The data of an error event.
#[derive(Deserialize)]
struct ErrorData {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    outcome: RequestOutcome,
    reason: RefusalReason,
}

impl InstrumentedBody {
    /// Wraps `body`; `is_stream` tells whether its chunks are server-sent events.
    pub(super) fn new(
        body: Body,
        record: RequestRecord,
        running: RunningRequest,
        is_stream: bool,
    ) -> InstrumentedBody {
        InstrumentedBody {
            is_ended: body.is_end_stream(),
            body,
            record,
            is_stream,
            last_chunk_at: None,
            _running: running,
        }
    }

    fn record_chunk(&mut self, data: &[u8]) {
        if !self.is_stream {
            return;
        }
        if data.starts_with(ERROR_EVENT) {
            self.record_error(data);
            return;
        }
        let now = Instant::now();
        match self.last_chunk_at.replace(now) {
            None => {
                let elapsed = now - self.record.start;
                telemetry::record_first_token(elapsed.as_secs_f64() * 1_000.0);
            }
            Some(last) => telemetry::record_token_gap((now - last).as_secs_f64() * 1_000.0),
        }
    }

    fn record_error(&mut self, data: &[u8]) {
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

impl HttpBody for InstrumentedBody {
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
                    self.record_chunk(data);
                }
                // A body of known length is not polled again after its last chunk.
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

impl Drop for InstrumentedBody {
    fn drop(&mut self) {
        if !self.is_ended {
            self.record.outcome = CANCELLED;
        }
    }
}
