//! The events of a run on their way to the caller.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::telemetry::RequestLog;

use super::RunEnd;
use super::StreamRelay;
use super::stall_end::StallEnd;
use super::stall_waits::StallWaits;

/// How long an event may take before the stream is moved to another chain, as a factor of the wanted
/// pause, after which the engines are asked.
///
/// Callers leave after two seconds without an event; the new chain has to read the prompt first.
const MOVE_FACTOR: u64 = 4;

/// The events between two notes of a run's pace.
const PACE_EVENTS: u64 = 8;

/// Bytes of a run, none at its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

impl StreamRelay {
    pub(super) async fn pass_events(
        &mut self,
        sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
        log: &mut RequestLog,
    ) -> RunEnd {
        loop {
            let frame = match self.next_frame().await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return RunEnd::Broken("stream cut"),
                Ok(None) if self.splitter.has_partial_event() => {
                    return RunEnd::Broken("event cut");
                }
                Ok(None) => return RunEnd::Complete,
                Err(cause) => return RunEnd::Broken(cause),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let whole = match self.splitter.push(&data) {
                Ok(whole) => whole,
                Err(_) => return RunEnd::Broken("event out of order"),
            };
            if whole.is_empty() {
                continue;
            }
            log.record_piece();
            self.observe_latency_ratio();
            if sender.send(Ok(Bytes::from(whole))).await.is_err() {
                return RunEnd::CallerLeft;
            }
        }
    }

    /// Notes the pace of the run every few events.
    fn observe_latency_ratio(&mut self) {
        let now = self.state.clock.now();
        let events = self.splitter.event_count();
        let Some(run) = self.run.as_mut() else { return };
        run.load.finish_reading();
        let Some((since, counted)) = run.paced else {
            run.paced = Some((now, events));
            return;
        };
        let passed = events.saturating_sub(counted);
        if passed < PACE_EVENTS {
            return;
        }
        run.paced = Some((now, events));
        let event_ms = now.since(since) as f64 / passed as f64;
        let pace = event_ms / run.base_ms.max(1e-9);
        let ids = run.parts.iter().map(|part| part.id.as_str());
        let mut view = self.state.view.borrow_mut();
        view.engines.observe_latency_ratio(ids, pace, now);
    }

    /// Waits for bytes of the run.
    async fn next_frame(&mut self) -> Result<NextFrame, &'static str> {
        let Some(mut run) = self.run.take() else {
            return Err("no run");
        };
        let ask_ms = self.relay.route().gap_target_ms;
        let waits = StallWaits {
            ask_ms,
            move_ms: ask_ms * MOVE_FACTOR,
        };
        let mut frame = std::pin::pin!(run.body.frame());
        let result = self.watch_run(&run.parts, waits, frame.as_mut()).await;
        self.run = Some(run);
        result.map_err(|end| match end {
            StallEnd::OutOfTime => "out of time",
            StallEnd::EngineLost => "engine lost",
            StallEnd::Stalled => "stalled",
        })
    }
}
