use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::relay::AnswerProgress;
use dandelionroad_core::relay::EventSplitter;
use dandelionroad_core::time::MilliTime;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::http::response::Parts;

use crate::engine::LoadGuard;
use crate::memory::HeldBytes;

use super::super::answer_head::is_framed;
use super::run_exchange::RunExchange;
use super::run_step::RunStep;
use super::stall_reason::StallReason;
use super::stall_timeouts::StallTimeouts;

/// A run of the request on one chain, from the time at which the request is sent.
pub(super) struct ChainRun {
    pub(super) stages: Vec<ChainStage>,
    /// The time of a token step of a single request on idle engines, in milliseconds.
    pub(super) unloaded_step_ms: f64,
    /// The start of the current sample for the latency ratio, and the number of events at that time.
    pub(super) sample_start: Option<(MilliTime, u64)>,
    /// The time at which the request was sent.
    pub(super) sent_at: MilliTime,
    pub(super) timeouts: StallTimeouts,
    /// The reason for which the run makes no progress, as far as it is known.
    pub(super) stall: Option<StallReason>,
    /// Whether the run was recorded as broken since its last event.
    pub(super) is_recorded: bool,
    /// Whether the response has ended regularly.
    pub(super) is_complete: bool,
    pub(super) splitter: EventSplitter,
    /// How far its answer has come.
    pub(super) progress: AnswerProgress,
    /// The number of events with data that were forwarded.
    pub(super) forwarded_count: u64,
    /// Complete events that are not forwarded yet.
    pub(super) ready: Vec<u8>,
    /// The head of the response, until it is passed on.
    pub(super) head: Option<Parts>,
    pub(super) exchange: RunExchange,
    pub(super) load: LoadGuard,
    /// The charge of the events that are not complete or not forwarded.
    pub(super) held: HeldBytes,
    pub(super) charged_bytes: usize,
}

impl ChainRun {
    /// Records that the chain serves the request.
    pub(super) fn begin_answer(&mut self, parts: Parts, body: Incoming) {
        let is_framed = is_framed(&parts.headers);
        self.head = Some(parts);
        self.exchange = RunExchange::Answering { is_framed, body };
    }

    /// Returns whether the end of the response's body can be told from the end of its connection.
    pub(super) fn is_framed(&self) -> bool {
        matches!(
            self.exchange,
            RunExchange::Answering {
                is_framed: true,
                ..
            }
        )
    }

    /// Returns whether the run has not begun to answer.
    pub(super) fn is_unbegun(&self) -> bool {
        self.splitter.data_count() == 0
    }

    /// Returns the time at which the run is checked for a stall next.
    pub(super) fn next_check(&self) -> MilliTime {
        let probe_at = self.timeouts.probe_at;
        let failover_at = self.timeouts.failover_at;
        failover_at.map_or(probe_at, |failover_at| probe_at.min(failover_at))
    }

    /// Charges the buffers of events. If that ends the holder, so does the next step the run.
    pub(super) fn charge_buffers(&mut self) {
        let bytes = self.splitter.buffered_bytes() + self.ready.capacity();
        if bytes != self.charged_bytes {
            self.charged_bytes = bytes;
            // The next step looks whether the holder is ended, which others may have caused as well.
            let _ = self.held.resize(bytes);
        }
    }

    fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<RunStep> {
        if self.held.is_ended() {
            return Poll::Ready(RunStep::OutOfBudget);
        }
        match &mut self.exchange {
            RunExchange::Sent(sent) => {
                let outcome = ready!(sent.as_mut().poll(context));
                Poll::Ready(RunStep::Head(Box::new(outcome)))
            }
            RunExchange::Answering { body, .. } => {
                let frame = ready!(Pin::new(body).poll_frame(context));
                Poll::Ready(RunStep::Frame(frame))
            }
        }
    }
}

/// Waits until something arrives from the first engine of one of the runs, and returns the index of the run.
pub(super) async fn next_step(runs: &mut [ChainRun]) -> (usize, RunStep) {
    std::future::poll_fn(|context| {
        for (index, run) in runs.iter_mut().enumerate() {
            if let Poll::Ready(step) = run.poll_step(context) {
                return Poll::Ready((index, step));
            }
        }
        Poll::Pending
    })
    .await
}
