//! Streams of endpoints of plain services, which are forwarded as they arrive.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::relay::AnswerProgress;
use dandelionroad_core::relay::EventSplitter;
use http_body_util::BodyExt;
use hyper::Response;
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
use super::crash_check::record_broken_run;
use super::crash_check::record_served;
use super::relay_request::RelayRequest;
use super::send_fault::SendFault;
use super::stream_relay::OUT_OF_BUDGET;
use super::stream_relay::fault_cause;
use super::stream_step::StreamStep;

/// A stream of an endpoint, with the load that it puts on it.
pub(super) struct PlainStream {
    state: Rc<NodeState>,
    /// The identifier of the endpoint.
    endpoint: String,
    parts: Parts,
    body: Incoming,
    splitter: EventSplitter,
    progress: AnswerProgress,
    /// The charge of the events that are not complete.
    held: HeldBytes,
    _load: LoadGuard,
}

/// Why a stream was not forwarded to its end.
enum StreamFault {
    Cut(&'static str),
    Caller(SendFault),
}

impl PlainStream {
    /// Creates the stream of the response of an endpoint.
    pub(super) fn new(
        state: &Rc<NodeState>,
        relay: &RelayRequest,
        endpoint: &str,
        response: Response<Incoming>,
        held: HeldBytes,
        load: LoadGuard,
    ) -> PlainStream {
        let (parts, body) = response.into_parts();
        let last_event = relay.caller.last_event.as_deref();
        let last_id = last_event.and_then(|text| text.trim().parse().ok());
        PlainStream {
            state: Rc::clone(state),
            endpoint: endpoint.to_owned(),
            parts,
            body,
            splitter: EventSplitter::new(last_id),
            progress: AnswerProgress::new(),
            held,
            _load: load,
        }
    }

    /// Waits for the next complete events.
    pub(super) async fn next_step(&mut self) -> StreamStep {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return StreamStep::Cut("stream cut"),
                None if self.splitter.has_partial_event() => return StreamStep::Cut("event cut"),
                // An endpoint that ends before its first event closes the connection as well.
                None if self.splitter.data_count() == 0 && !is_framed(&self.parts.headers) => {
                    return StreamStep::Cut("no event");
                }
                None => return StreamStep::End,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let events = match self.splitter.push(&data) {
                Ok(events) => events,
                Err(fault) => return StreamStep::Cut(fault_cause(fault)),
            };
            if !self.held.resize(self.splitter.buffered_bytes()) {
                return StreamStep::Cut(OUT_OF_BUDGET);
            }
            if !events.is_empty() {
                self.progress.record_event(self.state.clock.now());
                return StreamStep::Events(Bytes::from(events));
            }
        }
    }

    /// Forwards the events to the caller as they arrive, beginning with `first`; returns the response.
    ///
    /// No other endpoint continues a stream of a plain service, so its caller sees where it breaks off.
    pub(super) fn forward(
        mut self: Box<Self>,
        relay: Rc<RelayRequest>,
        first: StreamStep,
        mut log: RequestLog,
    ) -> Response<CallerBody> {
        let (caller, body) = channel_body();
        let head = AnswerHead::of_stream(&*self.state.format, &self.parts);
        spawn_local(async move {
            let end = tokio::select! {
                end = self.forward_steps(&relay, first, &caller, &mut log) => end,
                () = caller.closed() => Err(StreamFault::Caller(SendFault::Closed)),
            };
            match end {
                Ok(()) => {
                    record_served(&self.state, &relay);
                    log.set_outcome("served");
                    caller.finish();
                }
                Err(StreamFault::Cut(cause)) => {
                    let phase = self.progress.phase();
                    record_broken_run(&self.state, &relay, &[&self.endpoint], phase);
                    self.state.metrics.count_cut_stream(cause);
                    log.add_cause(cause);
                    log.set_outcome("cut");
                }
                Err(StreamFault::Caller(SendFault::Stalled)) => log.set_outcome("caller-stalled"),
                Err(StreamFault::Caller(SendFault::Closed)) => {}
            }
        });
        head.into_response(body)
    }

    async fn forward_steps(
        &mut self,
        relay: &RelayRequest,
        first: StreamStep,
        caller: &CallerStream,
        log: &mut RequestLog,
    ) -> Result<(), StreamFault> {
        let mut step = first;
        loop {
            match step {
                StreamStep::Events(events) => {
                    log.record_piece();
                    let left_ms = relay.deadline.since(self.state.clock.now());
                    let sent = caller.send(events, left_ms).await;
                    sent.map_err(StreamFault::Caller)?;
                }
                StreamStep::End => return Ok(()),
                StreamStep::Cut(cause) => return Err(StreamFault::Cut(cause)),
            }
            let left_ms = relay.deadline.since(self.state.clock.now());
            let next = tokio::time::timeout(Duration::from_millis(left_ms), self.next_step()).await;
            step = next.unwrap_or(StreamStep::Cut("out of time"));
        }
    }
}
