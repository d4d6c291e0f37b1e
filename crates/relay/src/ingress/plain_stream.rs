//! Streams of endpoints of plain services, which are forwarded as they arrive.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::relay::EventSplitter;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::task::spawn_local;

use crate::engine::LoadGuard;
use crate::memory::HeldBytes;
use crate::node::NodeState;
use crate::telemetry::RequestLog;

use super::answer_head::AnswerHead;
use super::answer_head::is_framed;
use super::caller_body::CallerBody;
use super::caller_body::CallerStream;
use super::caller_body::channel_body;
use super::crash_check::record_served;
use super::relay_request::RelayRequest;
use super::send_fault::SendFault;

/// A stream that an endpoint has begun, with the load that it puts on the endpoint.
pub(super) struct PlainStream {
    pub(super) parts: Parts,
    pub(super) body: Incoming,
    /// The charge of the events that are not complete.
    pub(super) held: HeldBytes,
    pub(super) load: LoadGuard,
}

/// How the forwarding of a stream ended.
enum StreamEnd {
    Complete,
    /// The endpoint's stream is not whole, for a cause as it appears in logs and metrics.
    Cut(&'static str),
    /// The caller has not read the events by its deadline.
    CallerStalled,
    /// The caller has disconnected.
    CallerLeft,
}

impl PlainStream {
    /// Forwards the complete events to the caller as they arrive; returns the response.
    ///
    /// No other endpoint continues a stream of a plain service, so its caller sees where it breaks off.
    pub(super) fn forward(
        self,
        state: Rc<NodeState>,
        relay: Rc<RelayRequest>,
        mut log: RequestLog,
    ) -> Response<CallerBody> {
        let (caller, body) = channel_body();
        let response = AnswerHead::of_stream(&*state.format, &self.parts).into_response(body);
        spawn_local(async move {
            let end = tokio::select! {
                end = self.forward_events(&state, &relay, &caller, &mut log) => end,
                () = caller.closed() => StreamEnd::CallerLeft,
            };
            match end {
                StreamEnd::Complete => {
                    record_served(&state, &relay);
                    log.set_outcome("served");
                    caller.finish();
                }
                StreamEnd::Cut(cause) => {
                    state.metrics.count_cut_stream(cause);
                    log.add_cause(cause);
                    log.set_outcome("cut");
                }
                StreamEnd::CallerStalled => log.set_outcome("caller-stalled"),
                StreamEnd::CallerLeft => {}
            }
        });
        response
    }

    async fn forward_events(
        self,
        state: &NodeState,
        relay: &RelayRequest,
        caller: &CallerStream,
        log: &mut RequestLog,
    ) -> StreamEnd {
        let PlainStream {
            parts,
            mut body,
            held,
            load: _load,
        } = self;
        let last_event = relay.caller.last_event.as_deref();
        let last_id = last_event.and_then(|text| text.trim().parse().ok());
        let mut splitter = EventSplitter::new(last_id);
        let left_ms = || relay.deadline.since(state.clock.now());
        loop {
            let wait = Duration::from_millis(left_ms());
            let frame: Frame<Bytes> = match tokio::time::timeout(wait, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return StreamEnd::Cut("stream cut"),
                Ok(None) if splitter.has_partial_event() => return StreamEnd::Cut("event cut"),
                // An endpoint that ends before its first event closes the connection as well.
                Ok(None) if splitter.data_count() == 0 && !is_framed(&parts.headers) => {
                    return StreamEnd::Cut("no event");
                }
                Ok(None) => return StreamEnd::Complete,
                Err(_) => return StreamEnd::Cut("out of time"),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let Ok(events) = splitter.push(&data) else {
                return StreamEnd::Cut("malformed event");
            };
            if !held.resize(splitter.buffered_bytes()) {
                return StreamEnd::Cut("out of memory budget");
            }
            if events.is_empty() {
                continue;
            }
            log.record_piece();
            match caller.send(Bytes::from(events), left_ms()).await {
                Ok(()) => {}
                Err(SendFault::Closed) => return StreamEnd::CallerLeft,
                Err(SendFault::Stalled) => return StreamEnd::CallerStalled,
            }
        }
    }
}
